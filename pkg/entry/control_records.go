package entry

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

func (c *Control) outbox(witness vm.Incarnation) *outbox {
	o, ok := c.outboxes[witness]
	if !ok {
		o = &outbox{}
		c.outboxes[witness] = o
	}
	return o
}

func (c *Control) flushOutboxes() {
	for incarnation, o := range c.outboxes {
		witness, ok := c.roster.Find(incarnation)
		if !ok {
			continue
		}
		if records := o.nextBatch(); records != nil {
			c.do(SendRecords{Witness: witness, Records: records})
		}
	}
}

func (c *Control) recordsAnswered(now clock.Millis, e RecordsAnswered) {
	o := c.outbox(e.Witness)
	if e.Statuses == nil {
		o.retry()
		return
	}
	for i, out := range o.answered() {
		c.recordAnswered(now, out, e.Statuses[i])
	}
}

func (c *Control) recordAnswered(now clock.Millis, out outgoing, status contract.RecordStatus) {
	switch r := out.record.(type) {
	case contract.StartRecord:
		if status != contract.RecordAccepted {
			c.scheduler.Abandon(now, out.start)
			out.entry.End(out.start.Task.Index, contract.NotStarted{})
			c.settleIfEnded(out.entry)
			return
		}
		c.send(out.entry, out.start)
	case contract.SettleRecord:
		if status == contract.RecordAccepted {
			c.conclude(out.entry, r.Answer)
		}
	}
}

func (c *Control) recordsReceived(e RecordsReceived) {
	statuses := make([]contract.RecordStatus, len(e.Records))
	for i, r := range e.Records {
		statuses[i] = c.witness.Record(r)
	}
	c.do(ReplyTo{Waiter: e.Waiter, Reply: RecordsReply{Statuses: statuses}})
}

func (c *Control) witnessAsked(e WitnessAsked) {
	if final, ok := c.witness.Settled(e.ID); ok {
		c.answer(e.Waiter, final)
		return
	}
	c.answer(e.Waiter, contract.CannotTellYet{Reason: "the issuer cannot be reached", RetryAfter: unavailableRetry})
}
