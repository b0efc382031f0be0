package leader

import (
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// isUnguarded reports whether the endpoints of a service start whatever they are told to. A VM that
// takes over may not have a desired state yet.
func (l *Leader) isUnguarded(s queue.ServiceName) bool {
	return l.desired == nil || !l.desired.Services[s].GuardsRoom
}

// demandKnown reports whether the leader knows the demand of everything that runs here. That of an
// attempt of another leader is unknown until a job adopts it.
func (ep *endpointState) demandKnown() bool { return ep.tokenAccepted() && ep.activeOrphans == 0 }

// capacityKnown reports whether the capacity is a recent one of the present incarnation. A new one may
// be of another size.
func (ep *endpointState) capacityKnown(now clock.Millis) bool {
	return now <= ep.entryReadAt+maxCapacityAge && ep.hasPresentEntry()
}

// maxCapacityAge is how long ago the capacity of an unguarded endpoint may have been read. One that
// has shrunk binds 4.5 s after its endpoint has reported it, and a start may take 500 ms to arrive.
const maxCapacityAge = 4500 - sendDelay - RequestLifetime
