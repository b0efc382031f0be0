package leader

import (
	"github.com/sequoiacart/sequoiacart/internal/control/admission"
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// endpointState is an endpoint of the shard and the leader's state for it.
type endpointState struct {
	endpoint.Endpoint
	free job.Resources
	// tasks are those that occupy resources here.
	tasks map[job.TaskName]*task

	// bornSeq is the event in which the leader learned of the present incarnation, and formerBorn the
	// incarnation before.
	bornSeq    SequenceNumber
	formerBorn endpoint.Incarnation
	// epoch counts the restarts of the endpoint under the leader's token.
	epoch shard.Epoch
	// contacted means that the present incarnation has answered a request with a token of this
	// leader.
	contacted bool
	// tokenSeq is the event from which requests carry the present token, leadershipSeq the one from
	// which they outrank every earlier leader, and acceptedSeq the event in which the latest answered
	// one was sent.
	tokenSeq, leadershipSeq, acceptedSeq SequenceNumber
	// resolvedSeq is the event in which the latest hold was sent that was answered or has failed.
	resolvedSeq SequenceNumber
	// activeOrphans counts the orphans here that have not ended.
	activeOrphans int
	// adoptionEnd is when the attempts of an earlier leader that no job has adopted are stopped.
	adoptionEnd clock.Millis
	// orphanLeaseEnd is when the leases here end at the latest while there are such attempts.
	orphanLeaseEnd clock.Millis
	// clockReading is a lower bound of the endpoint's clock at clockReadAt.
	clockReading endpoint.Clock
	clockReadAt  clock.Millis
	// clockReadIn is the incarnation that reported clockReading, or 0 if the answer did not name it. clockReadSeq is
	// the event in which it was read.
	clockReadIn  endpoint.Incarnation
	clockReadSeq SequenceNumber
	// leaseSentAt is when the latest request that extends leases was sent.
	leaseSentAt clock.Millis
	// cappedLeaseEnd is when the leases have expired that requests to an earlier incarnation may
	// have extended in the present one, or 0 if it has not restarted.
	cappedLeaseEnd clock.Millis
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
	// answeredSeq is the event in which the endpoint's latest answer was handled, at answeredAt.
	answeredSeq SequenceNumber
	answeredAt  clock.Millis
	// refusals counts the separate refused connections since then, from refusedAt on. refusedSeq is the
	// event in which the latest one was handled.
	refusals   int
	refusedAt  clock.Millis
	refusedSeq SequenceNumber
	// closedSeq is the event in which a hold ended since the present incarnation closed its connection,
	// or 0 if another one has had an answer or a different failure since.
	closedSeq SequenceNumber
	closedAt  clock.Millis
	// suspected means that the present incarnation seems to have crashed, and crashed that its crash
	// has been handled.
	suspected, crashed bool
	// lost are the attempts that have expired here since the latest report. They may have been running
	// when the endpoint crashed.
	lost []CrashedAttempt
	// replaced means that another instance answers at the endpoint's address.
	replaced bool
	// unlisted means that the endpoint is missing from the platform's list.
	unlisted bool
	// unguarded means that the endpoint starts whatever it is told to, even beyond its capacity.
	unguarded bool
	// listedBorn is the incarnation whose row has the capacity, or 0 if the row does not name it. The list has
	// named it since listedSeq. refutedBorn is one that another has outlived, as a later request has shown.
	listedBorn, refutedBorn endpoint.Incarnation
	listedSeq               SequenceNumber
	// entryDoubtedAt is when the present incarnation was found to have the name of the one before, so that the entry
	// may be of either, or when the store was lost since; 0 if the entry is not doubted.
	entryDoubtedAt clock.Millis
	// entryReadAt is when the latest list with the endpoint was read from the store.
	entryReadAt clock.Millis
	// entryValidUntil is until when tasks may start by the entry, or 0 if it is not bounded.
	entryValidUntil clock.Millis
	// usableFrom is when an endpoint that was added to the list may get tasks.
	usableFrom clock.Millis
	// blockedUntil is when the endpoint may get tasks again after it rejected one for lack of
	// capacity or as unhealthy.
	blockedUntil clock.Millis

	speed  speed
	warmUp warmUp
	health health
	// hold is what the latest plan keeps free here for a job.
	hold admission.Hold
	// fullReported means that the endpoint had no free slot, and that more than half of them have been in use since.
	fullReported bool
	// suspect is the task that the endpoint is held for, because it may crash it, or nil.
	suspect *task
}

// droppedEndpoint is what a leader keeps of an endpoint that has left the list. The endpoint may
// return with the token of its latest epoch, or in another incarnation.
type droppedEndpoint struct {
	born, formerBorn, refutedBorn endpoint.Incarnation
	epoch                         shard.Epoch
	crashed                       bool
}

func newEndpointState(e endpoint.Endpoint, now clock.Millis) *endpointState {
	// An earlier leader may have granted leases until just now.
	return &endpointState{Endpoint: e, free: e.Capacity, tasks: make(map[job.TaskName]*task), lastReportAt: now, leaseSentAt: now}
}

// usable reports whether new tasks may be placed here that are no suspects.
func (ep *endpointState) usable(now clock.Millis) bool {
	return !ep.isolated() && ep.accepts(now)
}

// accepts reports whether the endpoint takes new tasks.
func (ep *endpointState) accepts(now clock.Millis) bool {
	return ep.clockReading != 0 && ep.epoch <= shard.MaxEpoch && ep.hasPresentEntry() && !ep.entryExpired(now) && !ep.Draining && !ep.unlisted && ep.responsive() &&
		now >= max(ep.usableFrom, ep.blockedUntil, ep.cappedLeaseEnd) && ep.health.usable(now, len(ep.tasks)) &&
		(ep.activeOrphans == 0 || now < ep.orphanLeaseEnd-orphanLease) && !ep.hasOverdueStop(now) && (!ep.unguarded || ep.demandKnown() && ep.capacityKnown(now))
}

// hasPresentEntry reports whether the endpoint's entry in the list is that of the present incarnation. One of another
// or that names none says nothing: the present one may be of another kind, service or size.
func (ep *endpointState) hasPresentEntry() bool {
	return ep.listedBorn == ep.Born && ep.entryDoubtedAt == 0
}

// entryExpired reports whether the entry is not proven to be current and too old to decide where tasks start.
func (ep *endpointState) entryExpired(now clock.Millis) bool {
	return ep.entryValidUntil != 0 && now > ep.entryValidUntil
}

// isDraining reports whether the present incarnation has said that it is leaving.
func (ep *endpointState) isDraining() bool { return ep.Draining && ep.hasPresentEntry() }

// responsive reports whether the present incarnation answers.
func (ep *endpointState) responsive() bool {
	return ep.contacted && !ep.replaced && ep.unansweredHolds < suspectAfterHolds
}

// empty reports whether nothing runs here.
func (ep *endpointState) empty() bool { return len(ep.tasks) == 0 && ep.activeOrphans == 0 }

// expectedFree is when the tasks here are expected to have ended.
func (ep *endpointState) expectedFree() clock.Millis {
	var at clock.Millis
	for _, t := range ep.tasks {
		at = max(at, t.startedAt+t.expectedDuration)
	}
	return at
}
