package leader

import (
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// endpointState is an endpoint of the shard and the leader's state for it.
type endpointState struct {
	endpoint.Endpoint
	free job.Resources
	// tasks are those that occupy resources here.
	tasks map[job.TaskName]*task

	// tokenAccepted means that the endpoint has answered under the current token, so that it
	// rejects the requests of every earlier leader.
	tokenAccepted bool
	// adoptionEnd is when the attempts of an earlier leader that no job has adopted are stopped.
	adoptionEnd clock.Millis
	// clockReading is a lower bound of the endpoint's clock at clockReadAt.
	clockReading endpoint.Clock
	clockReadAt  clock.Millis
	// clockReadIn is the incarnation that reported clockReading, or 0 if the answer did not name it.
	clockReadIn endpoint.Incarnation
	// leaseSentAt is when the latest request that extends leases was sent.
	leaseSentAt clock.Millis
	// lastGrant is the latest lease that was granted or extended here, for the log.
	lastGrant LeaseGrant
	// ackedEnd is the highest number of an ended attempt that the leader has processed.
	ackedEnd endpoint.EndNumber

	watching, renewing bool
	renewalSentAt      clock.Millis
	// reportPending means that a report is needed from a request sent later than the one in flight.
	reportPending bool
	// unansweredHolds counts consecutive holds without an answer.
	unansweredHolds int
	lastReportAt    clock.Millis
	// unlisted means that the endpoint is missing from the platform's list.
	unlisted bool
	// usableFrom is when an endpoint that was added to the list may get tasks.
	usableFrom clock.Millis
	// blockedUntil is when the endpoint may get tasks again after it rejected one for lack of
	// capacity or as unhealthy.
	blockedUntil clock.Millis

	speed  speed
	health health
}

func newEndpointState(e endpoint.Endpoint, now clock.Millis) *endpointState {
	// An earlier leader may have granted leases until just now.
	return &endpointState{Endpoint: e, free: e.Capacity, tasks: make(map[job.TaskName]*task), lastReportAt: now, leaseSentAt: now}
}

// earliestClock is a lower bound of the endpoint's clock now, so that a lease computed from it
// never lasts longer than intended.
func (ep *endpointState) earliestClock(now clock.Millis) endpoint.Clock {
	return ep.clockReading + endpoint.Clock(now-ep.clockReadAt)
}

// setClock records a reading of the clock of an endpoint's incarnation; 0 is no reading, or an
// unknown incarnation.
func (ep *endpointState) setClock(c endpoint.Clock, incarnation endpoint.Incarnation, now clock.Millis) {
	if c == 0 {
		return
	}
	// A reading is stale by the time its answer took. The latest one always replaces the one
	// before, since the drift of the endpoint's clock makes an older reading unsafe.
	ep.clockReading, ep.clockReadAt, ep.clockReadIn = c, now, incarnation
}

// usable reports whether new tasks may be placed here.
func (ep *endpointState) usable(now clock.Millis) bool {
	return ep.clockReading != 0 && ep.tokenAccepted && !ep.Draining && !ep.unlisted && ep.unansweredHolds < suspectAfterHolds &&
		now >= max(ep.usableFrom, ep.blockedUntil) && ep.health.usable(now, len(ep.tasks))
}
