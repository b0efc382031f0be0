package contract

import "github.com/sequoiacart/sequoiacart/pkg/clock"

// LedgerEntry is the issuer's record of one submission.
type LedgerEntry struct {
	Ref        JobRef
	Submission Submission
	Digest     Digest
	AcceptedAt clock.Millis
	// Final is the settled answer, nil until the submission is settled.
	Final Answer

	tasks   []taskProgress
	pending int
	reason  string
}

type taskProgress struct {
	attempts AttemptNumber
	result   AttemptResult
}

func newLedgerEntry(ref JobRef, now clock.Millis, s Submission) *LedgerEntry {
	return &LedgerEntry{
		Ref:        ref,
		Submission: s,
		Digest:     s.Digest(),
		AcceptedAt: now,
		tasks:      make([]taskProgress, len(s.Tasks)),
		pending:    len(s.Tasks),
	}
}

// NextAttempt numbers the next send of a task.
func (e *LedgerEntry) NextAttempt(task TaskIndex) AttemptID {
	e.tasks[task].attempts++
	return AttemptID{Submission: e.Submission.ID, Task: task, Number: e.tasks[task].attempts}
}

// End notes how the task ended. Only the first end counts.
func (e *LedgerEntry) End(task TaskIndex, result AttemptResult) {
	if e.tasks[task].result != nil {
		return
	}
	e.tasks[task].result = result
	e.pending--
	switch r := result.(type) {
	case RanAndFailed:
		e.noteReason(r.Reason)
	case Ambiguous:
		e.noteReason(r.Reason)
	case NotStarted:
		e.noteReason("not started: endpoint " + r.Cause.String())
	case Succeeded:
	}
}

// Ended reports whether every task has ended.
func (e *LedgerEntry) Ended() bool {
	return e.pending == 0
}

// Outcome derives the answer from the ends of the tasks.
func (e *LedgerEntry) Outcome() Answer {
	results := make([][]byte, len(e.tasks))
	states := make([]TaskState, len(e.tasks))
	complete := true
	for i, t := range e.tasks {
		switch r := t.result.(type) {
		case Succeeded:
			results[i] = r.Result
			states[i] = MayHaveRun
		case RanAndFailed:
			complete, states[i] = false, FailedRun
		case Ambiguous:
			complete, states[i] = false, MayHaveRun
		default:
			complete, states[i] = false, NotRun
		}
	}
	if complete {
		return Complete{Results: results}
	}
	return Failed{Reason: e.reason, Tasks: states}
}

func (e *LedgerEntry) noteReason(reason string) {
	if e.reason == "" {
		e.reason = reason
	}
}
