package leader

import (
	"fmt"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
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

// storeSettleTime is how long after the store was last lost entries may be missing from the list that expired meanwhile.
// Those of endpoints that are alive are back within about two seconds.
const storeSettleTime = 3 * clock.Second

// updateEntryAges records that a list has been read. The entry of an endpoint that is missing from it is that of an
// earlier list.
func (l *Leader) updateEntryAges(e EndpointsListed) {
	if l.list.ReadAt > l.entriesReadAt {
		l.entriesReadAt = l.list.ReadAt
		for _, ep := range l.sortedEndpoints {
			if !ep.unlisted && !e.Missing[ep.ID] && !e.Unproven[ep.ID] {
				ep.entryReadAt = l.list.ReadAt
			}
		}
	}
	l.boundEntries(e.Unproven)
}

// boundEntries bounds the time for which entries count that are not proven to be current: such an endpoint may have
// reported since that it is leaving, so its entry decides for no longer than an old list would. After an outage of the
// store it is used all the same, since most entries may have expired.
func (l *Leader) boundEntries(unproven map[datacentre.EndpointID]bool) {
	for _, ep := range l.sortedEndpoints {
		ep.entryValidUntil = 0
		if unproven[ep.ID] && !l.wasStoreLost() {
			ep.entryValidUntil = max(ep.entryReadAt+l.config.Timeouts.MaxListAge(), 1)
		}
	}
}

func (l *Leader) wasStoreLost() bool {
	return l.storeLost || l.storeLostAt != 0 && l.now < l.storeLostAt+storeSettleTime
}

// handleStoreReported records whether the store answers. While it does not, no VM can know better than by the entries
// that it has.
func (l *Leader) handleStoreReported(lost bool) {
	l.storeLost = lost
	if !lost {
		return
	}
	l.storeLostAt = l.now
	l.extendDoubts()
	l.boundEntries(nil)
}
