package contract

import "github.com/sequoiacart/sequoiacart/pkg/clock"

// Answer is the reply to a caller about a submission: Complete, Failed, Refused, Running,
// CannotTellYet, Conflict, Expired or NotFound.
type Answer interface{ isAnswer() }

// Complete carries the result of every task, in the order of the tasks.
type Complete struct{ Results [][]byte }

// Failed carries the state of every task, in the order of the tasks.
type Failed struct {
	Reason string
	Tasks  []TaskState
}

// Refused means that no task of the submission ran and none will run.
type Refused struct {
	Cause      RefusalCause
	Reason     string
	RetryAfter clock.Millis
}

// Running means that the submission was accepted and has no final answer yet.
type Running struct{}

// CannotTellYet means that the VMs that hold the answer cannot be reached. Tasks of the
// submission may or may not have run.
type CannotTellYet struct {
	Reason     string
	RetryAfter clock.Millis
}

// Conflict means that the id belongs to a submission with different content.
type Conflict struct{}

// Expired means that the id has no record and is too old to be used.
type Expired struct{}

// NotFound means that no submission of the owner is recorded under the id.
type NotFound struct{}

func (Complete) isAnswer()      {}
func (Failed) isAnswer()        {}
func (Refused) isAnswer()       {}
func (Running) isAnswer()       {}
func (CannotTellYet) isAnswer() {}
func (Conflict) isAnswer()      {}
func (Expired) isAnswer()       {}
func (NotFound) isAnswer()      {}

// IsFinal reports whether an answer is final: Complete, Failed or Refused.
func IsFinal(a Answer) bool {
	switch a.(type) {
	case Complete, Failed, Refused:
		return true
	}
	return false
}

// MaxAnswerBytes limits the total size of the results of one submission. Larger results
// would not fit into a message to the witness.
const MaxAnswerBytes = 16 << 20

// RefusalCause classifies refusals by how the caller should react.
type RefusalCause int

// The causes of refusals.
const (
	// RefusedOverload means that the service is overloaded and the caller should retry
	// later.
	RefusedOverload RefusalCause = iota
	// RefusedUnavailable means that the submission cannot run now, for example because the
	// VM has no bundle or is shutting down.
	RefusedUnavailable
	// RefusedInvalid means that the submission cannot run without changes.
	RefusedInvalid
	// RefusedCancelled means that the caller cancelled before any task was started.
	RefusedCancelled
)

// TaskState is the state of one task in the answer to a failed submission.
type TaskState int

// The states of tasks. A task that succeeded in a failed submission is reported as
// MayHaveRun: its result is withheld, since an answer is complete or failed as a whole.
const (
	NotRun TaskState = iota
	FailedRun
	MayHaveRun
)
