package node

import (
	"maps"
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/control/leader"
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// handleEndpointsLoaded applies a list of endpoints. An endpoint that has disappeared from the list
// is kept for missingRetention: entries expire while the store is unavailable and return later, and
// until then an earlier leader may have attempts there. One whose row has become unreadable gets no
// tasks meanwhile.
func (n *Control) handleEndpointsLoaded(e EndpointsLoaded) {
	if e.Version < n.endpointsVersion {
		return
	}
	n.updateEmptyPeriods(e)
	n.updateUnproven(e)
	if e.ReadAt == 0 {
		e.Endpoints = n.withLaterEntries(e.Endpoints)
	}
	listed := make(map[datacentre.EndpointID]bool, len(e.Endpoints))
	for _, p := range e.Endpoints {
		listed[p.ID] = true
		delete(n.missingSince, p.ID)
	}
	// No task starts at these, although they are kept.
	closed := make(map[datacentre.EndpointID]bool, len(e.Unreadable)+len(e.Leaving))
	for _, id := range slices.Concat(e.Unreadable, e.Leaving) {
		closed[id] = true
	}
	merged := slices.Clone(e.Endpoints)
	for _, old := range n.endpoints {
		if listed[old.ID] {
			continue
		}
		since, missing := n.missingSince[old.ID]
		if !missing {
			since = n.now
			n.missingSince[old.ID], n.lastMissingAt = since, n.now
			if e.Whole {
				n.unproven[old.ID] = true
			}
		}
		if n.now-since < missingRetention {
			old.Draining = old.Draining || closed[old.ID]
			merged = append(merged, old)
		}
	}
	if e.Gap {
		n.lastMissingAt = n.now
	}
	n.setEndpoints(merged)
	n.endpointsVersion, n.endpointsAt = e.Version, n.now
	if e.ReadAt > n.endpointsReadAt+n.config.Timeouts.MaxListAge() && len(n.ledShards) > 0 {
		// Cancellations may have been confirmed without the leaders of this VM, which was cut off.
		n.loadCancellations()
	}
	n.endpointsReadAt = max(n.endpointsReadAt, e.ReadAt)
	switch {
	case e.ReadAt == 0:
		// The list of a peer may have endpoints that disappeared from the store's long ago.
		n.endpointsListedAt = 0
	case len(n.missingSince) == 0 && !n.usesUnlistedEndpoints():
		n.endpointsListedAt = e.ReadAt
	}
	for _, id := range n.shards {
		n.sendEndpoints(id)
	}
	n.confirmWaiting()
}

// setEndpoints replaces the list of endpoints. Cancellations may have been confirmed without the leader of a shard that
// had none, so they are read again before tasks may start at those that are new.
func (n *Control) setEndpoints(all []endpoint.Endpoint) {
	empty := slices.DeleteFunc(slices.Clone(n.shards), func(id shard.ID) bool { return n.ledShards[id] == nil || n.hasEndpoints(id) })
	n.endpoints = all
	if slices.ContainsFunc(empty, n.hasEndpoints) {
		n.loadCancellations()
	}
}

func (n *Control) hasEndpoints(id shard.ID) bool {
	return slices.ContainsFunc(n.endpoints, func(e endpoint.Endpoint) bool { return e.DataCentre == id.DataCentre() })
}

// withLaterEntries returns the list of another VM with the entries of this VM in place of earlier ones. The other VM
// keeps entries that have disappeared, and may not have read since what their endpoints said next.
func (n *Control) withLaterEntries(all []endpoint.Endpoint) []endpoint.Endpoint {
	own := make(map[datacentre.EndpointID]endpoint.Endpoint, len(n.endpoints))
	for _, e := range n.endpoints {
		own[e.ID] = e
	}
	merged := slices.Clone(all)
	for i, e := range merged {
		if o, ok := own[e.ID]; ok && o.Revision != 0 && o.Revision >= e.Revision {
			merged[i] = o
		}
	}
	return merged
}

// updateUnproven records of which endpoints this VM does not know what they have told the store last. The list of
// another VM may have entries that were removed seconds ago.
func (n *Control) updateUnproven(e EndpointsLoaded) {
	if e.ReadAt != 0 {
		for _, p := range e.Endpoints {
			delete(n.unproven, p.ID)
		}
		return
	}
	seen := make(map[datacentre.EndpointID]bool, len(n.endpoints))
	for _, p := range n.endpoints {
		_, missing := n.missingSince[p.ID]
		seen[p.ID] = !missing && !n.unproven[p.ID]
	}
	clear(n.unproven)
	for _, p := range e.Endpoints {
		if !seen[p.ID] {
			n.unproven[p.ID] = true
		}
	}
}

// usesUnlistedEndpoints reports whether leaders of this VM have endpoints that are in use although they left
// the list long ago.
func (n *Control) usesUnlistedEndpoints() bool {
	for _, led := range n.ledShards {
		if led.leader.HasUnlistedEndpoints() {
			return true
		}
	}
	return false
}

// handleStoreReported tells the leaders of this VM whether the list of endpoints can be read.
func (n *Control) handleStoreReported(e StoreReported) {
	n.storeLost, n.storeReportedAt = e.Lost, n.now
	for _, id := range n.shards {
		n.sendToLeader(id, leader.StoreReported{Lost: e.Lost})
	}
}

// isStoreLost reports whether the store has just not answered. A VM that does not read the list at present
// finds out when it becomes leader.
func (n *Control) isStoreLost() bool {
	return n.storeLost && n.now <= n.storeReportedAt+storeReportRetention
}

// storeReportRetention is how long a report counts. While reads fail, members of replica sets report that each
// second or more often.
const storeReportRetention = 2 * clock.Second

// missingRetention is how long an endpoint that has disappeared from the list is still used if it
// answers. Expired entries return within two seconds after the store is available again.
const missingRetention = clock.Millis(2500)

// dropMissing removes endpoints that have been missing for missingRetention.
func (n *Control) dropMissing() {
	removed := false
	for id, since := range n.missingSince {
		if n.now-since >= missingRetention {
			delete(n.missingSince, id)
			delete(n.unproven, id)
			n.endpoints = slices.DeleteFunc(slices.Clone(n.endpoints), func(e endpoint.Endpoint) bool { return e.ID == id })
			removed = true
		}
	}
	if !removed {
		return
	}
	for _, id := range n.shards {
		n.sendEndpoints(id)
	}
}

// sendEndpoints passes the endpoints of a shard to its leader, if it is this VM.
func (n *Control) sendEndpoints(id shard.ID) {
	if n.endpointsVersion == 0 || n.ledShards[id] == nil {
		return
	}
	list, complete := n.endpointList(n.ledShards[id].handedOverBy)
	missing := make(map[datacentre.EndpointID]bool, len(n.missingSince))
	for e := range n.missingSince {
		missing[e] = true
	}
	n.sendToLeader(id, leader.EndpointsListed{Endpoints: n.endpointsOf(id), Missing: missing, Unproven: maps.Clone(n.unproven), Complete: complete, List: list})
}

// endpointsOf returns the endpoints of a shard.
func (n *Control) endpointsOf(id shard.ID) []endpoint.Endpoint {
	var inShard []endpoint.Endpoint
	for _, e := range n.endpoints {
		if e.DataCentre == id.DataCentre() {
			inShard = append(inShard, e)
		}
	}
	return inShard
}

// endpointList describes the list of endpoints and says whether it had, when it was read, all endpoints
// with attempts of an earlier leader. handedOverBy is the leader that has handed over the shard, or empty.
func (n *Control) endpointList(handedOverBy vm.Incarnation) (list leader.EndpointList, complete bool) {
	list = leader.EndpointList{
		Version: n.endpointsVersion, ReadAt: n.endpointsReadAt, LastMissingAt: n.lastMissingAt, HandedOverBy: handedOverBy,
	}
	return list, n.now-n.lastMissingAt >= listCompleteDelay
}

// listCompleteDelay is how long an endpoint that has disappeared may still have attempts of an
// earlier leader. Entries expire 4.5 s into a partition, and attempts there end at the latest when
// their callers time out, which happens within 10 s. A leader that goes on in a longer partition starts
// others, so each job that is submitted again also says since when the endpoints were listed that its
// earlier leaders knew.
const listCompleteDelay = 15 * clock.Second
