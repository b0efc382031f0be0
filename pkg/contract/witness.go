package contract

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

const (
	// UnreachableTimeout is the silence after which a peer counts as unreachable.
	UnreachableTimeout = 3 * clock.Second
	// LostTimeout is the silence after which a VM that is out of the roster counts as lost.
	LostTimeout = clock.Minute
	// maxIssuers bounds the issuers a witness knows. Their fences and floors cannot be
	// forgotten, and a witness serves far fewer issuers during its life.
	maxIssuers = 10_000
	// maxAskedIssuers bounds those that come from questions. Callers can invent
	// issuers, and must not take the room of issuers with records.
	maxAskedIssuers = maxIssuers / 2

	askAgainAfter = clock.Second
)

// WitnessConfig holds what a witness is made of.
type WitnessConfig struct {
	Self   vm.Incarnation
	Limits Limits
}

// Witness keeps the records that other VMs report of their ids, to answer for them
// when they are lost. It belongs to the control goroutine.
type Witness struct {
	config  WitnessConfig
	issuers map[vm.Incarnation]*witnessedIssuer
	order   expiryQueue
	count   int
	bytes   int
}

// NewWitness returns a witness with no records.
func NewWitness(c WitnessConfig) *Witness {
	return &Witness{config: c, issuers: make(map[vm.Incarnation]*witnessedIssuer)}
}

// RecordContact notes that an issuer made contact. Only issuers with records matter.
func (w *Witness) RecordContact(now clock.Millis, issuer vm.Incarnation) {
	if s, ok := w.issuers[issuer]; ok {
		s.heardAt = now
	}
}

// Record keeps a batch of records of an issuer, in the order of the batch.
func (w *Witness) Record(now clock.Millis, issuer vm.Incarnation, batch BatchNumber, records []Record) []RecordStatus {
	statuses := make([]RecordStatus, len(records))
	s, ok := w.issuer(now, issuer, maxIssuers)
	for i, r := range records {
		switch {
		case !ok:
			statuses[i] = RecordFull
		case batch <= s.lastBatch:
			statuses[i] = RecordStale
		case s.fenced:
			statuses[i] = RecordFenced
		default:
			statuses[i] = w.keep(now, issuer, s, r)
		}
	}
	if ok {
		s.heardAt = now
		s.lastBatch = max(s.lastBatch, batch)
	}
	return statuses
}

// HandOver keeps answers that the issuer gave without this witness. The last part says
// that the issuer starts nothing more.
func (w *Witness) HandOver(now clock.Millis, issuer vm.Incarnation, records []Record, last bool) {
	s, ok := w.issuer(now, issuer, maxIssuers)
	if !ok || s.row == PairFencedByWitness {
		return
	}
	for _, r := range records {
		if settled, ok := r.(SettleRecord); ok {
			w.keep(now, issuer, s, settled)
		}
	}
	s.heardAt = now
	if last {
		s.fenced = true
	}
}

// Query is what somebody asks a witness.
type Query struct {
	ID    SubmissionID
	Owner owner.ID
	// Digest is that of the submission that is sent again; the zero digest asks for the
	// answer alone.
	Digest Digest
	// IssuerLeftRoster says that the issuer is out of the roster.
	IssuerLeftRoster bool
}

// Ask answers for an issuer that cannot be reached. Where the pair row has to decide
// first, needsRow is set and the answer is CannotTellYet.
func (w *Witness) Ask(now clock.Millis, q Query) (a Answer, needsRow bool) {
	if q.ID.Witness != w.config.Self {
		return cannotTell("this VM is not the witness of the id"), false
	}
	s, ok := w.issuer(now, q.ID.Issuer, maxAskedIssuers)
	if !ok {
		return cannotTell("the witness knows too many issuers"), false
	}
	e, known := s.entries[q.ID]
	switch {
	case known && e.owner != q.Owner:
		return NotFound{}, false
	case known && q.Digest != (Digest{}) && q.Digest != e.digest:
		return Conflict{}, false
	case known && e.final != nil:
		return e.final, false
	case !known && q.ID.IssuedAt <= s.floor:
		return Expired{}, false
	case !s.fenced && now-s.heardAt < UnreachableTimeout:
		return cannotTell("the issuer of the id was heard from shortly before"), false
	}
	s.fenced = true
	if !known {
		return Refused{Cause: RefusedUnavailable, Reason: "the VM that issued the id was lost before it started anything", RetryAfter: askAgainAfter}, false
	}
	return w.askUnsettled(now, s, e, q)
}

