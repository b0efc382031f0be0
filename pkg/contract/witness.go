package contract

import "github.com/sequoiacart/sequoiacart/pkg/vm"

// Witness keeps the records that other VMs report of their ids, to answer for them
// when they are lost. It belongs to the control goroutine.
type Witness struct {
	issuers map[vm.Incarnation]*witnessedIssuer
}

type witnessedIssuer struct {
	entries map[SubmissionID]*witnessEntry
}

type witnessEntry struct {
	started []bool
	final   Answer
}

// NewWitness returns a witness with no records.
func NewWitness() *Witness {
	return &Witness{issuers: make(map[vm.Incarnation]*witnessedIssuer)}
}

// Record keeps one record of an issuer.
func (w *Witness) Record(r Record) RecordStatus {
	switch r := r.(type) {
	case StartRecord:
		e := w.entry(r.ID, r.TaskCount)
		for _, t := range r.Tasks {
			e.started[t] = true
		}
	case SettleRecord:
		w.entry(r.ID, 0).final = r.Answer
	}
	return RecordAccepted
}

// Settled returns the final answer of an id, if the issuer settled it.
func (w *Witness) Settled(id SubmissionID) (Answer, bool) {
	issuer, ok := w.issuers[id.Issuer]
	if !ok {
		return nil, false
	}
	e, ok := issuer.entries[id]
	if !ok || e.final == nil {
		return nil, false
	}
	return e.final, true
}

func (w *Witness) entry(id SubmissionID, taskCount int) *witnessEntry {
	issuer, ok := w.issuers[id.Issuer]
	if !ok {
		issuer = &witnessedIssuer{entries: make(map[SubmissionID]*witnessEntry)}
		w.issuers[id.Issuer] = issuer
	}
	e, ok := issuer.entries[id]
	if !ok {
		e = &witnessEntry{started: make([]bool, taskCount)}
		issuer.entries[id] = e
	}
	return e
}
