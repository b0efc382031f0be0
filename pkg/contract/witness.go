package contract

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

const (
	// UnreachableTimeout is the time without contact after which a peer is considered
	// unreachable.
	UnreachableTimeout = 3 * clock.Second
	// LostTimeout is the time without contact after which a VM that is removed and is missing
	// from a later read of the platform's table is considered lost.
	LostTimeout = clock.Minute
	// maxIssuers limits the issuers that a witness tracks. Their fences and eviction times
	// can never be dropped. A witness serves far fewer issuers while it runs.
	maxIssuers = 10_000
	// maxQueriedIssuers limits the issuers tracked because of queries. Callers can invent
	// issuers, and must not use up the capacity for issuers with records.
	maxQueriedIssuers = maxIssuers / 2

	retryDelay = clock.Second
)

// WitnessConfig configures a Witness.
type WitnessConfig struct {
	Self   vm.Incarnation
	Limits Limits
}

// Witness holds the records that other VMs report about their ids, and answers for these
// VMs when they are lost. Only the control goroutine uses it.
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

// RecordContact records the time of a contact from an issuer. Issuers that the witness
// does not track are ignored.
func (w *Witness) RecordContact(now clock.Millis, issuer vm.Incarnation) {
	if s, ok := w.issuers[issuer]; ok {
		s.lastContact = now
	}
}

// CompensatePause extends the time-outs of all issuers by a pause of this VM, since their messages
// could not be handled meanwhile.
func (w *Witness) CompensatePause(pause clock.Millis) {
	for _, s := range w.issuers {
		s.lastContact += pause
	}
}

// Record stores a batch of records of an issuer and returns their statuses in the order of
// the batch.
func (w *Witness) Record(now clock.Millis, issuer vm.Incarnation, batch BatchNumber, records []Record) []RecordStatus {
	statuses := make([]RecordStatus, len(records))
	s, ok := w.findOrAddIssuer(now, issuer, maxIssuers)
	for i, r := range records {
		switch {
		case !ok:
			statuses[i] = RecordFull
		case batch <= s.lastBatch:
			statuses[i] = RecordStale
		case s.fenced:
			statuses[i] = RecordFenced
		default:
			statuses[i] = w.store(now, issuer, s, r)
		}
	}
	if ok {
		s.lastContact = now
		s.lastBatch = max(s.lastBatch, batch)
	}
	return statuses
}

// HandOver stores answers that the issuer gave without this witness. The parameter last marks
// the last call, after which the issuer starts no more tasks. It stores none of them if
// the pair row says that the witness answers.
func (w *Witness) HandOver(now clock.Millis, issuer vm.Incarnation, records []Record, last bool) {
	s, ok := w.findOrAddIssuer(now, issuer, maxIssuers)
	if !ok || s.pairRow == PairFencedByWitness {
		return
	}
	for _, r := range records {
		if settled, ok := r.(SettleRecord); ok {
			w.store(now, issuer, s, settled)
		}
	}
	s.lastContact = now
	if last {
		s.fenced = true
	}
}

// Query is a request to a witness for the answer to a submission.
type Query struct {
	ID    SubmissionID
	Owner owner.ID
	// Digest is the digest of a submission that is sent again. It is zero if only the
	// answer is requested.
	Digest Digest
	// IssuerAbsent means that the issuer has been absent from the roster, or removed there, for
	// the LostTimeout, and that a later read of the platform's table did not find it.
	IssuerAbsent bool
}

// Ask answers for an issuer that cannot be reached. If the pair row must be decided first,
// needsRow is true and the answer is CannotTellYet.
func (w *Witness) Ask(now clock.Millis, q Query) (a Answer, needsRow bool) {
	if q.ID.Witness != w.config.Self {
		return cannotTellYet("this VM is not the witness of the id"), false
	}
	s, ok := w.findOrAddIssuer(now, q.ID.Issuer, maxQueriedIssuers)
	if !ok {
		return cannotTellYet("the witness already tracks the maximum number of issuers"), false
	}
	e, found := s.entries[q.ID]
	switch {
	case found && e.owner != q.Owner:
		return NotFound{}, false
	case found && q.Digest != (Digest{}) && q.Digest != e.digest:
		return Conflict{}, false
	case found && e.final != nil:
		return e.final, false
	case !found && q.ID.IssuedAt <= s.evictedUpTo:
		return Expired{}, false
	case !s.fenced && now-s.lastContact < UnreachableTimeout:
		return cannotTellYet("the issuer of the id was recently in contact with the witness"), false
	}
	s.fenced = true
	if !found {
		return OutOfTouch(), false
	}
	return w.answerUnsettled(now, s, e, q)
}

