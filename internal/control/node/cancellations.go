package node

import (
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/control/leader"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

const (
	// cancelRetention is how long a cancellation is kept. Callers that have no answer send a job again
	// within seconds.
	cancelRetention = clock.Minute
	// maxCancellations bounds those that are kept; one takes some 300 bytes. More are not confirmed.
	maxCancellations = 10_000
	// cancelRetryInterval is the interval between messages to a leader that has not confirmed one, and between
	// searches for new leaders.
	cancelRetryInterval = clock.Millis(100)
)

// cancellation is a job that its caller has cancelled. No shard of this VM accepts it any more.
type cancellation struct {
	job.Cancellation
	at clock.Millis
	// received means that the caller has sent it to this VM, which has to tell the leaders.
	received bool
	// storedAt is when its row was stored, or 0. storing means that it waits for a write.
	storedAt clock.Millis
	storing  bool
	// found means that a VM had the job.
	found bool
	// confirmedBy is the leader of each shard that has confirmed it, and sentAt when the present leader was
	// last told.
	confirmedBy map[shard.ID]vm.Incarnation
	sentAt      map[shard.ID]clock.Millis
	waiters     []cancelWaiter
}

// cancelWaiter is a request of a caller that waits for all leaders until a time limit.
type cancelWaiter struct {
	until clock.Millis
	done  chan<- CancelOutcome
}

// isCancelled reports whether the caller of a job has cancelled it.
func (n *Control) isCancelled(j *job.Job) bool {
	return n.cancellations[job.Cancellation{Job: j.ID, Origin: j.Origin}] != nil
}

// recordCancellation ends a job at this VM and in the shards that it leads. It returns nil if this VM has the
// limit of cancellations.
func (n *Control) recordCancellation(j job.Cancellation, limit int) *cancellation {
	c := n.cancellations[j]
	if c == nil {
		if len(n.cancellations) >= limit {
			return nil
		}
		c = &cancellation{Cancellation: j, at: n.now, confirmedBy: make(map[shard.ID]vm.Incarnation), sentAt: make(map[shard.ID]clock.Millis)}
		n.cancellations[j], n.cancelOrder = c, append(n.cancelOrder, c)
	}
	c.found = n.gateway.Cancel(j, n.now) || c.found
	for _, id := range n.shards {
		if led := n.ledShards[id]; led != nil {
			c.found = led.leader.Has(j) || c.found
			n.sendToLeader(id, leader.Cancelled{Cancellation: j})
		}
	}
	return c
}

// handleCancelRequested stores a cancellation and tells the leaders of all shards, and the members of their replica sets, any of which
// may be the next leader.
func (n *Control) handleCancelRequested(e CancelRequested) {
	if _, ok := n.stage.(overdue); ok {
		e.Done <- CancelUnconfirmed{Reason: job.Draining}
		return
	}
	if n.config.MaxCancelWaiters > 0 && n.cancelWaiters >= n.config.MaxCancelWaiters {
		e.Done <- CancelUnconfirmed{Reason: job.TooManyCancellations}
		return
	}
	c := n.recordCancellation(e.Cancellation, maxCancellations)
	if c == nil {
		e.Done <- CancelUnconfirmed{Reason: job.NotStored}
		return
	}
	c.at, c.received = n.now, true
	c.waiters = append(c.waiters, cancelWaiter{until: n.now + e.Limit, done: e.Done})
	n.cancelWaiters++
	told := map[vm.Incarnation]bool{n.config.Self.Incarnation: true}
	for _, id := range n.shards {
		for _, m := range n.monitors[id].ReplicaSet().Members {
			if !told[m.Incarnation] {
				told[m.Incarnation] = true
				n.emit(SendCancel{To: m, Cancellation: c.Cancellation})
			}
		}
		if m, _, _, ok := n.monitors[id].Leader(n.now); ok && told[m.Incarnation] {
			c.sentAt[id] = n.now
		}
	}
	n.storeCancellation(c)
	n.confirm(c)
}

// handlePeerCancelled records a cancellation that another VM has received.
func (n *Control) handlePeerCancelled(e PeerCancelled) {
	var answer CancelAnswer
	if c := n.recordCancellation(e.Cancellation, maxCancellations); c != nil {
		answer.Found = c.found
		for _, id := range n.shards {
			if n.ledShards[id] != nil {
				answer.Led = append(answer.Led, id)
			}
		}
	}
	e.Reply <- answer
}

func (n *Control) handleCancelAnswered(e CancelAnswered) {
	c := n.cancellations[e.Cancellation]
	if c == nil {
		return
	}
	c.found = c.found || e.Answer.Found
	for _, id := range e.Answer.Led {
		c.confirmedBy[id] = e.From
	}
	n.confirm(c)
}

// confirmCancellations repeats what leaders have not confirmed, tells those that have become leader since, and
// forgets old cancellations.
func (n *Control) confirmCancellations() {
	if n.now < n.cancelsConfirmedAt+cancelRetryInterval {
		return
	}
	n.cancelsConfirmedAt = n.now
	n.cancelOrder = slices.DeleteFunc(n.cancelOrder, func(c *cancellation) bool {
		if n.now >= c.at+cancelRetention {
			n.endWaiters(c, c.unconfirmed())
			delete(n.cancellations, c.Cancellation)
			return true
		}
		if c.received {
			n.confirm(c)
		}
		return false
	})
}

// confirm answers the callers once the cancellation is stored and the present leader of each shard has confirmed
// it, and tells leaders that have not. A shard without a leader and endpoints can start nothing.
func (n *Control) confirm(c *cancellation) {
	confirmed := c.storedAt != 0
	for _, id := range n.shards {
		if n.ledShards[id] != nil {
			c.confirmedBy[id] = n.config.Self.Incarnation
			continue
		}
		m, _, _, ok := n.monitors[id].Leader(n.now)
		if ok && c.confirmedBy[id] == m.Incarnation {
			continue
		}
		if !ok && n.isEmptySince(id, c.storedAt) {
			continue
		}
		confirmed = false
		if !ok && c.storedAt != 0 && len(c.waiters) > 0 {
			n.requestListOf(id, c.storedAt)
		}
		if ok && n.now >= c.sentAt[id]+cancelRetryInterval {
			c.sentAt[id] = n.now
			n.emit(SendCancel{To: m, Cancellation: c.Cancellation})
		}
	}
	if confirmed {
		n.endWaiters(c, CancelConfirmed{Found: c.found})
		return
	}
	c.waiters = slices.DeleteFunc(c.waiters, func(w cancelWaiter) bool {
		if n.now < w.until {
			return false
		}
		n.cancelWaiters--
		w.done <- c.unconfirmed()
		return true
	})
}

// unconfirmed says why a cancellation has not been confirmed.
func (c *cancellation) unconfirmed() CancelUnconfirmed {
	if c.storedAt == 0 {
		return CancelUnconfirmed{Reason: job.NotStored}
	}
	return CancelUnconfirmed{Reason: job.NoLeader}
}

func (n *Control) endWaiters(c *cancellation, o CancelOutcome) {
	for _, w := range c.waiters {
		w.done <- o
	}
	n.cancelWaiters -= len(c.waiters)
	c.waiters = nil
}
