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

// flushOutboxes sends what is due, in the order of the witnesses' names, so that the
// same events always give the same actions.
func (c *Control) flushOutboxes(now clock.Millis) {
	for _, incarnation := range c.witnesses {
		o := c.outboxes[incarnation]
		witness, ok := c.present(incarnation)
		if !ok {
			c.missWitness(now, o)
			continue
		}
		records, dropped := o.nextBatch(now)
		for _, out := range dropped {
			c.dropStart(now, out)
		}
		if len(records) > 0 {
			c.do(SendRecords{Witness: witness, Batch: o.batch, Records: records})
		}
		c.flushHandOver(now, o, witness)
	}
}

// missWitness counts a witness out of the roster as one that does not answer.
func (c *Control) missWitness(now clock.Millis, o *outbox) {
	if len(o.waiting) > 0 && o.state == pairOpen && o.calls.due(now) {
		c.callFailed(now, o)
	}
}

func (c *Control) callFailed(now clock.Millis, o *outbox) {
	if o.calls.failures == 0 {
		o.failingSince = now
	}
	o.calls.failed(now, c.rng)
	if o.calls.failures == 1 {
		c.witnessForIDs = c.chooseWitness()
	}
	if now-o.failingSince >= contract.UnreachableTimeout {
		c.beginRelease(now, o)
	}
}

func (c *Control) recordsAnswered(now clock.Millis, e RecordsAnswered) {
	o, ok := c.outboxes[e.Witness]
	if !ok || e.Batch != o.batch || len(o.underWay) == 0 {
		return
	}
	if len(e.Statuses) != o.records || slices.Contains(e.Statuses, contract.RecordStale) {
		o.retry()
		c.callFailed(now, o)
		return
	}
	if o.calls.failures > 0 {
		o.calls.succeeded()
		c.witnessForIDs = c.chooseWitness()
	}
	if slices.Contains(e.Statuses, contract.RecordFenced) {
		c.beginRelease(now, o)
		return
	}
	for _, out := range o.answered() {
		c.recordAnswered(now, out, e.Statuses[out.record])
	}
}

func (c *Control) recordAnswered(now clock.Millis, out outgoing, status contract.RecordStatus) {
	if out.final == nil {
		c.startAnswered(now, out, status)
		return
	}
	// A witness that has no place for the id, or calls it expired, never gives another
	// answer for it.
	out.entry.Settled = status == contract.RecordAccepted
	c.conclude(out.entry, out.final)
}

func (c *Control) startAnswered(now clock.Millis, out outgoing, status contract.RecordStatus) {
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

// refuseUnrecorded ends a submission of which the witness holds nothing and will hold
// nothing: older copies of its records are recognised as stale.
func (c *Control) refuseUnrecorded(now clock.Millis, out outgoing, status contract.RecordStatus) {
	refusal := contract.Refused{Cause: contract.RefusedOverload, Reason: "the witness has no room for another id", RetryAfter: unavailableRetry}
	if status == contract.RecordExpired {
		refusal = contract.Refused{Cause: contract.RefusedUnavailable, Reason: "the witness no longer accepts an id of this age"}
	}
	e := out.entry
	e.RecordSent = false
	c.abort(now, e, refusal)
	c.dropStart(now, out)
}

func (c *Control) recordsReceived(now clock.Millis, e RecordsReceived) {
	statuses := c.witness.Record(now, e.Issuer, e.Batch, e.Records)
	c.do(ReplyTo{Waiter: e.Waiter, Reply: RecordsReply{Statuses: statuses}})
}
