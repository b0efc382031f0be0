package contract

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// Ledger keeps the issuer's records: each accepted submission, the state of its tasks
// and its final answer. It belongs to the control goroutine.
type Ledger struct {
	entries map[SubmissionID]*LedgerEntry
	refs    map[JobRef]*LedgerEntry
	lastRef JobRef
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		entries: make(map[SubmissionID]*LedgerEntry),
		refs:    make(map[JobRef]*LedgerEntry),
	}
}

// Open accepts a submission and returns its entry. The caller has checked that the id
// is new to the ledger.
func (l *Ledger) Open(now clock.Millis, s Submission) *LedgerEntry {
	l.lastRef++
	e := newLedgerEntry(l.lastRef, now, s)
	l.entries[s.ID] = e
	l.refs[e.Ref] = e
	return e
}

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
