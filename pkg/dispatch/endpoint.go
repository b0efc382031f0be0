package dispatch

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// standing is what the failures of an endpoint have led to.
type standing int

const (
	trusted standing = iota
	// suspect endpoints get one task at a time, and only when no other slot is free.
	suspect
	// ejected endpoints get no work until retryAt.
	ejected
	// onTrial endpoints get one task at a time; successes bring them back.
	onTrial
)

const (
	// drainMemory is how long a drain is remembered of an endpoint that is not listed. The
	// platform's list lags and may show the endpoint once more.
	drainMemory = 10 * clock.Minute
	// leastSweep is the least number of endpoints at which any are forgotten.
	leastSweep = 1024
)

// endpoint is what the scheduler knows of one endpoint.
type endpoint struct {
	id datacentre.EndpointID
	// The slots that this VM may use are owned - lent + borrowed.
	owned, lent, borrowed, used datacentre.Slots
	// overdue counts slots of expired loans that still run tasks; used does not count them.
	overdue datacentre.Slots

	// logSlowness is the logarithm to base 2 of the run time against the mean endpoint.
	logSlowness float64
	samples     int

	standing    standing
	streak      int
	streakStart clock.Millis
	blamed      *kind
	ejections   int
	successes   int
	retryAt     clock.Millis
	pausedUntil clock.Millis
	held        bool
	draining    bool
	drainedAt   clock.Millis

	bucket     int
	prev, next *endpoint
}

func (m *endpoint) capacity() datacentre.Slots {
	return max(m.owned-m.lent+m.borrowed, 0)
}

// gone tells that no slots of the endpoint are used, lent or to be used.
func (m *endpoint) gone() bool {
	return m.owned == 0 && m.lent == 0 && m.borrowed == 0 && m.used == 0 && m.overdue == 0 && !m.held
}

func (m *endpoint) free() datacentre.Slots {
	limit := m.capacity()
	switch m.standing {
	case trusted:
	case suspect, onTrial:
		limit = min(limit, 1)
	case ejected:
		return 0
	}
	if m.draining || m.pausedUntil > 0 {
		return 0
	}
	return max(limit-m.used, 0)
}

// lendable returns how many slots are free and may be lent: own slots of an endpoint that
// has not failed lately.
func (m *endpoint) lendable() datacentre.Slots {
	if m.standing != trusted {
		return 0
	}
	return min(m.free(), m.owned-m.lent)
}

// observe learns the speed from a run that took 2^surprise times as long as expected.
func (m *endpoint) observe(surprise float64) {
	m.samples++
	m.logSlowness += max(1/float64(m.samples+1), learningFloor) * surprise
}
