package entry

import (
	"fmt"
	"slices"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

const unavailableRetry = clock.Second

func (c *Control) submitted(now clock.Millis, e Submitted) {
	s := e.Submission
	if !c.mint.Reserved(s.ID, s.Owner) {
		c.answer(e.Waiter, contract.NotFound{})
		return
	}
	if entry, ok := c.ledger.Find(s.ID); ok {
		c.join(e, entry)
		return
	}
	if refusal, ok := c.admit(now, s); !ok {
		c.answer(e.Waiter, refusal)
		return
	}
	entry := c.ledger.Open(now, s)
	verdict := c.scheduler.Admit(now, c.job(now, entry))
	if r, ok := verdict.(dispatch.Rejected); ok {
		entry.Final = contract.Refused{Cause: contract.RefusedOverload, Reason: r.Reason, RetryAfter: r.RetryAfter}
	}
	c.reportOrWait(e.Waiter, entry, e.Wait)
}

// admit checks what can be checked before anything is recorded.
func (c *Control) admit(_ clock.Millis, s contract.Submission) (contract.Refused, bool) {
	o, ok := c.owners[s.Owner]
	if !ok {
		return contract.Refused{Cause: contract.RefusedUnavailable, Reason: "no bundle with this owner is in force", RetryAfter: unavailableRetry}, false
	}
	if _, ok := o.Class(s.Class); !ok {
		return contract.Refused{Cause: contract.RefusedInvalid, Reason: "the owner has no urgency class " + string(s.Class)}, false
	}
	if most := o.Limits.TasksPerJob; most > 0 && len(s.Tasks) > most {
		return contract.Refused{Cause: contract.RefusedInvalid, Reason: fmt.Sprintf("the job has %d tasks and the owner's limit is %d", len(s.Tasks), most)}, false
	}
	return contract.Refused{}, true
}

func (c *Control) job(now clock.Millis, entry *contract.LedgerEntry) dispatch.Job {
	s := entry.Submission
	class, _ := c.owners[s.Owner].Class(s.Class)
	span := s.Deadline
	if span == 0 {
		span = class.Deadline
	}
	return dispatch.Job{
		Ref:      entry.Ref,
		Owner:    s.Owner,
		Rank:     class.Rank,
		Kind:     s.Kind,
		Deadline: now + span,
		Tasks:    len(s.Tasks),
	}
}

func (c *Control) join(e Submitted, entry *contract.LedgerEntry) {
	if entry.Digest != e.Submission.Digest() {
		c.answer(e.Waiter, contract.Conflict{})
		return
	}
	c.reportOrWait(e.Waiter, entry, e.Wait)
}

func (c *Control) asked(e Asked) {
	if !c.mint.Reserved(e.ID, e.Owner) {
		c.answer(e.Waiter, contract.NotFound{})
		return
	}
	entry, ok := c.ledger.Find(e.ID)
	if !ok {
		c.answer(e.Waiter, contract.NotFound{})
		return
	}
	c.reportOrWait(e.Waiter, entry, e.Wait)
}

func (c *Control) cancelled(now clock.Millis, e Cancelled) {
	entry, ok := c.ledger.Find(e.ID)
	if !ok || !c.mint.Reserved(e.ID, e.Owner) {
		c.answer(e.Waiter, contract.NotFound{})
		return
	}
	for _, t := range c.scheduler.Cancel(now, entry.Ref) {
		entry.End(t, contract.NotStarted{})
	}
	c.settleIfEnded(entry)
	c.reportOrWait(e.Waiter, entry, false)
}

func (c *Control) reportOrWait(w WaiterID, entry *contract.LedgerEntry, wait bool) {
	switch {
	case entry.Final != nil:
		c.answer(w, entry.Final)
	case wait:
		c.waiters[entry.Ref] = append(c.waiters[entry.Ref], w)
	default:
		c.answer(w, contract.Running{})
	}
}

func (c *Control) forgetWaiter(w WaiterID) {
	for ref, waiters := range c.waiters {
		if i := slices.Index(waiters, w); i >= 0 {
			c.waiters[ref] = slices.Delete(waiters, i, i+1)
			return
		}
	}
}

// startTasks takes as many starts as there are free slots. Each is recorded at the
// witness before it goes out.
func (c *Control) startTasks(now clock.Millis) {
	for {
		start, ok := c.scheduler.Next(now)
		if !ok {
			return
		}
		entry, _ := c.ledger.ByRef(start.Task.Job)
		if entry.Submission.ID.Witness == vm.None {
			c.send(entry, start)
			continue
		}
		c.outbox(entry.Submission.ID.Witness).add(outgoing{
			record: contract.StartRecord{
				ID:        entry.Submission.ID,
				Owner:     entry.Submission.Owner,
				TaskCount: len(entry.Submission.Tasks),
				Tasks:     []contract.TaskIndex{start.Task.Index},
			},
			entry: entry,
			start: start,
		})
	}
}

func (c *Control) send(entry *contract.LedgerEntry, start dispatch.Start) {
	task := start.Task.Index
	c.do(RunAttempt{
		Attempt:  entry.NextAttempt(task),
		Start:    start,
		Endpoint: c.endpoints[start.Endpoint],
		Payload:  entry.Submission.Tasks[task].Payload,
		Deadline: c.config.AttemptTimeout,
		Accepted: entry.AcceptedAt,
		Trace:    entry.Submission.Trace,
	})
}

func (c *Control) attemptEnded(now clock.Millis, e AttemptEnded) {
	requeued := c.scheduler.Finish(now, e.Start, e.Result)
	entry, ok := c.ledger.ByRef(e.Start.Task.Job)
	if !ok || requeued {
		return
	}
	entry.End(e.Start.Task.Index, e.Result)
	c.settleIfEnded(entry)
}

// settleIfEnded gives the whole answer to the witness before any caller hears it.
func (c *Control) settleIfEnded(entry *contract.LedgerEntry) {
	if !entry.Ended() || entry.Final != nil {
		return
	}
	final := entry.Outcome()
	if entry.Submission.ID.Witness == vm.None {
		c.conclude(entry, final)
		return
	}
	c.outbox(entry.Submission.ID.Witness).add(outgoing{
		record: contract.SettleRecord{ID: entry.Submission.ID, Owner: entry.Submission.Owner, Digest: entry.Digest, Answer: final},
		entry:  entry,
	})
}

func (c *Control) conclude(entry *contract.LedgerEntry, final contract.Answer) {
	entry.Final = final
	for _, w := range c.waiters[entry.Ref] {
		c.answer(w, final)
	}
	delete(c.waiters, entry.Ref)
}
