package entry

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
)

func (c *Control) handleAttemptEnded(now clock.Millis, e AttemptEnded) {
	if attempt, ok := c.running[e.Start]; !ok || attempt != e.Attempt {
		c.strayAnswers++
		return
	}
	delete(c.running, e.Start)
	requeued := c.scheduler.Finish(now, e.Start, e.Result)
	entry, ok := c.ledger.ByRef(e.Start.Task.Job)
	if !ok {
		c.scheduler.Cancel(now, e.Start.Task.Job)
		return
	}
	switch {
	case requeued && entry.Cancelled:
		c.dropRequeued(now, entry)
	case requeued && c.releasing(entry):
		c.withdraw(now, entry)
	case requeued && entry.Closed(e.Start.Task.Job):
		c.withdrawJob(now, entry, e.Start.Task.Job)
		c.readmit(now, entry, entry.Withdrawn)
		c.settleIfEnded(entry)
	case requeued:
	case c.mayRetry(entry, e):
		entry.MarkAmbiguous(e.Attempt.Task)
		c.readmit(now, entry, []contract.TaskIndex{e.Attempt.Task})
		c.settleIfEnded(entry)
	default:
		c.ledger.End(entry, e.Attempt.Task, e.Result)
		c.settleIfEnded(entry)
	}
}

// dropRequeued drops a task that was requeued after its submission was stopped.
func (c *Control) dropRequeued(now clock.Millis, entry *contract.LedgerEntry) {
	c.withdraw(now, entry)
	for _, t := range entry.Withdrawn {
		entry.End(t, contract.NotStarted{})
	}
	entry.Withdrawn = nil
	c.settleIfEnded(entry)
}

func (c *Control) releasing(entry *contract.LedgerEntry) bool {
	o, ok := c.outboxes[entry.Submission.ID.Witness]
	return ok && o.state == pairReleasing
}

// mayRetry reports whether an attempt with an ambiguous result may be retried: only for a
// single task that its caller marked as repeatable, and within the retry budget.
func (c *Control) mayRetry(entry *contract.LedgerEntry, e AttemptEnded) bool {
	if _, ambiguous := e.Result.(contract.Ambiguous); !ambiguous {
		return false
	}
	s := entry.Submission
	return s.Repeatable && len(s.Tasks) == 1 && !entry.Cancelled && !c.draining && !c.releasing(entry) &&
		c.retries.spend(entry)
}
