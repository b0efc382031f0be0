package node

import (
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/control/leader"
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// endpointsLoaded takes in a list of endpoints. One that has vanished from it is kept for a
// while: entries lapse while the store cannot be reached, and come back, and until then an
// earlier home may have runs there.
func (n *Control) endpointsLoaded(e EndpointsLoaded) {
	if e.Version < n.endpointsVersion {
		return
	}
	listed := make(map[datacentre.EndpointID]bool, len(e.Endpoints))
	for _, l := range e.Endpoints {
		listed[l.ID] = true
		delete(n.missingSince, l.ID)
	}
	merged := slices.Clone(e.Endpoints)
	for _, old := range n.endpoints {
		if listed[old.ID] {
			continue
		}
		since, known := n.missingSince[old.ID]
		if !known {
			since = n.now
			n.missingSince[old.ID], n.lastMissingAt = since, n.now
		}
		if n.now-since < missingRetention {
			merged = append(merged, old)
		}
	}
	n.endpoints, n.endpointsVersion, n.endpointsAt = merged, e.Version, n.now
	for _, c := range n.shards {
		n.sendEndpoints(c)
	}
}

// missingRetention is how long an endpoint that has vanished from the list is still used if it
// answers. Entries that lapsed are back within two seconds of the store's return.
const missingRetention = clock.Millis(2500)

// dropMissing forgets endpoints that have been missing for long enough.
func (n *Control) dropMissing() {
	gone := false
	for id, since := range n.missingSince {
		if n.now-since >= missingRetention {
			delete(n.missingSince, id)
			n.endpoints = slices.DeleteFunc(slices.Clone(n.endpoints), func(e endpoint.Endpoint) bool { return e.ID == id })
			gone = true
		}
	}
	if !gone {
		return
	}
	for _, c := range n.shards {
		n.sendEndpoints(c)
	}
}

func (n *Control) sendEndpoints(c shard.ID) {
	if n.endpointsVersion == 0 || n.leaders[c] == nil {
		return
	}
	var mine []endpoint.Endpoint
	for _, e := range n.endpoints {
		if e.DataCentre == c.DataCentre() {
			mine = append(mine, e)
		}
	}
	n.sendToLeader(c, leader.EndpointsListed{Endpoints: mine, Complete: n.leaders[c].cleanHandOver || n.now-n.lastMissingAt >= listCompleteDelay})
}

// listCompleteDelay is how long an endpoint that has vanished may still have runs of an earlier
// home: entries lapse 4.5 s into a partition, and runs there end with it at the latest when
// their callers give up, which they do within 10 s.
const listCompleteDelay = 15 * clock.Second