func (w *Witness) askUnsettled(now clock.Millis, s *witnessedIssuer, e *witnessEntry, q Query) (a Answer, needsRow bool) {
	switch s.row {
	case PairFencedByWitness:
		w.settle(e, e.lost(true))
		return e.final, false
	case PairReleasedByIssuer:
		// The issuer went on alone, so its record of starts is the only one. Once it
		// is gone too, nobody can tell which tasks ran.
		if q.IssuerLeftRoster && now-s.heardAt >= LostTimeout {
			w.settle(e, e.lost(false))
			return e.final, false
		}
		return cannotTell("the issuer of the id answers for it and cannot be reached"), false
	default:
		return cannotTell("the platform has not yet confirmed that the issuer is lost"), true
	}
}

// SetPairRow notes the content of the pair row of an issuer.
func (w *Witness) SetPairRow(issuer vm.Incarnation, row PairRow) {
	if s, ok := w.issuers[issuer]; ok && row != PairRowUnknown {
		s.row = row
	}
}

// Evict drops records that are older than the memory span, a bounded number at a time.
func (w *Witness) Evict(now clock.Millis) {
	for range evictionBatch {
		id, ok := w.order.pop(now - RetentionWindow)
		if !ok {
			return
		}
		s := w.issuers[id.Issuer]
		s.floor = max(s.floor, id.IssuedAt)
		w.bytes -= s.entries[id].bytes()
		w.count--
		delete(s.entries, id)
	}
}

func (w *Witness) issuer(now clock.Millis, i vm.Incarnation, most int) (*witnessedIssuer, bool) {
	s, ok := w.issuers[i]
	if !ok && len(w.issuers) >= most {
		return nil, false
	}
	if !ok {
		s = &witnessedIssuer{entries: make(map[SubmissionID]*witnessEntry), heardAt: now, floor: -1}
		w.issuers[i] = s
	}
	return s, true
}

func (w *Witness) keep(now clock.Millis, issuer vm.Incarnation, s *witnessedIssuer, r Record) RecordStatus {
	switch r := r.(type) {
	case StartRecord:
		e, status := w.entry(now, issuer, s, r.ID, r.Owner, r.Digest)
		if status != RecordAccepted {
			return status
		}
		before := e.bytes()
		e.taskCount = max(e.taskCount, r.TaskCount)
		for _, t := range r.Tasks {
			e.start(t)
		}
		w.bytes += e.bytes() - before
	case SettleRecord:
		e, status := w.entry(now, issuer, s, r.ID, r.Owner, r.Digest)
		if status != RecordAccepted {
			return status
		}
		w.settle(e, r.Answer)
	}
	return RecordAccepted
}

// settle keeps the first final answer; later ones are copies of it.
func (w *Witness) settle(e *witnessEntry, final Answer) {
	if e.final != nil {
		return
	}
	before := e.bytes()
	e.final, e.started = final, nil
	w.bytes += e.bytes() - before
}

// entry finds the entry of an id, or makes one where there is room.
func (w *Witness) entry(now clock.Millis, issuer vm.Incarnation, s *witnessedIssuer, id SubmissionID, o owner.ID, d Digest) (*witnessEntry, RecordStatus) {
	if id.Issuer != issuer || id.Witness != w.config.Self {
		return nil, RecordFenced
	}
	if e, ok := s.entries[id]; ok {
		return e, RecordAccepted
	}
	if id.IssuedAt <= s.floor {
		return nil, RecordExpired
	}
	if w.count >= w.config.Limits.IDs || w.bytes >= w.config.Limits.Bytes {
		return nil, RecordFull
	}
	e := &witnessEntry{owner: o, digest: d}
	s.entries[id] = e
	w.order.push(id, now)
	w.count++
	w.bytes += e.bytes()
	return e, RecordAccepted
}

func cannotTell(reason string) Answer {
	return CannotTellYet{Reason: reason, RetryAfter: askAgainAfter}
}
