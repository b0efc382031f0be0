package submit

import "github.com/sequoiacart/sequoiacart/pkg/clock"

// Reply is the answer of an entry VM: Completed, FailedJob, RefusedJob, Pending or Rejected.
type Reply interface{ isReply() }

// Completed holds the results of all tasks.
type Completed struct{ Results []string }

// FailedJob holds the state of each task.
type FailedJob struct {
	Detail string
	Tasks  []string
}

// RefusedJob means that no task was run.
type RefusedJob struct {
	Detail     string
	RetryAfter clock.Millis
}

// Pending means that the outcome isn't known yet. The same job may be submitted again under the
// same id, to any entry VM.
type Pending struct{ RetryAfter clock.Millis }

// Rejected means that the entry VM rejected the call itself, for example for its body or token.
type Rejected struct {
	Status int
	Detail string
}

func (Completed) isReply()  {}
func (FailedJob) isReply()  {}
func (RefusedJob) isReply() {}
func (Pending) isReply()    {}
func (Rejected) isReply()   {}
