package entry

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
)

// handleDropped ends the jobs that the scheduler removed from the queue itself.
func (c *Control) handleDropped(now clock.Millis) {
	for {
		dropped, ok := c.scheduler.NextDropped()
		if !ok {
			return
		}
		switch d := dropped.(type) {
		case dispatch.Shed:
			c.refuseShed(d)
		case dispatch.Unrunnable:
			c.failUnrunnable(now, d)
		}
	}
}

// refuseShed ends the tasks of an admission of which no task has started. The submission is
// answered with the refusal only if none of its tasks ran.
func (c *Control) refuseShed(d dispatch.Shed) {
	entry, ok := c.ledger.ByRef(d.Job)
	if !ok {
		return
	}
	entry.SetRefusal(contract.Refused{Cause: contract.RefusedOverload, Reason: d.Reason, RetryAfter: d.RetryAfter})
	entry.EndUnstarted(entry.AdmittedTasks(d.Job), d.Reason)
	c.settleIfEnded(entry)
}

// failUnrunnable ends a submission whose kind of task fails on every endpoint.
func (c *Control) failUnrunnable(now clock.Millis, d dispatch.Unrunnable) {
	entry, ok := c.ledger.ByRef(d.Job)
	if !ok {
		return
	}
	tasks := make([]contract.TaskIndex, len(d.Tasks))
	for i, t := range d.Tasks {
		tasks[i] = entry.ResolveTask(contract.TaskRef{Job: d.Job, Index: t})
	}
	entry.EndUnstarted(tasks, d.Reason)
	c.stop(now, entry, contract.Refused{Cause: contract.RefusedInvalid, Reason: d.Reason})
	c.settleIfEnded(entry)
}
