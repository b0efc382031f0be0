package node

import (
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// canReachEndpoints reports whether this VM may be home of a cell of another data centre: a partition
// leaves that to the VMs inside. Where it is not known, some endpoints are tried. Once they
// can be reached, the members have time to answer, since after a partition one of them may
// be home with runs at endpoints that are not listed yet.
func (n *Control) canReachEndpoints(c shard.ID) bool {
	if c.DataCentre() == n.config.Self.DataCentre {
		return true
	}
	p := n.probes[c]
	if !p.running && n.now-p.lastEndedAt >= probeInterval {
		var some []endpoint.Endpoint
		for _, e := range n.endpoints {
			if e.DataCentre == c.DataCentre() && len(some) < maxProbedEndpoints {
				some = append(some, e)
			}
		}
		p.running = true
		n.probes[c] = p
		n.emit(Probe{Shard: c, Endpoints: some})
	}
	return p.reachableSince != 0 && n.now-p.reachableSince >= minReachableTime && n.now-p.lastEndedAt <= probeMaxAge
}

func (n *Control) probeEnded(e ProbeEnded) {
	p := n.probes[e.Shard]
	p.running = false
	switch {
	case !e.Reachable:
		p.reachableSince = 0
	case p.reachableSince == 0 || n.now-p.lastEndedAt > probeMaxAge:
		p.reachableSince = n.now
	}
	p.lastEndedAt = n.now
	n.probes[e.Shard] = p
}

// probeState is what is known of the way to the endpoints of another data centre.
type probeState struct {
	running bool
	// reachableSince is when a row of successful probes began, or 0.
	reachableSince clock.Millis
	lastEndedAt    clock.Millis
}

const (
	// probeMaxAge is how long the way to a data centre is believed in.
	probeMaxAge = clock.Millis(800)
	// probeInterval spaces probes, each of which opens connections.
	probeInterval = clock.Millis(300)
	// minReachableTime is how long endpoints must have been reachable: four
	// silent members are asked in turn within 600 ms.
	minReachableTime = clock.Millis(900)
	// maxProbedEndpoints is how many endpoints are tried; one that answers is enough, and some
	// may have crashed.
	maxProbedEndpoints = 3
)
