package entry

import (
	"fmt"
	"slices"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

const retryDelay = clock.Second

func (c *Control) handleSubmitted(now clock.Millis, e Submitted) {
	s := e.Submission
	if !c.idGenerator.Reserved(s.ID, s.Owner) {
		c.answer(e.Waiter, contract.NotFound{})
		return
	}
	if entry, ok := c.ledger.Find(s.ID); ok {
		c.joinExisting(now, e, entry)
		return
	}
	if now-s.ID.IssuedAt > contract.StartWindow {
		c.answer(e.Waiter, contract.Expired{})
		return
	}
	if c.handedOver(s.ID.Witness) {
		c.answer(e.Waiter, answeredByWitness())
		return
	}
	if refusal, ok := c.checkAdmission(s); !ok {
		c.refuse(now, e.Waiter, s, refusal)
		return
	}
	entry := c.ledger.Accept(now, s)
	if s.ID.Witness != vm.None {
		c.outbox(s.ID.Witness).entries[entry] = struct{}{}
	}
	admission := c.scheduler.Admit(now, c.job(now, entry, entry.Refs()[0], len(s.Tasks)))
	if r, ok := admission.(dispatch.Rejected); ok {
		c.conclude(entry, contract.Refused{Cause: contract.RefusedOverload, Reason: r.Reason, RetryAfter: r.RetryAfter})
	}
	c.answerOrWait(now, e.Waiter, entry, e.Wait)
}

// refuse records the refusal, so that a retransmitted copy of the submission is not run later.
func (c *Control) refuse(now clock.Millis, w WaiterID, s contract.Submission, r contract.Refused) {
	if !c.ledger.Refuse(now, s, r) {
		c.answer(w, contract.CannotTellYet{Reason: r.Reason, RetryAfter: retryDelay})
		return
	}
	c.queueRefusal(s.ID)
	c.answer(w, r)
}

// checkAdmission makes the checks that precede the record of the submission.
func (c *Control) checkAdmission(s contract.Submission) (contract.Refused, bool) {
	if c.draining {
		return contract.Refused{Cause: contract.RefusedUnavailable, Reason: "this VM is shutting down", RetryAfter: retryDelay}, false
	}
	o, ok := c.owners[s.Owner]
	if !ok {
		return contract.Refused{Cause: contract.RefusedUnavailable, Reason: "no bundle with this owner is in force", RetryAfter: retryDelay}, false
	}
	if _, ok := o.Class(s.Class); !ok {
		return contract.Refused{Cause: contract.RefusedInvalid, Reason: "the owner has no urgency class " + string(s.Class)}, false
	}
	if pair, ok := c.outboxes[s.ID.Witness]; ok && pair.state != pairOpen {
		return contract.OutOfTouch(), false
	}
	if !c.ledger.CanAccept(s) {
		return contract.Refused{Cause: contract.RefusedOverload, Reason: "this VM remembers too many submissions", RetryAfter: retryDelay}, false
	}
	if limit := o.Limits.TasksPerJob; limit > 0 && len(s.Tasks) > limit {
		return contract.Refused{Cause: contract.RefusedInvalid, Reason: fmt.Sprintf("the job has %d tasks and the owner's limit is %d", len(s.Tasks), limit)}, false
	}
	return contract.Refused{}, true
}

func (c *Control) job(now clock.Millis, entry *contract.LedgerEntry, ref contract.JobRef, tasks int) dispatch.Job {
	s := entry.Submission
	class, _ := c.owners[s.Owner].Class(s.Class)
	deadline := s.Deadline
	if deadline == 0 {
		deadline = class.Deadline
	}
	return dispatch.Job{
		Ref:      ref,
		Owner:    s.Owner,
		Rank:     class.Rank,
		Kind:     s.Kind,
		Deadline: max(now, entry.AcceptedAt+deadline),
		Tasks:    tasks,
	}
}

func (c *Control) joinExisting(now clock.Millis, e Submitted, entry *contract.LedgerEntry) {
	if entry.Digest != e.Submission.Digest() {
		c.answer(e.Waiter, contract.Conflict{})
		return
	}
	c.answerOrWait(now, e.Waiter, entry, e.Wait)
}

func (c *Control) handleAnswerRequested(now clock.Millis, e AnswerRequested) {
	entry, ok := c.findEntry(now, e.Waiter, e.ID, e)
	if ok {
		c.answerOrWait(now, e.Waiter, entry, e.Wait)
	}
}

// findEntry returns the ledger entry of an id; if there is none, it answers the waiter.
func (c *Control) findEntry(now clock.Millis, w WaiterID, id contract.SubmissionID, e AnswerRequested) (*contract.LedgerEntry, bool) {
	if !c.idGenerator.Reserved(id, e.Owner) {
		c.answer(w, contract.NotFound{})
		return nil, false
	}
	entry, ok := c.ledger.Find(id)
	switch {
	case ok:
		return entry, true
	case now-id.IssuedAt > contract.StartWindow:
		c.answer(w, contract.Expired{})
	default:
		c.answer(w, contract.NotFound{})
	}
	return nil, false
}

// handleCancelled drops the tasks that have not started. A start whose record is in flight is
// dropped when the witness has answered.
func (c *Control) handleCancelled(now clock.Millis, e Cancelled) {
	entry, ok := c.findEntry(now, e.Waiter, e.ID, AnswerRequested{Owner: e.Owner})
	if !ok {
		return
	}
	if entry.Final == nil && !entry.Fenced && !entry.HasOutcome() {
		c.stop(now, entry, contract.Refused{Cause: contract.RefusedCancelled, Reason: "the caller cancelled"})
		c.settleIfEnded(entry)
	}
	c.answerOrWait(now, e.Waiter, entry, false)
}

// stop ends every task that is queued or was withdrawn from the queue.
func (c *Control) stop(now clock.Millis, entry *contract.LedgerEntry, r contract.Refused) {
	entry.Cancelled = true
	entry.SetRefusal(r)
	c.withdraw(now, entry)
	for _, t := range entry.Withdrawn {
		entry.End(t, contract.NotStarted{})
	}
	entry.Withdrawn = nil
}

// abort ends a submission of which no task has started.
func (c *Control) abort(now clock.Millis, entry *contract.LedgerEntry, r contract.Refused) {
	c.stop(now, entry, r)
	c.conclude(entry, r)
}

// withdraw takes the tasks of a submission out of the queue.
func (c *Control) withdraw(now clock.Millis, entry *contract.LedgerEntry) {
	for _, ref := range entry.Refs() {
		c.withdrawJob(now, entry, ref)
	}
}

func (c *Control) withdrawJob(now clock.Millis, entry *contract.LedgerEntry, ref contract.JobRef) {
	for _, t := range c.scheduler.Cancel(now, ref) {
		entry.Withdrawn = append(entry.Withdrawn, entry.ResolveTask(contract.TaskRef{Job: ref, Index: t}))
	}
	entry.Close(ref)
}

// requeue puts the task of an unsent start back into the queue and frees its slot.
func (c *Control) requeue(now clock.Millis, start dispatch.Start) {
	c.scheduler.Finish(now, start, contract.NotStarted{Cause: contract.NotSent})
}

// dropStart ends a task whose submission was stopped before the start was sent.
func (c *Control) dropStart(now clock.Millis, out outgoing) {
	c.requeue(now, out.start)
	c.scheduler.Cancel(now, out.start.Task.Job)
	out.entry.End(out.task, contract.NotStarted{})
	c.settleIfEnded(out.entry)
}

// readmit queues the given tasks again. If the queue has no capacity, they end as not started.
func (c *Control) readmit(now clock.Millis, entry *contract.LedgerEntry, tasks []contract.TaskIndex) {
	entry.Withdrawn = nil
	if len(tasks) == 0 {
		return
	}
	ref := c.ledger.Readmit(entry, tasks)
	if _, ok := c.scheduler.Admit(now, c.job(now, entry, ref, len(tasks))).(dispatch.Admitted); ok {
		return
	}
	for _, t := range tasks {
		entry.End(t, contract.NotStarted{})
	}
}

func (c *Control) answerOrWait(now clock.Millis, w WaiterID, entry *contract.LedgerEntry, wait bool) {
	if entry.Fenced && c.isLost(now, entry.Submission.ID.Witness) {
		c.ledger.ConcludeFenced(entry)
	}
	switch {
	case entry.Final != nil:
		c.answer(w, entry.Final)
	case entry.Fenced:
		c.answer(w, answeredByWitness())
	case wait:
		c.waiters.add(w, entry)
	default:
		c.answer(w, contract.Running{})
	}
}

// handleWaiterCancelled replies to a waiter that no longer waits for the end of its submission.
func (c *Control) handleWaiterCancelled(w WaiterID) {
	if c.waiters.remove(w) {
		c.answer(w, contract.Running{})
		return
	}
	if i := slices.Index(c.drainWaiters, w); i >= 0 {
		c.drainWaiters = slices.Delete(c.drainWaiters, i, i+1)
		c.emit(ReplyTo{Waiter: w, Reply: ShutdownReply{}})
	}
}

// startTasks starts as many tasks as there are free slots. Each start is recorded at the
// witness before the task is sent.
func (c *Control) startTasks(now clock.Millis) {
	for {
		start, ok := c.scheduler.Next(now)
		if !ok {
			return
		}
		c.start(now, start)
	}
}

func (c *Control) start(now clock.Millis, start dispatch.Start) {
	entry, ok := c.ledger.ByRef(start.Task.Job)
	if !ok {
		c.requeue(now, start)
		c.scheduler.Cancel(now, start.Task.Job)
		return
	}
	id, task := entry.Submission.ID, entry.ResolveTask(start.Task)
	switch {
	case now-id.IssuedAt > contract.StartWindow:
		c.requeue(now, start)
		c.stop(now, entry, contract.Refused{Cause: contract.RefusedOverload, Reason: "no task could start in time"})
		c.settleIfEnded(entry)
	case id.Witness == vm.None || entry.Recorded(task) || c.outbox(id.Witness).state == pairReleased:
		c.send(entry, start, task)
	default:
		c.outbox(id.Witness).add(outgoing{entry: entry, start: start, task: task})
	}
}

func (c *Control) send(entry *contract.LedgerEntry, start dispatch.Start, task contract.TaskIndex) {
	c.retries.started()
	attempt := entry.NextAttempt(task)
	c.running[start] = attempt
	c.emit(RunAttempt{
		Attempt:  attempt,
		Start:    start,
		Endpoint: c.endpoints[start.Endpoint],
		Payload:  entry.Submission.Tasks[task].Payload,
		Timeout:  c.config.AttemptTimeout,
		Accepted: entry.AcceptedAt,
		Trace:    entry.Submission.Trace,
	})
}

// settleIfEnded records the final answer at the witness before any caller receives it.
func (c *Control) settleIfEnded(entry *contract.LedgerEntry) {
	if entry.Final != nil || entry.Fenced || entry.HasOutcome() || !entry.Ended() {
		return
	}
	final := entry.Outcome()
	if entry.Submission.ID.Witness == vm.None || !entry.RecordSent {
		c.conclude(entry, final)
		return
	}
	switch o := c.outbox(entry.Submission.ID.Witness); o.state {
	case pairOpen:
		o.add(outgoing{final: final, entry: entry})
	case pairReleased:
		c.conclude(entry, final)
	case pairReleasing, pairFenced:
	}
}

func settleRecord(e *contract.LedgerEntry, final contract.Answer) contract.Record {
	return contract.SettleRecord{ID: e.Submission.ID, Owner: e.Submission.Owner, Digest: e.Digest, Answer: final}
}

func (c *Control) conclude(entry *contract.LedgerEntry, final contract.Answer) {
	c.ledger.Conclude(entry, final)
	if o, ok := c.outboxes[entry.Submission.ID.Witness]; ok {
		delete(o.entries, entry)
		if o.state == pairReleased && entry.RecordSent {
			o.unreported = append(o.unreported, entry)
		}
	}
	c.answerWaiters(entry, entry.Final)
}

func (c *Control) answerWaiters(entry *contract.LedgerEntry, a contract.Answer) {
	for _, w := range c.waiters.take(entry) {
		c.answer(w, a)
	}
}
