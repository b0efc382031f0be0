package leader

import (
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// updateListedBorn records the incarnation that an entry of the list names. Incarnations are times of day, which may
// be set, and entries may be written late, so that a later one proves no restart: an endpoint that has answered is
// asked. Until then, its leases are not extended.
func (l *Leader) updateListedBorn(ep *endpointState, listed endpoint.Incarnation) {
	if ep.listedBorn == listed {
		return
	}
	// A request of this event may have been sent before.
	l.sequence++
	ep.listedBorn, ep.listedSeq = listed, l.sequence
	if !ep.mayHaveRestarted() {
		return
	}
	if ep.answeredSeq == 0 {
		// Nothing that this leader has done depends on the earlier one.
		ep.formerBorn, ep.Born, ep.bornSeq = ep.Born, listed, l.sequence
		return
	}
	l.requestReport(ep)
}

// mayHaveRestarted reports whether the list names an incarnation that may be later than the known one.
func (ep *endpointState) mayHaveRestarted() bool {
	return ep.Born != 0 && ep.listedBorn > ep.Born && ep.listedBorn != ep.formerBorn && ep.listedBorn != ep.refutedBorn
}

// entryLifetime is how long the store keeps an entry that is not renewed: three heartbeats of the endpoint.
const entryLifetime = clock.Millis(4500)

// trustEntries ends the doubt about the entries that are listed although those of former incarnations have expired.
func (l *Leader) trustEntries(missing map[datacentre.EndpointID]bool) {
	for _, ep := range l.sortedEndpoints {
		if !ep.unlisted && !missing[ep.ID] && l.list.ReadAt >= ep.entryDoubtedAt+entryLifetime {
			ep.entryDoubtedAt = 0
		}
	}
}

// extendDoubts restarts the wait for entries to expire, which the store may put off while it is unavailable.
func (l *Leader) extendDoubts() {
	for _, ep := range l.sortedEndpoints {
		if ep.entryDoubtedAt != 0 {
			ep.entryDoubtedAt = l.now
		}
	}
}

// checkListedBorn processes the incarnation that has answered a request. If it was sent after another one had been
// listed, the answering one is later, whatever its time of day.
func (ep *endpointState) checkListedBorn(answering endpoint.Incarnation, request SequenceNumber) {
	if request >= ep.listedSeq && answering != ep.listedBorn {
		ep.refutedBorn = ep.listedBorn
	}
}
