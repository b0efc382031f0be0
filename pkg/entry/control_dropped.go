package entry

import (
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
)

// answerDropped answers for the jobs that the scheduler took out of the queue by itself.
func (c *Control) answerDropped() {
	for {
		dropped, ok := c.scheduler.NextDropped()
		if !ok {
			return
		}
		switch d := dropped.(type) {
		case dispatch.Shed:
			c.refuseShed(d)
		case dispatch.Doomed:
			c.failDoomed(d)
		}
	}
}

// refuseShed refuses a job of which nothing has started, so the refusal is exact.
func (c *Control) refuseShed(d dispatch.Shed) {
	if entry, ok := c.ledger.ByRef(d.Job); ok {
		c.conclude(entry, contract.Refused{Cause: contract.RefusedOverload, Reason: d.Reason, RetryAfter: d.RetryAfter})
	}
}

func (c *Control) failDoomed(d dispatch.Doomed) {
	if entry, ok := c.ledger.ByRef(d.Job); ok {
		entry.GiveUp(d.Tasks, d.Reason)
		c.settleIfEnded(entry)
	}
}
