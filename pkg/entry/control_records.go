package entry

import (
	"slices"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

func (c *Control) outbox(witness vm.Incarnation) *outbox {
	o, ok := c.outboxes[witness]
	if !ok {
		o = newOutbox(witness)
		c.outboxes[witness] = o
		i, _ := slices.BinarySearch(c.witnesses, witness)
		c.witnesses = slices.Insert(c.witnesses, i, witness)
	}
	return o
}

// flushOutboxes sends the batches that are due, in the sorted order of the witnesses, so that
// the same events always result in the same actions.
func (c *Control) flushOutboxes(now clock.Millis) {
	for _, incarnation := range c.witnesses {
		o := c.outboxes[incarnation]
		witness, ok := c.present(incarnation)
		if !ok {
			c.handleAbsentWitness(now, o)
			continue
		}
		records, dropped := o.nextBatch(now)
		for _, out := range dropped {
			c.dropStart(now, out)
		}
		if len(records) > 0 {
			c.emit(SendRecords{Witness: witness, Batch: o.batch, Records: records})
		}
		c.flushHandOver(now, o, witness)
	}
}

// handleAbsentWitness handles a witness that is not present like one that does not answer.
func (c *Control) handleAbsentWitness(now clock.Millis, o *outbox) {
	if len(o.queued) > 0 && o.state == pairOpen && o.callBackoff.due(now) {
		c.callFailed(now, o)
	}
}

func (c *Control) callFailed(now clock.Millis, o *outbox) {
	if o.callBackoff.failures == 0 {
		o.failingSince = now
	}
	o.callBackoff.failed(now, c.rng)
	if o.callBackoff.failures == 1 {
		c.witnessForIDs = c.chooseWitness()
	}
	if now-o.failingSince >= contract.UnreachableTimeout {
		c.beginRelease(now, o)
	}
}

func (c *Control) handleRecordsAnswered(now clock.Millis, e RecordsAnswered) {
	o, ok := c.outboxes[e.Witness]
	if !ok || e.Batch != o.batch || len(o.inFlight) == 0 {
		return
	}
	if len(e.Statuses) != o.records || slices.Contains(e.Statuses, contract.RecordStale) {
		o.retry()
		c.callFailed(now, o)
		return
	}
	if o.callBackoff.failures > 0 {
		o.callBackoff.succeeded()
		c.witnessForIDs = c.chooseWitness()
	}
	if slices.Contains(e.Statuses, contract.RecordFenced) {
		c.beginRelease(now, o)
		return
	}
	for _, out := range o.takeInFlight() {
		c.handleRecordStatus(now, out, e.Statuses[out.record])
	}
}

func (c *Control) handleRecordStatus(now clock.Millis, out outgoing, status contract.RecordStatus) {
	if out.final == nil {
		c.handleStartStatus(now, out, status)
		return
	}
	// A witness that is full or treats the id as expired never gives a different answer for
	// it, so the answer may be given without it.
	out.entry.Settled = status == contract.RecordAccepted
	c.conclude(out.entry, out.final)
}

func (c *Control) handleStartStatus(now clock.Millis, out outgoing, status contract.RecordStatus) {
	e := out.entry
	if status == contract.RecordAccepted && e.Final == nil {
		e.Acknowledge(out.task)
	}
	switch {
	case e.Final != nil || e.Cancelled:
		c.dropStart(now, out)
	case status == contract.RecordAccepted:
		c.send(e, out.start, out.task)
	case e.Acknowledged:
		c.requeue(now, out.start)
		c.stop(now, e, contract.Refused{})
		c.settleIfEnded(e)
	default:
		c.refuseUnrecorded(now, out, status)
	}
}

// refuseUnrecorded ends a submission of which the witness has no record and will have none:
// it rejects delayed copies of earlier batches as stale.
func (c *Control) refuseUnrecorded(now clock.Millis, out outgoing, status contract.RecordStatus) {
	refusal := contract.Refused{Cause: contract.RefusedOverload, Reason: "the witness has no room for another id", RetryAfter: retryDelay}
	if status == contract.RecordExpired {
		refusal = contract.Refused{Cause: contract.RefusedUnavailable, Reason: "the witness no longer accepts an id of this age"}
	}
	e := out.entry
	e.RecordSent = false
	c.abort(now, e, refusal)
	c.dropStart(now, out)
}

func (c *Control) handleRecordsReceived(now clock.Millis, e RecordsReceived) {
	statuses := c.witness.Record(now, e.Issuer, e.Batch, e.Records)
	c.emit(ReplyTo{Waiter: e.Waiter, Reply: RecordsReply{Statuses: statuses}})
}
