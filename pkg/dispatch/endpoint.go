package dispatch

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// health is what the failures of an endpoint have led to.
type health int

const (
	healthy health = iota
	// suspect endpoints get one task at a time, and only when no other slot is free.
	suspect
	// ejected endpoints get no work until retryAt.
	ejected
	// onTrial endpoints get one task at a time; successes bring them back.
	probation
)

const (
	// drainMemory is how long a drain is remembered of an endpoint that is not listed. The
	// platform's list lags and may show the endpoint once more.
	drainRetention = 10 * clock.Minute
	// leastSweep is the least number of endpoints at which any are forgotten.
	minSweepSize = 1024
)

// endpoint is what the scheduler knows of one endpoint.
type endpoint struct {
	id datacentre.EndpointID
	// The slots that this VM may use are owned - lent + borrowed.
	owned, lent, borrowed, used datacentre.Slots
	// expired counts slots of expired loans that still run tasks; used does not count them.
	expired datacentre.Slots

	// logSlowness is the logarithm to base 2 of the run time against the mean endpoint.
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

// unused tells that no slots of the endpoint are used, lent or to be used.
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

// lendable returns how many slots are free and may be lent: own slots of an endpoint that
// has not failed lately.
func (ep *endpoint) lendable() datacentre.Slots {
	if ep.health != healthy {
		return 0
	}
	return min(ep.free(), ep.owned-ep.lent)
}

// observe learns the speed from a run that took 2^surprise times as long as expected.
func (ep *endpoint) observe(deviation float64) {
	ep.samples++
	ep.logSlowness += max(1/float64(ep.samples+1), minLearningRate) * deviation
}
