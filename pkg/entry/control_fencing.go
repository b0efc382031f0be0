package entry

import (
	"slices"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// beginRelease stops all starts that need the witness until the pair row decides which VM
// answers. Submissions of which no record was sent to the witness are refused at once.
func (c *Control) beginRelease(now clock.Millis, o *outbox) {
	if o.state != pairOpen {
		return
	}
	o.state = pairReleasing
	o.callBackoff.succeeded()
	c.witnessForIDs = c.chooseWitness()
	for _, out := range o.discard() {
		if out.final == nil {
			c.requeue(now, out.start)
		}
	}
	for _, e := range o.unsettled() {
		c.withdraw(now, e)
		if !e.RecordSent {
			c.abort(now, e, contract.OutOfTouch())
		}
	}
	c.writePairRow(o)
}

func (c *Control) writePairRow(o *outbox) {
	o.rowRequested = true
	c.emit(WritePairRow{Pair: contract.Pair{Issuer: c.config.Self, Witness: o.witness}, Row: contract.PairReleasedByIssuer})
}

func (c *Control) handlePairRowDecided(now clock.Millis, e PairRowDecided) {
	if e.Pair.Witness == c.config.Self {
		c.handleFenceDecided(now, e)
		return
	}
	o, ok := c.outboxes[e.Pair.Witness]
	if !ok || o.state != pairReleasing {
		return
	}
	o.rowRequested = false
	switch e.Row {
	case contract.PairReleasedByIssuer:
		c.finishRelease(now, o)
	case contract.PairFencedByWitness:
		c.yieldToWitness(o)
	case contract.PairRowUnknown:
		o.rowBackoff.failed(now, c.rng)
	}
}

// finishRelease continues the submissions that have started, now without the witness, and
// refuses the others.
func (c *Control) finishRelease(now clock.Millis, o *outbox) {
	o.state = pairReleased
	for _, e := range o.unsettled() {
		if e.HasOutcome() {
			c.conclude(e, e.Outcome())
			continue
		}
		if !e.Acknowledged {
			c.abort(now, e, contract.OutOfTouch())
			continue
		}
		c.readmit(now, e, e.Withdrawn)
		c.settleIfEnded(e)
	}
}

func (c *Control) yieldToWitness(o *outbox) {
	o.state = pairFenced
	for _, e := range o.unsettled() {
		c.ledger.Fence(e)
		delete(o.entries, e)
		c.answerWaiters(e, answeredByWitness())
	}
}

func answeredByWitness() contract.Answer {
	return contract.CannotTellYet{Reason: "the witness of the id answers for it", RetryAfter: retryDelay}
}

func (c *Control) handleWitnessAnswerRequested(now clock.Millis, e WitnessAnswerRequested) {
	a, needsRow := c.witness.Ask(now, contract.Query{ID: e.ID, Owner: e.Owner, Digest: e.Digest, IssuerAbsent: c.isLost(now, e.ID.Issuer)})
	c.answer(e.Waiter, a)
	if !needsRow {
		return
	}
	if _, ok := c.pendingFences[e.ID.Issuer]; !ok {
		c.pendingFences[e.ID.Issuer] = &backoff{}
		c.requestFence(e.ID.Issuer)
	}
}

func (c *Control) requestFence(issuer vm.Incarnation) {
	c.emit(WritePairRow{Pair: contract.Pair{Issuer: issuer, Witness: c.config.Self}, Row: contract.PairFencedByWitness})
}

// handleFenceDecided records the row of a pair in which this VM is the witness.
func (c *Control) handleFenceDecided(now clock.Millis, e PairRowDecided) {
	c.witness.SetPairRow(e.Pair.Issuer, e.Row)
	b, ok := c.pendingFences[e.Pair.Issuer]
	if !ok || slices.Contains(c.fenceRetries, e.Pair.Issuer) {
		return
	}
	if e.Row != contract.PairRowUnknown {
		delete(c.pendingFences, e.Pair.Issuer)
		return
	}
	b.failed(now, c.rng)
	c.fenceRetries = append(c.fenceRetries, e.Pair.Issuer)
}

// retryRows retries the pair rows whose outcome is unknown.
func (c *Control) retryRows(now clock.Millis) {
	for _, w := range c.witnesses {
		if o := c.outboxes[w]; o.state == pairReleasing && !o.rowRequested && o.rowBackoff.due(now) {
			c.writePairRow(o)
		}
	}
	kept := c.fenceRetries[:0]
	for _, issuer := range c.fenceRetries {
		if !c.pendingFences[issuer].due(now) {
			kept = append(kept, issuer)
			continue
		}
		c.requestFence(issuer)
	}
	c.fenceRetries = kept
}

// handleOrphanAnswerRequested answers for an id whose issuer and witness cannot be reached.
// When both are permanently lost, no VM has a record of which tasks ran. The answer is never
// Expired: the time of issue is a time on the issuer's clock, which this VM cannot compare with
// its own.
func (c *Control) handleOrphanAnswerRequested(now clock.Millis, e OrphanAnswerRequested) {
	issuerLost := c.isLost(now, e.ID.Issuer)
	witnessLost := e.ID.Witness == vm.None || c.isLost(now, e.ID.Witness)
	if issuerLost && witnessLost {
		c.answer(e.Waiter, contract.Failed{Reason: "the VMs that held the submission are lost; every task may have run"})
		return
	}
	c.answer(e.Waiter, contract.CannotTellYet{Reason: "neither the issuer nor the witness of the id can be reached", RetryAfter: retryDelay})
}

// maxQueriedVMs limits the absent VMs that are tracked because of questions about them. Callers
// can invent VMs.
const maxQueriedVMs = 5000

// isLost reports whether a VM is to be treated as permanently lost: it has not been seen for the
// LostTimeout, and a read of the platform's table after that time did not find it. An older read
// proves nothing about a VM that has started since. The time of a VM that was never present
// counts from the first question about it, because it may have started only just before.
func (c *Control) isLost(now clock.Millis, i vm.Incarnation) bool {
	if _, present := c.present(i); present || i == c.config.Self {
		return false
	}
	since, ok := c.lastSeen[i]
	if !ok {
		if len(c.lastSeen) < maxQueriedVMs {
			c.lastSeen[i] = now
		}
		return false
	}
	return now-since >= contract.LostTimeout && c.tableReadSince(since+contract.LostTimeout)
}

func (c *Control) handlePeerSeen(now clock.Millis, e PeerSeen) {
	c.witness.RecordContact(now, e.Incarnation)
	if _, ok := c.lastSeen[e.Incarnation]; ok {
		c.lastSeen[e.Incarnation] = now
	}
	if v, ok := c.roster.Find(e.Incarnation); ok && c.roster == c.peers.membership.Roster() {
		c.setRoster(now, c.peers.membership.RecordHeartbeat(now, v))
	}
}

// handleRosterChanged puts a roster into force and records when VMs ceased to be present, from
// which isLost derives whether they are permanently lost.
func (c *Control) handleRosterChanged(now clock.Millis, e RosterChanged) {
	before := c.roster
	c.roster = e.Roster
	for _, v := range before.VMs() {
		c.updateLastSeen(now, v.Incarnation)
	}
	for _, v := range e.Roster.VMs() {
		c.updateLastSeen(now, v.Incarnation)
	}
	c.witnessForIDs = c.chooseWitness()
	if !e.Roster.SameIn(c.config.DataCentre, before) {
		// Home VMs depend only on the VMs of the data centre.
		clear(c.homes)
		c.assignSlots(now)
	}
}

// compensatePause detects a pause of this VM and extends by it the time-outs after which the
// others are fenced or treated as lost. The membership and the links do the same for theirs.
func (c *Control) compensatePause(now clock.Millis) {
	pause := now - c.handledAt
	c.handledAt = now
	if pause <= vm.SuspectAfter {
		return
	}
	c.witness.CompensatePause(pause)
	for i := range c.lastSeen {
		c.lastSeen[i] += pause
	}
}

func (c *Control) updateLastSeen(now clock.Millis, i vm.Incarnation) {
	if _, ok := c.present(i); ok {
		delete(c.lastSeen, i)
		return
	}
	if _, ok := c.lastSeen[i]; !ok {
		c.lastSeen[i] = now
	}
}

// pruneLastSeen removes VMs that were last seen so long ago that no record of their ids is kept.
func (c *Control) pruneLastSeen(now clock.Millis) {
	if now < c.pruneLastSeenAt {
		return
	}
	c.pruneLastSeenAt = now + contract.RetentionWindow
	for i, seen := range c.lastSeen {
		if now-seen > 2*contract.RetentionWindow {
			delete(c.lastSeen, i)
		}
	}
}

// chooseWitness picks the witness of new ids among the VMs whose pair is open. A VM whose
// last call failed is taken only if there is no other.
func (c *Control) chooseWitness() vm.Incarnation {
	answering := c.witnessAmong(func(o *outbox) bool { return o.state == pairOpen && o.callBackoff.failures == 0 })
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
