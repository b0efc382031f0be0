package node

import (
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

const (
	// leaderlessDelay is how long a shard has had no leader at least before it counts as empty. A successor takes
	// over sooner, and is asked then.
	leaderlessDelay = clock.Millis(1500)
	// leaderlessListAge is the age at which the list of endpoints is read again while a shard has no leader. VMs
	// outside of the replica sets do not read it otherwise.
	leaderlessListAge = 2 * clock.Second
	// maxReadGap is the longest time between two reads of the list that show that a shard had no endpoints
	// meanwhile. A row stays for longer than that: endpoints announce seconds before that they leave, and rows of
	// those that crash expire after seconds.
	maxReadGap = 3 * clock.Second
	// emptyMargin is for reads of other VMs' lists that take longer than usual.
	emptyMargin = clock.Millis(500)
	// clockError bounds the error of a difference of two times in whole milliseconds.
	clockError = clock.Millis(2)
)

// emptyPeriod is a period in which the store's list had no endpoint of a shard, from the request of one read until
// that of another.
type emptyPeriod struct{ from, until clock.Millis }

// updateEmptyPeriods records which shards have endpoints in a list.
func (n *Control) updateEmptyPeriods(e EndpointsLoaded) {
	listed := make(map[shard.ID]bool, len(n.shards))
	for _, p := range e.Endpoints {
		listed[shard.ForDataCentre(p.DataCentre)] = true
	}
	for _, id := range n.shards {
		p, empty := n.emptyPeriods[id]
		switch {
		case listed[id]:
			delete(n.emptyPeriods, id)
		case e.ReadAt == 0:
			// The store's list may have others.
		case !empty || e.ReadAt > p.until+maxReadGap:
			n.emptyPeriods[id] = emptyPeriod{from: e.ReadAt, until: e.ReadAt}
		default:
			n.emptyPeriods[id] = emptyPeriod{from: p.from, until: max(p.until, e.ReadAt)}
		}
	}
}

// isEmptySince reports whether a shard has no leader and, after a time, no endpoints at which a VM in touch with the
// store could start a task without reading the stored cancellations first.
func (n *Control) isEmptySince(id shard.ID, at clock.Millis) bool {
	p, empty := n.emptyPeriods[id]
	return empty && n.isLeaderless(id) && p.until >= n.provenEmptyFrom(p, at) && !n.hasEndpoints(id)
}

// provenEmptyFrom is when a read of the list proves that a shard has been empty since a time. A leader uses
// endpoints that have disappeared for missingRetention, by a list that is MaxListAge old at most.
func (n *Control) provenEmptyFrom(p emptyPeriod, at clock.Millis) clock.Millis {
	return max(at+clockError, p.from+missingRetention+n.config.Timeouts.MaxListAge()+emptyMargin)
}

func (n *Control) isLeaderless(id shard.ID) bool {
	return n.now >= n.leaderKnownAt[id]+leaderlessDelay
}

// confirmWaiting confirms the cancellations that have waited for a read of the list of endpoints.
func (n *Control) confirmWaiting() {
	if n.cancelWaiters == 0 || len(n.emptyPeriods) == 0 {
		return
	}
	for _, c := range n.cancelOrder {
		if len(c.waiters) > 0 {
			n.confirm(c)
		}
	}
}

// requestListOf reads the list of endpoints as soon as that may prove that a shard is empty.
func (n *Control) requestListOf(id shard.ID, at clock.Millis) {
	p, empty := n.emptyPeriods[id]
	if empty && p.until < n.provenEmptyFrom(p, at) && n.now >= n.provenEmptyFrom(p, at) {
		n.requestList(cancelRetryInterval)
	}
}

// watchEmptyShards reads the list of endpoints from time to time while a shard that has had a leader has none, so that
// the cancellations that arrive do not wait until the shard is proven to be empty.
func (n *Control) watchEmptyShards() {
	for _, id := range n.shards {
		if _, _, _, ok := n.monitors[id].Leader(n.now); ok || n.ledShards[id] != nil {
			n.leaderKnownAt[id] = n.now
		}
		if n.isLeaderless(id) && n.monitors[id].ReplicaSet().Revision > 0 && n.now >= n.endpointsReadAt+leaderlessListAge {
			n.requestList(leaderlessListAge)
		}
	}
}

// requestList reads the list of endpoints unless that was requested just before.
func (n *Control) requestList(interval clock.Millis) {
	if n.now >= n.listRequestedAt+interval {
		n.listRequestedAt = n.now
		n.emit(ReadEndpoints{})
	}
}
