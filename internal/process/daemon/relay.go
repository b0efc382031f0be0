package daemon

import (
	"sync"

	"github.com/sequoiacart/sequoiacart/internal/link/store"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

const (
	// leaderRelayMaxAge and successorRelayMaxAge are how long ago another VM may have read the list of
	// endpoints for this one to use it. For a leader, it is maxRelayShare at most of the age at which a list
	// no longer decides where a task starts: the pause and the next request add to it.
	leaderRelayMaxAge    = clock.Millis(1000)
	maxRelayShare        = 0.65
	successorRelayMaxAge = clock.Millis(3000)
	// leaderRelayPause is the pause of a leader between requests to the VM that reads the list.
	leaderRelayPause = clock.Millis(300)
	// relayRetryPause is how long a VM reads the store itself after a request to another VM has failed.
	relayRetryPause = 2 * clock.Second
)

// relay gets the changes of the list of endpoints from the VM that reads it from the store for all.
type relay struct {
	daemon *Daemon

	mu sync.Mutex
	// retryAt is when that VM may be asked again after a failure.
	retryAt clock.Millis
}

// follow implements changeSource.
func (r *relay) follow(after store.Revision) (s store.Snapshot, sentAt clock.Millis, ok bool) {
	// A call that the follower no longer waits for may still be under way.
	if !r.mu.TryLock() {
		return store.Snapshot{}, 0, false
	}
	defer r.mu.Unlock()
	d := r.daemon
	reader := d.loop.endpointsReader.Load()
	asked := d.config.Clock.Now()
	if reader == nil || asked < r.retryAt {
		return store.Snapshot{}, 0, false
	}
	s, age, ok, err := d.peers.FollowEndpoints(*reader, after)
	if err != nil {
		d.logger.callFailed("follow endpoints", string(reader.Incarnation), err)
	}
	maxAge := successorRelayMaxAge
	if d.loop.role.Load() == roleLeader {
		maxAge = min(leaderRelayMaxAge, clock.Millis(float64(d.maxListAge)*maxRelayShare))
	}
	if err != nil || !ok || age > maxAge {
		d.meter.Count("relay.unusable")
		r.retryAt = asked + relayRetryPause
		return store.Snapshot{}, 0, false
	}
	d.meter.Count("relay.used")
	return s, asked - age, true
}

// pause implements changeSource.
func (r *relay) pause() clock.Millis {
	if r.daemon.loop.role.Load() == roleLeader {
		return r.daemon.leaderPause(leaderRelayPause)
	}
	return successorEndpointsPause
}
