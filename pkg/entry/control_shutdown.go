package entry

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// handOver is the state of sending answers to a witness outside of the regular batches.
type handOver struct {
	inFlight []*contract.LedgerEntry
	calling  bool
	last     bool
	done     bool
	backoff  backoff
}

// handleShutdownBegun stops accepting submissions. Running ones continue until they end.
func (c *Control) handleShutdownBegun(e ShutdownBegun) {
	c.draining = true
	c.drainWaiters = append(c.drainWaiters, e.Waiter)
}

// flushHandOver sends the answers that a witness has not received, which are those given after
// a release. At shutdown the last part passes the duty to answer to the witness: it then has
// all answers, and a submission of which it has no record was not run.
func (c *Control) flushHandOver(now clock.Millis, o *outbox, witness vm.VM) {
	last := c.draining && c.ledger.Idle()
	h := &o.handOver
	if h.calling || h.done || !h.backoff.due(now) || o.state == pairFenced || o.state == pairReleasing {
		return
	}
	if !last && (o.state != pairReleased || len(o.unreported) == 0) {
		return
	}
	records, size := []contract.Record{}, 0
	for len(o.unreported) > 0 && len(records) < maxBatchItems && size <= maxBatchBytes {
		e := o.unreported[0]
		o.unreported = o.unreported[1:]
		if _, ok := c.ledger.Find(e.Submission.ID); !ok {
			continue
		}
		r := settleRecord(e, e.Final)
		records, size = append(records, r), size+recordBytes(e.Final)
		h.inFlight = append(h.inFlight, e)
	}
	h.calling, h.last = true, last && len(o.unreported) == 0
	c.emit(SendHandOver{Witness: witness, Records: records, Last: h.last})
}

// queueRefusal queues a refusal given while draining for the witness, so that the witness gives
// the same answer once this VM has exited.
func (c *Control) queueRefusal(id contract.SubmissionID) {
	if !c.draining || id.Witness == vm.None {
		return
	}
	if entry, ok := c.ledger.Find(id); ok {
		o := c.outbox(id.Witness)
		o.unreported = append(o.unreported, entry)
	}
}

// handedOver reports whether the last part was sent to the witness. From then on only the
// witness answers for new submissions of its ids.
func (c *Control) handedOver(witness vm.Incarnation) bool {
	o, ok := c.outboxes[witness]
	return ok && (o.handOver.done || o.handOver.calling && o.handOver.last)
}

func (c *Control) handleHandOverAnswered(now clock.Millis, e HandOverAnswered) {
	o, ok := c.outboxes[e.Witness]
	if !ok || !o.handOver.calling {
		return
	}
	h := &o.handOver
	h.calling = false
	if !e.Accepted {
		o.unreported = append(h.inFlight, o.unreported...)
		h.inFlight = nil
		h.backoff.failed(now, c.rng)
		return
	}
	h.inFlight = nil
	h.backoff.succeeded()
	h.done = h.last
}

// reportDrained replies to the waiting shutdown once no work is left. It does not wait for a
// witness that is not present or that already answers for this VM, nor for one that was
// removed after a release: the row of a lost VM stays in the platform's table for a minute or
// two, so every shutdown after the loss of a witness would otherwise run into its time limit.
func (c *Control) reportDrained() {
	if !c.draining || !c.ledger.Idle() {
		return
	}
	for _, w := range c.witnesses {
		o := c.outboxes[w]
		v, present := c.present(w)
		removed := o.state == pairReleased && v.Status == vm.Removed
		if present && !removed && o.state != pairFenced && !o.handOver.done {
			return
		}
	}
	for _, w := range c.drainWaiters {
		c.emit(ReplyTo{Waiter: w, Reply: ShutdownReply{Drained: true}})
	}
	c.drainWaiters = nil
}
