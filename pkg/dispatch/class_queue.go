package dispatch

import "github.com/sequoiacart/sequoiacart/pkg/clock"

const (
	// Aging against starvation: a waiting class gets at least one in maxSkips of its owner's
	// starts, and one start per maxSkipTime. This bounds the wait of the lowest class and
	// costs the more urgent classes 1/16 of the owner's slots.
	maxSkips    = 16
	maxSkipTime = clock.Second
)

// classQueue holds the waiting jobs of one urgency class, earliest deadline first.
type classQueue struct {
	jobs indexedHeap[*queuedJob]
	// skipped counts the starts of more urgent classes since the last start of this class.
	skipped int
	// lastStartAt is the time of that start, or when the class became non-empty if later.
	lastStartAt clock.Millis
}

func (c *classQueue) overdue(now clock.Millis) bool {
	return c.skipped >= maxSkips || now-c.lastStartAt >= maxSkipTime
}
