package node

import (
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// reaches reports whether this VM may be home of a cell of another data centre: a partition
// leaves that to the VMs inside. Where it is not known, some endpoints are tried. Once they
// can be reached, the members have time to answer, since after a partition one of them may
// be home with runs at endpoints that are not listed yet.
func (n *Control) reaches(c shard.ID) bool {
	if c.DataCentre() == n.config.Self.DataCentre {
		return true
	}
	p := n.probes[c]
	if !p.running && n.now-p.endedAt >= probeEvery {
		var some []endpoint.Endpoint
		for _, e := range n.endpoints {
			if e.DataCentre == c.DataCentre() && len(some) < probedEndpoints {
				some = append(some, e)
			}
		}
		p.running = true
		n.probes[c] = p
		n.do(Probe{Shard: c, Endpoints: some})
	}
	return p.reachedSince != 0 && n.now-p.reachedSince >= reachedFor && n.now-p.endedAt <= probeFresh
}

func (n *Control) probeEnded(e ProbeEnded) {
	p := n.probes[e.Shard]
	p.running = false
	switch {
	case !e.Reachable:
		p.reachedSince = 0
	case p.reachedSince == 0 || n.now-p.endedAt > probeFresh:
		p.reachedSince = n.now
	}
	p.endedAt = n.now
	n.probes[e.Shard] = p
}

// probe is what is known of the way to the endpoints of another data centre.
type probe struct {
	running bool
	// reachedSince is when a row of successful probes began, or 0.
	reachedSince clock.Millis
	endedAt      clock.Millis
}

const (
	// probeFresh is how long the way to a data centre is believed in.
	probeFresh = clock.Millis(800)
	// probeEvery spaces probes, each of which opens connections.
	probeEvery = clock.Millis(300)
	// reachedFor is how long endpoints must have been reachable: four
	// silent members are asked in turn within 600 ms.
	reachedFor = clock.Millis(900)
	// probedEndpoints is how many endpoints are tried; one that answers is enough, and some
	// may have crashed.
	probedEndpoints = 3
)
