package node_test

import (
	"cmp"
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// faultRelay lets VMs follow the list of endpoints through the one that reads it from the store for all.
const faultRelay faultKind = "relay"

const (
	leaderRelayMaxAge    = clock.Millis(1000)
	successorRelayMaxAge = clock.Millis(3000)
	leaderRelayPause     = 300 * ms
	relayRetryPause      = 2 * second
)

// modelChangeLog has the changes of the list of endpoints that a VM has read, as far as they matter.
type modelChangeLog struct {
	rows          []storeRow
	from, version int64
	// sentAt is when the latest read was sent, or 0 before the first.
	sentAt clock.Millis
	// latest is the list as of the latest read.
	latest map[string]storeRow
}

// record adds a read: the whole list, or the rows that have changed.
func (l *modelChangeLog) record(rows []storeRow, version int64, sentAt clock.Millis, whole bool) {
	if whole {
		*l = modelChangeLog{from: version, latest: make(map[string]storeRow)}
	}
	for _, r := range rows {
		before, listed := l.latest[r.key]
		if r.removed {
			delete(l.latest, r.key)
		} else {
			l.latest[r.key] = r
		}
		if !whole && (r.removed || !listed || !isSameEntry(before, r)) {
			l.rows = append(l.rows, r)
		}
	}
	l.version, l.sentAt = version, sentAt
}

func isSameEntry(a, b storeRow) bool {
	x, ok := a.value.(endpoint.Endpoint)
	y, okay := b.value.(endpoint.Endpoint)
	return ok && okay && x.Born == y.Born && x.Draining == y.Draining && x.Capacity == y.Capacity && x.Service == y.Service && slices.Equal(x.Labels, y.Labels)
}

// since returns the changes after a version and the version that they lead to.
func (l *modelChangeLog) since(after int64) (rows []storeRow, version int64, ok bool) {
	if l.sentAt == 0 || after < l.from {
		return nil, 0, false
	}
	first, _ := slices.BinarySearchFunc(l.rows, after+1, func(r storeRow, v int64) int { return cmp.Compare(r.version, v) })
	return slices.Clone(l.rows[first:]), max(l.version, after), true
}

// readThroughReader asks the VM that reads the list for all, and reports whether there is one.
func (f *modelFollower) readThroughReader() bool {
	v := f.vm
	if f.table != tableEndpoints || !f.loaded || f.woken || !v.world.options.enabled(faultRelay) || v.clock() < f.relayRetryAt {
		return false
	}
	reader, ok := v.control.EndpointsReader()
	if !ok {
		return false
	}
	asked, version := v.clock(), f.version
	maxAge, pause := successorRelayMaxAge, micros(successorEndpoints)
	if v.publishedLeading {
		maxAge, pause = leaderRelayMaxAge, leaderRelayPause
	}
	readStore := func() {
		f.relaying, f.relayRetryAt = false, asked+clock.Millis(relayRetryPause/ms)
		f.read()
	}
	f.pauses++
	f.relaying = true
	n := f.pauses
	v.callPeer(reader.Address, peerTimeout, func(peer *modelVM, x *exchange) {
		rows, to, known := peer.endpointsFollower.log.since(version)
		age := peer.clock() - peer.endpointsFollower.log.sentAt
		x.answer(func() {
			switch {
			case n != f.pauses:
				// The follower was woken, and has read the store.
			case !known || age > maxAge:
				readStore()
			default:
				f.sentAt, f.gap = asked-age, false
				v.world.stats.relayed++
				f.apply(rows, to, pause, false)
			}
		})
	}, func(exchangeFailure) {
		if n == f.pauses {
			readStore()
		}
	})
	return true
}
