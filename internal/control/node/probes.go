package node

import (
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// canReachEndpoints reports whether this VM reaches the endpoints of a shard well enough to
// lead it. During a partition, only VMs inside a data centre may lead its shard, so a VM outside
// first probes some of its endpoints. Once they are reachable, the members of the replica set get
// time to answer, since after a partition one of them may be the leader, with attempts at endpoints
// that are not listed yet.
func (n *Control) canReachEndpoints(id shard.ID) bool {
	if id.DataCentre() == n.config.Self.DataCentre {
		return true
	}
	p := n.probes[id]
	if !p.running && n.now-p.lastEndedAt >= probeInterval {
		var targets []endpoint.Endpoint
		for _, e := range n.endpoints {
			if e.DataCentre == id.DataCentre() && len(targets) < maxProbedEndpoints {
				targets = append(targets, e)
			}
		}
		p.running = true
		n.probes[id] = p
		n.emit(Probe{Shard: id, Endpoints: targets})
	}
	return p.reachableSince != 0 && n.now-p.reachableSince >= minReachableTime && n.now-p.lastEndedAt <= probeMaxAge
}

func (n *Control) handleProbeEnded(e ProbeEnded) {
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

// probeState says whether the endpoints of another data centre can be reached.
type probeState struct {
	running bool
	// reachableSince is when the current series of successful probes began, or 0.
	reachableSince clock.Millis
	lastEndedAt    clock.Millis
}

const (
	// probeMaxAge is how long the result of a probe is valid.
	probeMaxAge = clock.Millis(800)
	// probeInterval is the minimum interval between probes, since each opens connections.
	probeInterval = clock.Millis(300)
	// minReachableTime is how long endpoints must have been reachable. Four unresponsive members are
	// polled in turn within 600 ms.
	minReachableTime = clock.Millis(900)
	// maxProbedEndpoints is the number of endpoints per probe. One that answers suffices, and some
	// may have crashed.
	maxProbedEndpoints = 3
)
