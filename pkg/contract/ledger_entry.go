package contract

import "github.com/sequoiacart/sequoiacart/pkg/clock"

// LedgerEntry is the issuer's record of one submission.
type LedgerEntry struct {
	Submission Submission
	Digest     Digest
	AcceptedAt clock.Millis
	// Final is the final answer, nil until there is one.
	Final Answer
	// Fenced means that the witness, and no longer the issuer, answers for the submission.
	Fenced bool
	// Cancelled means that no further task may start.
	Cancelled bool
	// RecordSent means that the witness may hold a record of the submission.
	RecordSent bool
	// Acknowledged means that the witness holds a record of at least one start.
	Acknowledged bool
	// Withdrawn lists the tasks that were removed from the queue and neither queued again nor
	// ended yet, for example while the pair row is undecided.
	Withdrawn []TaskIndex
	// Settled means that the witness holds the final answer.
	Settled bool

	tasks       []taskProgress
	admissions  []admission
	pending     int
	taskCount   int
	reason      string
	refusal     Refused
	outcome     Answer
	refusedOnly bool
	size        int
}

type taskProgress struct {
	attempts AttemptNumber
	recorded bool
	// ambiguous means that an earlier attempt may have run.
	ambiguous bool
	result    AttemptResult
}

// admission is one group of tasks of the submission that was added to the scheduler's
// queue. If tasks is nil, the group holds all tasks.
type admission struct {
	ref   JobRef
	tasks []TaskIndex
	// closed means that the scheduler no longer queues tasks under the reference.
	closed bool
}

func newLedgerEntry(now clock.Millis, s Submission) *LedgerEntry {
	return &LedgerEntry{
		Submission: s,
		Digest:     s.Digest(),
		AcceptedAt: now,
		tasks:      make([]taskProgress, len(s.Tasks)),
		pending:    len(s.Tasks),
		taskCount:  len(s.Tasks),
		refusal:    Refused{Cause: RefusedUnavailable, Reason: "no task was started"},
	}
}

// Refs returns the job references under which tasks may be queued.
func (e *LedgerEntry) Refs() []JobRef {
	refs := make([]JobRef, len(e.admissions))
	for i, a := range e.admissions {
		refs[i] = a.ref
	}
	return refs
}

// Close records that the tasks under a job reference were removed from the queue.
func (e *LedgerEntry) Close(ref JobRef) {
	for i := range e.admissions {
		if e.admissions[i].ref == ref {
			e.admissions[i].closed = true
		}
	}
}

// Closed reports whether the tasks under a job reference were removed from the queue.
func (e *LedgerEntry) Closed(ref JobRef) bool {
	for _, a := range e.admissions {
		if a.ref == ref {
			return a.closed
		}
	}
	return true
}

// ResolveTask converts the scheduler's reference of a task to its index in the submission.
func (e *LedgerEntry) ResolveTask(t TaskRef) TaskIndex {
	for _, a := range e.admissions {
		if a.ref == t.Job && a.tasks != nil {
			return a.tasks[t.Index]
		}
	}
	return t.Index
}

// TaskCount returns the number of tasks of the submission, even after its task data was freed.
func (e *LedgerEntry) TaskCount() int {
	return e.taskCount
}

// NextAttempt counts another attempt of a task and returns its id.
func (e *LedgerEntry) NextAttempt(task TaskIndex) AttemptID {
	e.tasks[task].attempts++
	return AttemptID{Submission: e.Submission.ID, Task: task, Number: e.tasks[task].attempts}
}

// Attempts returns the number of attempts of a task.
func (e *LedgerEntry) Attempts(task TaskIndex) AttemptNumber {
	return e.tasks[task].attempts
}

// Acknowledge records that the witness holds the record of a task's start.
func (e *LedgerEntry) Acknowledge(task TaskIndex) {
	e.Acknowledged = true
	e.tasks[task].recorded = true
}

// Recorded reports whether the witness holds the record of a task's start.
func (e *LedgerEntry) Recorded(task TaskIndex) bool {
	return e.tasks[task].recorded
}

// SetRefusal sets the refusal that is the answer if no task runs.
func (e *LedgerEntry) SetRefusal(r Refused) {
	e.refusal = r
}

// MarkAmbiguous records that an attempt may have run, although the task is retried.
func (e *LedgerEntry) MarkAmbiguous(task TaskIndex) {
	e.tasks[task].ambiguous = true
}

// End records the result of a task. Only the first result counts.
func (e *LedgerEntry) End(task TaskIndex, result AttemptResult) {
	if e.outcome != nil || len(e.tasks) == 0 || e.tasks[task].result != nil {
		return
	}
	if _, ok := result.(NotStarted); ok && e.tasks[task].ambiguous {
		result = Ambiguous{Reason: "an earlier attempt may have run"}
	}
	e.tasks[task].result = result
	e.pending--
	switch r := result.(type) {
	case RanAndFailed:
		e.setFirstReason(r.Reason)
	case Ambiguous:
		e.setFirstReason(r.Reason)
	case NotStarted:
		e.setFirstReason("not every task was started")
	case Succeeded:
	}
}

// Ended reports whether every task has ended.
func (e *LedgerEntry) Ended() bool {
	return e.pending == 0
}

// Outcome derives the answer from the results of the tasks. It does not change after the
// first call, since the witness may have received it.
func (e *LedgerEntry) Outcome() Answer {
	if e.outcome == nil {
		e.outcome = e.deriveOutcome()
	}
	return e.outcome
}

// HasOutcome reports whether Outcome was called, which fixes the answer.
func (e *LedgerEntry) HasOutcome() bool {
	return e.outcome != nil
}

func (e *LedgerEntry) deriveOutcome() Answer {
	results := make([][]byte, len(e.tasks))
	states := make([]TaskState, len(e.tasks))
	succeeded, notRun := 0, 0
	for i, t := range e.tasks {
		switch r := t.result.(type) {
		case Succeeded:
			results[i], states[i] = r.Result, MayHaveRun
			succeeded++
		case RanAndFailed:
			states[i] = FailedRun
		case Ambiguous:
			states[i] = MayHaveRun
		default:
			states[i] = NotRun
			notRun++
		}
	}
	switch len(e.tasks) {
	case succeeded:
		if a := (Complete{Results: results}); answerBytes(a) <= MaxAnswerBytes {
			return a
		}
		return Failed{Reason: "the results together exceed the size limit", Tasks: states}
	case notRun:
		return e.refusal
	}
	return Failed{Reason: e.reason, Tasks: states}
}

func (e *LedgerEntry) conclude(final Answer) {
	e.Final = final
	e.freeTaskData()
}

// freeTaskData drops the data that only a running submission needs.
func (e *LedgerEntry) freeTaskData() {
	e.Submission.Tasks, e.tasks, e.admissions, e.Withdrawn = nil, nil, nil, nil
}

func (e *LedgerEntry) setFirstReason(reason string) {
	if e.reason == "" {
		e.reason = reason
	}
}

// bytes estimates the memory of the entry, including its items in the maps and the queue.
func (e *LedgerEntry) bytes() int {
	return submissionBytes(e.Submission) + answerBytes(e.Final)
}

func submissionBytes(s Submission) int {
	const overheadBytes, perTaskBytes = 850, 72
	n := overheadBytes
	for _, t := range s.Tasks {
		n += perTaskBytes + len(t.Payload)
	}
	return n
}
