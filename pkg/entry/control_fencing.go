package entry

import (
	"slices"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// beginRelease stops all starts that need the witness until the platform has decided
// who answers. What the witness cannot know of is refused at once.
func (c *Control) beginRelease(now clock.Millis, o *outbox) {
	if o.state != pairOpen {
		return
	}
	o.state = pairReleasing
	o.calls.succeeded()
	c.witnessForIDs = c.chooseWitness()
	for _, out := range o.abandon() {
		if out.final == nil {
			c.requeue(now, out.start)
		}
	}
	for _, e := range o.open() {
		c.withdraw(now, e)
		if !e.RecordSent {
			c.abort(now, e, witnessLost())
		}
	}
	c.writePairRow(o)
}

func witnessLost() contract.Refused {
	return contract.Refused{Cause: contract.RefusedUnavailable, Reason: "the witness of the id cannot be reached; reserve a new id", RetryAfter: unavailableRetry}
}

func (c *Control) writePairRow(o *outbox) {
	o.rowAsked = true
	c.do(WritePairRow{Pair: contract.Pair{Issuer: c.config.Self, Witness: o.witness}, Row: contract.PairReleasedByIssuer})
}

func (c *Control) pairRowDecided(now clock.Millis, e PairRowDecided) {
	if e.Pair.Witness == c.config.Self {
		c.issuerDecided(now, e)
		return
	}
	o, ok := c.outboxes[e.Pair.Witness]
	if !ok || o.state != pairReleasing {
		return
	}
	o.rowAsked = false
	switch e.Row {
	case contract.PairReleasedByIssuer:
		c.finishRelease(now, o)
	case contract.PairFencedByWitness:
		c.loseToWitness(o)
	case contract.PairRowUnknown:
		o.row.failed(now, c.rng)
	}
}

// finishRelease goes on without the witness with every submission that has started,
// and refuses the others.
func (c *Control) finishRelease(now clock.Millis, o *outbox) {
	o.state = pairReleased
	for _, e := range o.open() {
		if e.HasOutcome() {
			c.conclude(e, e.Outcome())
			continue
		}
		if !e.Acknowledged {
			c.abort(now, e, witnessLost())
			continue
		}
		c.readmit(now, e, e.Withdrawn)
		c.settleIfEnded(e)
	}
}

func (c *Control) loseToWitness(o *outbox) {
	o.state = pairFenced
	for _, e := range o.open() {
		c.ledger.Fence(e)
		delete(o.entries, e)
		c.answerWaiters(e, answeredByWitness())
	}
}

func answeredByWitness() contract.Answer {
	return contract.CannotTellYet{Reason: "the witness of the id answers for it", RetryAfter: unavailableRetry}
}

func (c *Control) witnessAsked(now clock.Millis, e WitnessAnswerRequested) {
	_, listed := c.present(e.ID.Issuer)
	a, needsRow := c.witness.Ask(now, contract.Query{ID: e.ID, Owner: e.Owner, Digest: e.Digest, IssuerLeftRoster: !listed})
	c.answer(e.Waiter, a)
	if !needsRow {
		return
	}
	if _, ok := c.fences[e.ID.Issuer]; !ok {
		c.fences[e.ID.Issuer] = &backoff{}
		c.fence(e.ID.Issuer)
	}
}

func (c *Control) fence(issuer vm.Incarnation) {
	c.do(WritePairRow{Pair: contract.Pair{Issuer: issuer, Witness: c.config.Self}, Row: contract.PairFencedByWitness})
}

// issuerDecided notes the row of a pair in which this VM is the witness.
func (c *Control) issuerDecided(now clock.Millis, e PairRowDecided) {
	c.witness.SetPairRow(e.Pair.Issuer, e.Row)
	b, ok := c.fences[e.Pair.Issuer]
	if !ok || slices.Contains(c.retryFences, e.Pair.Issuer) {
		return
	}
	if e.Row != contract.PairRowUnknown {
		delete(c.fences, e.Pair.Issuer)
		return
	}
	b.failed(now, c.rng)
	c.retryFences = append(c.retryFences, e.Pair.Issuer)
}

// retryRows tries the rows again whose outcome is open.
func (c *Control) retryRows(now clock.Millis) {
	for _, w := range c.witnesses {
		if o := c.outboxes[w]; o.state == pairReleasing && !o.rowAsked && o.row.due(now) {
			c.writePairRow(o)
		}
	}
	kept := c.retryFences[:0]
	for _, issuer := range c.retryFences {
		if !c.fences[issuer].due(now) {
			kept = append(kept, issuer)
			continue
		}
		c.fence(issuer)
	}
	c.retryFences = kept
}

// orphanAsked answers for an id whose issuer and witness cannot be reached. When both
// are gone for good, nobody knows what ran.
func (c *Control) orphanAsked(now clock.Millis, e OrphanAnswerRequested) {
	switch {
	case now-e.ID.IssuedAt > contract.RetentionWindow:
		c.answer(e.Waiter, contract.Expired{})
	case c.gone(now, e.ID.Issuer) && (e.ID.Witness == vm.None || c.gone(now, e.ID.Witness)):
		c.answer(e.Waiter, contract.Failed{Reason: "the VMs that knew the submission are lost; every task may have run"})
	default:
		c.answer(e.Waiter, contract.CannotTellYet{Reason: "neither the issuer nor the witness of the id can be reached", RetryAfter: unavailableRetry})
	}
}

// gone reports whether a VM has been out of the roster and silent for long enough.
func (c *Control) gone(now clock.Millis, i vm.Incarnation) bool {
	if _, listed := c.present(i); listed || i == c.config.Self {
		return false
	}
	since, ok := c.lastSeen[i]
	if !ok {
		since = c.startedAt
	}
	return now-since >= contract.LostTimeout
}

func (c *Control) peerHeard(now clock.Millis, e PeerSeen) {
	c.witness.RecordContact(now, e.Incarnation)
	if _, ok := c.lastSeen[e.Incarnation]; ok {
		c.lastSeen[e.Incarnation] = now
	}
	if v, ok := c.roster.Find(e.Incarnation); ok && c.roster == c.neighbours.membership.Roster() {
		c.setRoster(now, c.neighbours.membership.RecordHeartbeat(now, v))
	}
}

// rosterChanged notes when VMs left, to tell those that are gone for good.
func (c *Control) rosterChanged(now clock.Millis, e RosterChanged) {
	before := c.roster
	c.roster = e.Roster
	for _, v := range before.VMs() {
		c.noteAbsence(now, v.Incarnation)
	}
	for _, v := range e.Roster.VMs() {
		c.noteAbsence(now, v.Incarnation)
	}
	c.witnessForIDs = c.chooseWitness()
	if !e.Roster.SameIn(c.config.DataCentre, before) {
		// The homes depend on the VMs of the data centre alone.
		clear(c.homes)
		c.assignHomes(now)
	}
}

func (c *Control) noteAbsence(now clock.Millis, i vm.Incarnation) {
	if _, ok := c.present(i); ok {
		delete(c.lastSeen, i)
		return
	}
	if _, noted := c.lastSeen[i]; !noted {
		c.lastSeen[i] = now
	}
}

// forgetGone drops VMs that left so long ago that no id of theirs is remembered.
func (c *Control) forgetGone(now clock.Millis) {
	if now < c.forgetAt {
		return
	}
	c.forgetAt = now + contract.RetentionWindow
	for i, seen := range c.lastSeen {
		if now-seen > 2*contract.RetentionWindow {
			delete(c.lastSeen, i)
		}
	}
}

// chooseWitness picks the witness of new ids among the VMs whose pair is open. One that
// does not answer at present is taken only if there is no other.
func (c *Control) chooseWitness() vm.Incarnation {
	answering := c.witnessAmong(func(o *outbox) bool { return o.state == pairOpen && o.calls.failures == 0 })
	if answering != vm.None {
		return answering
	}
	return c.witnessAmong(func(o *outbox) bool { return o.state == pairOpen })
}

func (c *Control) witnessAmong(eligible func(*outbox) bool) vm.Incarnation {
	var vms []vm.VM
	for _, v := range c.roster.VMs() {
		if o, ok := c.outboxes[v.Incarnation]; !ok || eligible(o) {
			vms = append(vms, v)
		}
	}
	return vm.NewRoster(vm.RosterConfig{Version: c.roster.Version, Self: c.config.Self, VMs: vms}).Witness()
}
