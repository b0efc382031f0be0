package dispatch

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// health is the outlier-ejection state of an endpoint.
type health int

const (
	healthy health = iota
	// suspect endpoints get one task at a time, and only if no other slot is free.
	suspect
	// ejected endpoints get no work until retryAt.
	ejected
	// probation follows an ejection: the endpoint gets one task at a time until enough of
	// them have succeeded.
	probation
)

const (
	// drainRetention is how long a drain is kept for an endpoint that is no longer listed.
	// The platform's list lags behind and may list the endpoint again.
	drainRetention = 10 * clock.Minute
	// minSweepSize is the smallest number of endpoints at which unused ones are removed.
	minSweepSize = 1024
)

// endpoint holds the slots, the speed and the health of one endpoint.
type endpoint struct {
	id datacentre.EndpointID
	// This VM may use owned - lent + borrowed slots, of which used are taken.
	owned, lent, borrowed, used datacentre.Slots
	// expired counts slots of expired loans that still run tasks. They are not part of used.
	expired datacentre.Slots

	// logSlowness is log2 of the run time relative to the average endpoint.
	logSlowness float64
	samples     int

	health          health
	failureStreak   int
	streakStartedAt clock.Millis
	streakKind      *kind
	ejections       int
	successes       int
	retryAt         clock.Millis
	pausedUntil     clock.Millis
	blocked         bool
	draining        bool
	drainedAt       clock.Millis

	bucket     int
	prev, next *endpoint
}

func (ep *endpoint) capacity() datacentre.Slots {
	return max(ep.owned-ep.lent+ep.borrowed, 0)
}

// unused reports whether no slots of the endpoint are owned, lent, borrowed or in use, and
// no pause or ejection has to end.
func (ep *endpoint) unused() bool {
	return ep.owned == 0 && ep.lent == 0 && ep.borrowed == 0 && ep.used == 0 && ep.expired == 0 && !ep.blocked
}

func (ep *endpoint) free() datacentre.Slots {
	limit := ep.capacity()
	switch ep.health {
	case healthy:
	case suspect, probation:
		limit = min(limit, 1)
	case ejected:
		return 0
	}
	if ep.draining || ep.pausedUntil > 0 {
		return 0
	}
	return max(limit-ep.used, 0)
}

// lendable returns how many free slots may be lent. Borrowed slots and slots of an
// endpoint with recent failures are not lent.
func (ep *endpoint) lendable() datacentre.Slots {
	if ep.health != healthy {
		return 0
	}
	return min(ep.free(), ep.owned-ep.lent)
}

// observe updates the speed after a run that took 2^deviation times the expected time.
func (ep *endpoint) observe(deviation float64) {
	ep.samples++
	ep.logSlowness += max(1/float64(ep.samples+1), minLearningRate) * deviation
}
