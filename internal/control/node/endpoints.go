package node

import (
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/control/leader"
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// endpointsRead takes in a list of endpoints. One that has vanished from it is kept for a
// while: entries lapse while the store cannot be reached, and come back, and until then an
// earlier home may have runs there.
func (n *Control) endpointsRead(e EndpointsLoaded) {
	if e.Version < n.endpointsVersion {
		return
	}
	listed := make(map[datacentre.EndpointID]bool, len(e.Endpoints))
	for _, l := range e.Endpoints {
		listed[l.ID] = true
		delete(n.vanished, l.ID)
	}
	merged := slices.Clone(e.Endpoints)
	for _, old := range n.endpoints {
		if listed[old.ID] {
			continue
		}
		since, known := n.vanished[old.ID]
		if !known {
			since = n.now
			n.vanished[old.ID], n.shrunkAt = since, n.now
		}
		if n.now-since < vanishedFor {
			merged = append(merged, old)
		}
	}
	n.endpoints, n.endpointsVersion, n.endpointsAt = merged, e.Version, n.now
	for _, c := range n.cells {
		n.tellEndpoints(c)
	}
}

// vanishedFor is how long an endpoint that has vanished from the list is still used if it
// answers. Entries that lapsed are back within two seconds of the store's return.
const vanishedFor = clock.Millis(2500)

// dropVanished forgets endpoints that have been missing for long enough.
func (n *Control) dropVanished() {
	gone := false
	for id, since := range n.vanished {
		if n.now-since >= vanishedFor {
			delete(n.vanished, id)
			n.endpoints = slices.DeleteFunc(slices.Clone(n.endpoints), func(e endpoint.Endpoint) bool { return e.ID == id })
			gone = true
		}
	}
	if !gone {
		return
	}
	for _, c := range n.cells {
		n.tellEndpoints(c)
	}
}

func (n *Control) tellEndpoints(c shard.ID) {
	if n.endpointsVersion == 0 || n.homes[c] == nil {
		return
	}
	var mine []endpoint.Endpoint
	for _, e := range n.endpoints {
		if e.DataCentre == c.DataCentre() {
			mine = append(mine, e)
		}
	}
	n.tell(c, leader.EndpointsListed{Endpoints: mine, Complete: n.homes[c].handedOver || n.now-n.shrunkAt >= completeAfter})
}

// completeAfter is how long an endpoint that has vanished may still have runs of an earlier
// home: entries lapse 4.5 s into a partition, and runs there end with it at the latest when
// their callers give up, which they do within 10 s.
const completeAfter = 15 * clock.Second
