package contract

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// Ledger holds the issuer's records: each accepted submission, the state of its tasks
// and its final answer. Only the control goroutine uses it.
type Ledger struct {
	limits  Limits
	entries map[SubmissionID]*LedgerEntry
	refs    map[JobRef]*LedgerEntry
	order   expiryQueue
	lastRef JobRef
	open    int
	refused int
	bytes   int
}

// NewLedger returns an empty ledger.
func NewLedger(l Limits) *Ledger {
	return &Ledger{
		limits:  l,
		entries: make(map[SubmissionID]*LedgerEntry),
		refs:    make(map[JobRef]*LedgerEntry),
	}
}

// CanAccept reports whether the limits allow another submission.
func (l *Ledger) CanAccept(s Submission) bool {
	return len(l.entries)-l.refused < l.limits.IDs && l.bytes+submissionBytes(s) <= l.limits.Bytes
}

// Accept adds a submission and returns its entry. The caller must have checked that the
// ledger has no entry of the id, and that CanAccept returns true.
func (l *Ledger) Accept(now clock.Millis, s Submission) *LedgerEntry {
	e := newLedgerEntry(now, s)
	l.open++
	l.insert(now, e)
	l.Readmit(e, nil)
	return e
}

// Refuse records the refusal of a submission, so that a later copy is not run, and
// reports whether the limits allowed it. Refusals have a limit of their own, since they
// occur when the ledger is full.
func (l *Ledger) Refuse(now clock.Millis, s Submission, r Refused) bool {
	if l.refused >= l.limits.IDs {
		return false
	}
	e := newLedgerEntry(now, s)
	e.refusedOnly = true
	l.refused++
	e.conclude(r)
	l.insert(now, e)
	return true
}

// Readmit assigns another job reference to the entry, under which the scheduler queues
// the given tasks; nil means all tasks.
func (l *Ledger) Readmit(e *LedgerEntry, tasks []TaskIndex) JobRef {
	l.lastRef++
	e.admissions = append(e.admissions, admission{ref: l.lastRef, tasks: tasks})
	l.refs[l.lastRef] = e
	return l.lastRef
}

// Conclude sets the final answer and frees the data that only a running submission needs.
func (l *Ledger) Conclude(e *LedgerEntry, final Answer) {
	if e.Final != nil {
		return
	}
	l.closeEntry(e)
	e.conclude(final)
	l.updateSize(e)
}

// Fence marks an entry as fenced by its witness, which answers for it from now on.
func (l *Ledger) Fence(e *LedgerEntry) {
	if e.Final != nil || e.Fenced {
		return
	}
	l.closeEntry(e)
	e.Fenced = true
	e.freeTaskData()
	l.updateSize(e)
}

// ConcludeFenced ends a fenced entry whose witness was lost as well. The records of the
// witness are lost with it, so every task may have run.
func (l *Ledger) ConcludeFenced(e *LedgerEntry) {
	if e.Final != nil {
		return
	}
	states := make([]TaskState, e.taskCount)
	for i := range states {
		states[i] = MayHaveRun
	}
	e.conclude(Failed{Reason: "the witness that answered for the submission was lost", Tasks: states})
	l.updateSize(e)
}

// End records the result of a task of the entry.
func (l *Ledger) End(e *LedgerEntry, task TaskIndex, result AttemptResult) {
	e.End(task, result)
	if r, ok := result.(Succeeded); ok {
		l.bytes += len(r.Result)
		e.size += len(r.Result)
	}
}

// updateSize recalculates the entry's memory estimate.
func (l *Ledger) updateSize(e *LedgerEntry) {
	size := e.bytes()
	l.bytes += size - e.size
	e.size = size
}

// Idle reports whether every submission has a final answer or is fenced.
func (l *Ledger) Idle() bool { return l.open == 0 }

// Find returns the entry of an id.
func (l *Ledger) Find(id SubmissionID) (*LedgerEntry, bool) {
	e, ok := l.entries[id]
	return e, ok
}

// ByRef returns the entry of a job reference.
func (l *Ledger) ByRef(ref JobRef) (*LedgerEntry, bool) {
	e, ok := l.refs[ref]
	return e, ok
}

// Evict drops entries that are older than the RetentionWindow, a bounded number per call.
// An entry that is still running is checked again after another RetentionWindow.
func (l *Ledger) Evict(now clock.Millis) {
	for range maxEvictionsPerCall {
		id, ok := l.order.pop(now - RetentionWindow)
		if !ok {
			return
		}
		e := l.entries[id]
		if e.Final == nil && !e.Fenced {
			l.order.push(id, now)
			continue
		}
		l.remove(e)
	}
}

func (l *Ledger) insert(now clock.Millis, e *LedgerEntry) {
	l.entries[e.Submission.ID] = e
	l.order.push(e.Submission.ID, now)
	l.updateSize(e)
}

func (l *Ledger) closeEntry(e *LedgerEntry) {
	l.open--
	// Late results of attempts no longer find the entry. Without this the refs would stay
	// in the map after the entry is dropped.
	for _, a := range e.admissions {
		delete(l.refs, a.ref)
	}
}

func (l *Ledger) remove(e *LedgerEntry) {
	if e.refusedOnly {
		l.refused--
	}
	l.bytes -= e.size
	delete(l.entries, e.Submission.ID)
}
