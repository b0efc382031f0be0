package node_test

import (
	"math/rand/v2"
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/control/node"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// modelOptions are the fault kinds of a world and the shape of its deployment.
type modelOptions struct {
	kinds []faultKind
	shape modelShape
}

// modelShape is the shape of a deployment: its bounds, and the VMs and endpoints of each data centre.
type modelShape struct {
	// longestLease, stop and resend are the bounds of the platform.
	longestLease, stop, resend, drainNotice, evacuationNotice clock.Millis
	// vms and endpoints are the fewest of a data centre, and how many more it may have.
	vms, moreVMs, endpoints, moreEndpoints int
	// narrow gives the VMs bounds that ordinary callers meet.
	narrow bool
}

// applyBounds sets the bounds of a VM.
func (s modelShape) applyBounds(c *node.Config) {
	if s.narrow {
		c.MaxJobs, c.JobMemory, c.MaxCancelWaiters, c.TasksPerEndpoint, c.MaxCalls = 6, 50<<10, 2, 2, 2
	}
}

// usualShape has the bounds of the users' deployments.
func usualShape() modelShape {
	return modelShape{longestLease: 1000, stop: 50, resend: 1300, drainNotice: 2000, evacuationNotice: 5000, vms: 2, moreVMs: 2, endpoints: 3, moreEndpoints: 3}
}

// narrowShape is the usual shape with bounds that ordinary callers meet.
func narrowShape() modelShape {
	s := usualShape()
	s.narrow = true
	return s
}

func (o modelOptions) enabled(k faultKind) bool { return slices.Contains(o.kinds, k) }

// chooseKinds selects some of the kinds, so that each seed combines others.
func chooseKinds(all []faultKind, random *rand.Rand) []faultKind {
	share := 0.1 + 0.5*random.Float64()
	var kinds []faultKind
	for _, k := range all {
		if random.Float64() < share {
			kinds = append(kinds, k)
		}
	}
	return kinds
}
