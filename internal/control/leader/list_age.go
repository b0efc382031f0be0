package leader

import (
	"fmt"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// HeldStarts are the figures of a wait for a current list of endpoints.
type HeldStarts struct {
	List EndpointListState
	// Waited is how long starts were held, and StoreLost whether they go on without a current list.
	Waited    clock.Millis
	StoreLost bool
}

func (*HeldStarts) details() {}

// holdsStarts reports whether starts have to wait for a current list of endpoints. An endpoint may have
// reported since an older one was read that it is leaving. While the store does not answer, the latest list
// is used whatever its age.
func (l *Leader) holdsStarts() bool {
	held := !l.storeLost && l.now > l.list.ReadAt+l.config.Timeouts.MaxListAge()
	switch {
	case held && l.heldSince == 0:
		l.heldSince = l.now
		l.emit(RefreshList{})
		l.logHeldStarts(StartsHeld)
	case !held && l.heldSince != 0:
		l.logHeldStarts(StartsResumed)
		l.heldSince = 0
	}
	return held
}

func (l *Leader) logHeldStarts(d Decision) {
	details := &HeldStarts{List: l.list.At(l.now), Waited: l.now - l.heldSince, StoreLost: l.storeLost}
	l.emit(LogDecision{Decision: d, Detail: fmt.Sprintf("jobs waiting %d", len(l.queue)), Details: details})
}
