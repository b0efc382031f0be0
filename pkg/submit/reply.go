package submit

import "github.com/sequoiacart/sequoiacart/pkg/clock"

// Reply is what an entry VM answers: Completed, FailedJob, RefusedJob, Pending or Rejected.
type Reply interface{ isReply() }

// Completed carries the results of all tasks.
type Completed struct{ Results []string }

// FailedJob carries the state of each task.
type FailedJob struct {
	Detail string
	Tasks  []string
}

// RefusedJob says that nothing was run.
type RefusedJob struct {
	Detail     string
	RetryAfter clock.Millis
}

// Pending says that the answer is not known yet; the same job may be sent again under
// the same id, to any entry VM.
type Pending struct{ RetryAfter clock.Millis }

// Rejected says that the call itself was wrong.
type Rejected struct {
	Status int
	Detail string
}

func (Completed) isReply()  {}
func (FailedJob) isReply()  {}
func (RefusedJob) isReply() {}
func (Pending) isReply()    {}
func (Rejected) isReply()   {}
