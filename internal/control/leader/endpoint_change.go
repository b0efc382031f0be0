package leader

import (
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// EndpointChanges are the endpoints that one list has changed in the same way. One line for all of
// them bounds the lines when a store outage lets all entries expire.
type EndpointChanges struct {
	Endpoints []EndpointChange
	// List is the one with the changes.
	List EndpointListState
}

// EndpointChange is an endpoint whose entry in the list has changed.
type EndpointChange struct {
	ID   datacentre.EndpointID
	Born endpoint.Incarnation
	// Tasks counts the tasks that occupy resources there.
	Tasks int
	// TokenAccepted means that the endpoint has accepted the leader's token.
	TokenAccepted bool
}

// EndpointRestart is a restart of an endpoint under its ID.
type EndpointRestart struct {
	Before, After endpoint.Incarnation
	// Listed means that the platform's list named the incarnation before a report did.
	Listed bool
	Tasks  int
	// ReadIn is the incarnation of the clock reading that leases are computed from, and Age the age
	// of that reading.
	ReadIn endpoint.Incarnation
	Age    clock.Millis
}

func (*EndpointChanges) details() {}
func (*EndpointRestart) details() {}

func (ep *endpointState) change() EndpointChange {
	return EndpointChange{ID: ep.ID, Born: ep.Born, Tasks: len(ep.tasks), TokenAccepted: ep.tokenAccepted()}
}

// logEndpointChanges logs the endpoints that a list has changed, if there are any.
func (l *Leader) logEndpointChanges(d Decision, all []EndpointChange) {
	if len(all) > 0 {
		l.emit(LogDecision{Decision: d, Details: &EndpointChanges{Endpoints: all, List: l.list.At(l.now)}})
	}
}

// logRestart logs the restart of an endpoint, before its state is reset.
func (l *Leader) logRestart(ep *endpointState, after endpoint.Incarnation) {
	l.emit(LogDecision{Decision: EndpointRestarted, Endpoint: ep.Endpoint, Details: &EndpointRestart{
		Before: ep.Born, After: after, Listed: ep.listedBorn == after, Tasks: len(ep.tasks), ReadIn: ep.clockReadIn, Age: l.now - ep.clockReadAt,
	}})
}

// HasUnlistedEndpoints reports whether this leader may have attempts at endpoints that have left the list.
func (l *Leader) HasUnlistedEndpoints() bool {
	return slices.ContainsFunc(l.sortedEndpoints, func(ep *endpointState) bool { return ep.unlisted })
}
