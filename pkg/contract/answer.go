package contract

import "github.com/sequoiacart/sequoiacart/pkg/clock"

// Answer is what a caller hears about a submission: Complete, Failed, Refused, Running,
// CannotTellYet, Conflict, Expired or NotFound.
type Answer interface{ isAnswer() }

// Complete carries the result of every task, in the order of the tasks.
type Complete struct{ Results [][]byte }

// Failed carries the state of every task, in the order of the tasks.
type Failed struct {
	Reason string
	Tasks  []TaskState
}

// Refused says that no task was run and none will be.
type Refused struct {
	Cause      RefusalCause
	Reason     string
	RetryAfter clock.Millis
}

// Running says that the submission was accepted and has not ended.
type Running struct{}

// CannotTellYet says that the VMs that know the answer cannot be reached. It says
// nothing on whether tasks were run.
type CannotTellYet struct {
	Reason     string
	RetryAfter clock.Millis
}

// Conflict says that the id belongs to a submission with other content.
type Conflict struct{}

// Expired says that the id is older than the window in which submissions are remembered.
type Expired struct{}

// NotFound says that nothing was submitted under the id.
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

// MaxAnswerBytes bounds the results of one submission together. Larger ones would not
// fit into a message to the witness.
const MaxAnswerBytes = 16 << 20

// RefusalCause tells what to do about a refusal.
type RefusalCause int

// The causes of refusals.
const (
	// RefusedOverload asks the caller to come back later.
	RefusedOverload RefusalCause = iota
	// RefusedUnavailable means that this VM takes no work: no bundle, or shutting down.
	RefusedUnavailable
	// RefusedInvalid means that the submission can never run as it is.
	RefusedInvalid
	// RefusedCancelled means that the caller cancelled before the first start.
	RefusedCancelled
)

// TaskState is what a failed submission says of one task.
type TaskState int

// The states. A task that ran to its end in a failed submission counts as MayHaveRun:
// its result is withheld, since an answer is complete or failed as a whole.
const (
	NotRun TaskState = iota
	FailedRun
	MayHaveRun
)
