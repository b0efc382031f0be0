package leader

import (
	"fmt"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// HeldStarts are the figures of a wait for a current list of endpoints or the current evacuations.
type HeldStarts struct {
	List EndpointListState
	// EvacuationsAge is how long ago the data centre was known not to be evacuated, or 0 if it is evacuated or
	// the deployment has no evacuations.
	EvacuationsAge clock.Millis
	// Waited is how long starts were held, and StoreLost whether they go on without a current list.
	Waited    clock.Millis
	StoreLost bool
}

func (*HeldStarts) details() {}

// holdsStarts reports whether starts have to wait for a current list of endpoints or the current evacuations.
// An endpoint may have reported since an older list was read that it is leaving, and the operator may have asked
// since for the data centre to be empty. While the store does not answer, what was read last is used whatever its
// age.
func (l *Leader) holdsStarts() bool {
	held := !l.storeLost && (l.now > l.list.ReadAt+l.config.Timeouts.MaxListAge() || l.isEvacuationUnknown())
	switch {
	case held && l.heldSince == 0:
		l.heldSince = l.now
		l.emit(RefreshList{})
		if l.isEvacuationUnknown() {
			l.emit(RefreshEvacuations{})
		}
		l.logHeldStarts(StartsHeld)
	case !held && l.heldSince != 0:
		l.logHeldStarts(StartsResumed)
		l.heldSince = 0
	}
	return held
}

func (l *Leader) logHeldStarts(d Decision) {
	details := &HeldStarts{List: l.list.At(l.now), EvacuationsAge: l.evacuationsAge(), Waited: l.now - l.heldSince, StoreLost: l.storeLost}
	l.emit(LogDecision{Decision: d, Detail: fmt.Sprintf("jobs waiting %d", len(l.queue)), Details: details})
}
