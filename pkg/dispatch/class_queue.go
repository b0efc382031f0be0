package dispatch

import "github.com/sequoiacart/sequoiacart/pkg/clock"

const (
	// A class that waits gets at least one in passLimit starts of its owner, and one start
	// for every passSpan. This bounds the wait of the lowest class at a cost of 1/16 of
	// the owner's slots to the urgent classes.
	maxSkips    = 16
	maxSkipTime = clock.Second
)

// classQueue holds the waiting jobs of one urgency class, earliest deadline first.
type classQueue struct {
	jobs indexedHeap[*queuedJob]
	// skipped counts the starts of more urgent classes since the last start of this one.
	skipped     int
	lastStartAt clock.Millis
}

func (c *classQueue) overdue(now clock.Millis) bool {
	return c.skipped >= maxSkips || now-c.lastStartAt >= maxSkipTime
}