// OutOfTouch is the refusal of a submission of which the witness has no record, because it and the issuer do not
// reach each other. Both give it, since a caller may ask either of them.
func OutOfTouch() Refused {
	return Refused{Cause: RefusedUnavailable, Reason: "the issuer and the witness of the id do not reach each other; reserve a new id", RetryAfter: retryDelay}
}

func (w *Witness) answerUnsettled(now clock.Millis, s *witnessedIssuer, e *witnessEntry, q Query) (a Answer, needsRow bool) {
	switch s.pairRow {
	case PairFencedByWitness:
		w.settle(e, e.lostAnswer(true))
		return e.final, false
	case PairReleasedByIssuer:
		// The issuer continued without the witness, so only its own records of starts are
		// complete. Once the issuer is lost as well, any task may have run.
		if q.IssuerAbsent && now-s.lastContact >= LostTimeout {
			w.settle(e, e.lostAnswer(false))
			return e.final, false
		}
		return cannotTellYet("the issuer of the id answers for it and cannot be reached"), false
	default:
		return cannotTellYet("the platform has not yet confirmed that the issuer is lost"), true
	}
}

// SetPairRow records the content of the pair row of an issuer.
func (w *Witness) SetPairRow(issuer vm.Incarnation, row PairRow) {
	if s, ok := w.issuers[issuer]; ok && row != PairRowUnknown {
		s.pairRow = row
	}
}

// Evict drops records that are older than the RetentionWindow, a bounded number per call.
func (w *Witness) Evict(now clock.Millis) {
	for range maxEvictionsPerCall {
		id, ok := w.order.pop(now - RetentionWindow)
		if !ok {
			return
		}
		s := w.issuers[id.Issuer]
		s.evictedUpTo = max(s.evictedUpTo, id.IssuedAt)
		w.bytes -= s.entries[id].bytes()
		w.count--
		delete(s.entries, id)
	}
}

func (w *Witness) findOrAddIssuer(now clock.Millis, issuer vm.Incarnation, limit int) (*witnessedIssuer, bool) {
	s, ok := w.issuers[issuer]
	if !ok && len(w.issuers) >= limit {
		return nil, false
	}
	if !ok {
		s = &witnessedIssuer{entries: make(map[SubmissionID]*witnessEntry), lastContact: now, evictedUpTo: -1}
		w.issuers[issuer] = s
	}
	return s, true
}

func (w *Witness) store(now clock.Millis, issuer vm.Incarnation, s *witnessedIssuer, r Record) RecordStatus {
	switch r := r.(type) {
	case StartRecord:
		e, status := w.findOrAddEntry(now, issuer, s, r.ID, r.Owner, r.Digest)
		if status != RecordAccepted {
			return status
		}
		before := e.bytes()
		e.taskCount = max(e.taskCount, r.TaskCount)
		for _, t := range r.Tasks {
			e.markStarted(t)
		}
		w.bytes += e.bytes() - before
	case SettleRecord:
		e, status := w.findOrAddEntry(now, issuer, s, r.ID, r.Owner, r.Digest)
		if status != RecordAccepted {
			return status
		}
		w.settle(e, r.Answer)
	}
	return RecordAccepted
}

// settle stores the first final answer; later ones are copies of it.
func (w *Witness) settle(e *witnessEntry, final Answer) {
	if e.final != nil {
		return
	}
	before := e.bytes()
	e.final, e.started = final, nil
	w.bytes += e.bytes() - before
}

// findOrAddEntry returns the entry of an id, or adds one if the limits allow it.
func (w *Witness) findOrAddEntry(now clock.Millis, issuer vm.Incarnation, s *witnessedIssuer, id SubmissionID, o owner.ID, d Digest) (*witnessEntry, RecordStatus) {
	if id.Issuer != issuer || id.Witness != w.config.Self {
		return nil, RecordFenced
	}
	if e, ok := s.entries[id]; ok {
		return e, RecordAccepted
	}
	if id.IssuedAt <= s.evictedUpTo {
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

func cannotTellYet(reason string) Answer {
	return CannotTellYet{Reason: reason, RetryAfter: retryDelay}
}
