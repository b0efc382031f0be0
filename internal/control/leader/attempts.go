package leader

import (
	"strconv"

	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// startAttempt starts the next attempt of a task at an endpoint.
func (l *Leader) startAttempt(t *task, ep *endpointState, base clock.Millis) {
	lastAttempt := l.attemptNumbers.get(t.name)
	t.attempt = max(t.attempt, lastAttempt) + 1
	l.attemptNumbers.set(t.name, t.attempt, l.now)
	t.enter(starting)
	t.endpoint, t.startedAt, t.confirmedAt, t.confirmedIn, t.sentTo = ep, l.now, 0, 0, ep.Born
	t.baseDuration, t.expectedDuration = base, l.durationAt(ep, base)
	t.startedCold = ep.isCold(l.now)
	t.percent, t.percentAt = 0, l.now
	t.stopAckedAt, t.stopSentAt, t.uncertainSeq, t.startedSeq = 0, 0, 0, l.sequence
	t.job.started = true
	l.reserve(t, ep)
	ep.useHeld(t)
	ep.leaseSentAt = l.now
	until, _ := l.leaseUntil(ep)
	t.startGrant = ep.leaseGrant(until, l.now)
	ep.lastGrant = t.startGrant
	l.beginCall(&l.starts)
	l.logStart(t, lastAttempt)
	l.emit(Start{
		Endpoint: ep.Endpoint, Task: t.name, Attempt: t.attempt, Payload: t.job.Job.Payload,
		LeaseUntil: until, SendBy: l.now + sendDelay, Token: l.tokenFor(ep), Expected: t.expectedDuration, Trace: t.job.Job.Trace,
	})
	if !ep.watching {
		l.sendHold(ep, Watch)
	}
}

// confirmRunning records that the endpoint runs the attempt.
func (l *Leader) confirmRunning(t *task) {
	t.enter(running)
	t.confirmedAt, t.confirmedSeq, t.confirmedIn = l.now, l.sequence, t.endpoint.Born
}

func (l *Leader) reserve(t *task, ep *endpointState) {
	ep.free = ep.free.Minus(t.stepSpec().Demand)
	ep.tasks[t.name] = t
	l.activeTasks[t.name] = t
	l.reportFull(ep)
}

// freeResources returns the resources of an attempt that has certainly ended.
func (l *Leader) freeResources(t *task) {
	if t.endpoint == nil || !t.holdsResources() {
		return
	}
	t.endpoint.free = t.endpoint.free.Plus(t.stepSpec().Demand)
	t.endpoint.fullReported = t.endpoint.fullReported && t.endpoint.free.Slots < t.endpoint.Capacity.Slots/2
	delete(t.endpoint.tasks, t.name)
	if t.endpoint.suspect == t {
		l.release(t.endpoint)
	}
	if l.activeTasks[t.name] == t {
		delete(l.activeTasks, t.name)
	}
	t.endpoint = nil
}

// endAttempt frees the resources of an attempt that has certainly ended and enqueues the task for
// another one, unless its job has been answered.
func (l *Leader) endAttempt(t *task, end AttemptEnd) {
	t.lastEnd = l.endedAttempt(t, end)
	if _, expired := end.(EndLeaseExpired); expired {
		t.endpoint.recordLost(l.crashedAttempt(t), l.now)
	}
	l.logEnd(t, t.lastEnd)
	l.freeResources(t)
	t.enter(waiting)
	if t.job.answered {
		t.enter(ended)
		l.removeIfFinished(t.job)
		return
	}
	l.enqueue(t.job)
}

// stopAttempt makes sure that an attempt has ended before anything else is done with its task.
func (l *Leader) stopAttempt(t *task) {
	t.enter(stopping)
	t.stopAckedAt, t.stopBegunAt = 0, l.now
	l.sendStop(t)
}

// sendStop sends a stop, once there are few enough without an answer.
func (l *Leader) sendStop(t *task) {
	if l.stops.isFull() {
		if !t.stopPending {
			t.stopPending, l.pendingStops = true, append(l.pendingStops, t)
		}
		return
	}
	l.beginCall(&l.stops)
	t.stopSentAt = l.now
	l.emit(Stop{Endpoint: t.endpoint.Endpoint, Task: t.name, Attempt: t.attempt, Token: l.tokenFor(t.endpoint), Sequence: l.sequence})
}

// sendPendingStops sends the stops that wait and are still needed.
func (l *Leader) sendPendingStops() {
	for len(l.pendingStops) > 0 && !l.stops.isFull() {
		t := l.pendingStops[0]
		t.stopPending, l.pendingStops = false, l.pendingStops[1:]
		if t.phase == stopping && t.stopAckedAt == 0 {
			l.sendStop(t)
		}
	}
}

// taskOfAttempt returns the task whose current attempt at the endpoint is this one, or nil.
func (l *Leader) taskOfAttempt(ep *endpointState, name job.TaskName, attempt job.Attempt) *task {
	t := ep.tasks[name]
	if t == nil || t.attempt != attempt {
		return nil
	}
	return t
}

func (l *Leader) handleStartEnded(e StartEnded) {
	ep := l.endpoints[e.Endpoint]
	if ep == nil {
		return
	}
	wentBack := ep.clockWentBack(e.Clock)
	if e.SentTo == ep.Born && !wentBack {
		ep.setClock(e.Clock, 0, l.now, l.sequence)
	}
	t := l.taskOfAttempt(ep, e.Task, e.Attempt)
	if t == nil || t.phase != starting {
		return
	}
	switch r := e.Result.(type) {
	case endpoint.Started:
		ep.answeredSeq, ep.answeredAt = l.sequence, l.now
		if wentBack {
			l.markUncertain(t, ep, "clock of the endpoint went back")
			return
		}
		l.confirmRunning(t)
	case endpoint.NoAnswer:
		l.markUncertain(t, ep, r.Cause)
	case endpoint.Rejected:
		l.handleStartRejected(t, ep, r.Reason)
	}
}

// markUncertain requests a status report for an attempt whose start has not been answered: the
// start may have been carried out although its answer is lost or late.
func (l *Leader) markUncertain(t *task, ep *endpointState, cause string) {
	if t.phase != starting || t.uncertainSeq != 0 {
		return
	}
	t.uncertainSeq = l.sequence
	l.logAttempt(StartUncertain, t, ep, cause)
	l.requestReport(ep)
}

func (l *Leader) handleStartRejected(t *task, ep *endpointState, reason endpoint.Rejection) {
	t.avoidEndpoint, t.lostThere = ep, false
	switch reason {
	case endpoint.RejectedFenced:
		if t.startedSeq >= ep.tokenSeq {
			l.emit(Fenced{})
		}
	case endpoint.RejectedStale:
		// An earlier submission of the job has used this attempt number.
		t.attempt += skippedAttempts
	case endpoint.RejectedNoCapacity:
		ep.blockedUntil = l.now + capacityBackoff
		l.sendHold(ep, Renewal)
	case endpoint.RejectedUnhealthy:
		l.countEndpointFailure(t, ep)
		ep.blockedUntil = max(ep.blockedUntil, l.now+capacityBackoff)
	case endpoint.RejectedNotSent, endpoint.RejectedRefused:
		if reason == endpoint.RejectedRefused {
			l.handleRefusedConnection(ep, t.startedSeq)
			l.crashes.Remove(ep.crashID(), t.name)
		}
		ep.unansweredHolds = max(ep.unansweredHolds, suspectAfterHolds)
		l.sendHold(ep, Renewal)
	case endpoint.RejectedExpired, endpoint.RejectedOtherInstance:
		l.sendHold(ep, Renewal)
	case endpoint.RejectedInvalid:
		l.endAttempt(t, EndRejected{Reason: reason})
		l.countTaskFailure(t)
		return
	}
	l.endAttempt(t, EndRejected{Reason: reason})
}

const (
	// skippedAttempts exceeds the attempt numbers of an earlier submission of the same job.
	skippedAttempts = 16
	// capacityBackoff is how long an endpoint gets no tasks after it rejected one for lack of
	// capacity or as unhealthy; a status report takes a fraction of that.
	capacityBackoff = clock.Millis(40)
)

func (l *Leader) handleStopEnded(e StopEnded) {
	ep := l.endpoints[e.Endpoint]
	if ep == nil || !e.Acknowledged || e.Sequence < ep.tokenSeq {
		return
	}
	if t := l.taskOfAttempt(ep, e.Task, e.Attempt); t != nil && t.phase == stopping {
		t.stopAckedAt, t.stopAckedSeq = l.now, l.sequence
		l.requestReport(ep)
	}
}

// handleRestart stops the attempts at an endpoint that has restarted under its ID. The attempts of
// the earlier incarnation have ended, but the new one may have carried out a start that was in
// flight, so each attempt has to be stopped or missing from a later report.
func (l *Leader) handleRestart(ep *endpointState, incarnation endpoint.Incarnation) {
	l.handleCrash(ep, NewIncarnation{Before: ep.Born, After: incarnation})
	l.raiseToken(ep)
	for _, t := range ep.sortedTasks() {
		l.logAttempt(AttemptLost, t, ep, ep.lossDetail("endpoint restarted"))
		t.avoidEndpoint, t.lostThere = ep, true
		if t.phase != stopping {
			l.stopAttempt(t)
			continue
		}
		t.stopAckedAt = 0
		l.sendStop(t)
	}
	l.removeOrphans(ep, EndRestarted{})
	ep.entryDoubtedAt = 0
	if incarnation == ep.Born {
		ep.entryDoubtedAt = l.now
	}
	ep.formerBorn, ep.ackedEnd = ep.Born, 0
	ep.Born, ep.bornSeq = incarnation, l.sequence
	ep.suspected, ep.crashed, ep.refusals, ep.closedSeq, ep.lost = false, false, 0, 0, nil
	ep.speed, ep.health = speed{}, health{}
}

// handleReplacement ends the attempts at an instance that another has replaced at its address, as the
// answer to a request says. Requests name the instance, so the new one has carried out none of them.
// An attempt that was started or confirmed since the request was sent may be at another address.
func (l *Leader) handleReplacement(ep *endpointState, request SequenceNumber) {
	if request >= ep.acceptedSeq {
		l.handleCrash(ep, InstanceReplaced{})
	}
	for _, t := range ep.sortedTasks() {
		if max(t.startedSeq, t.confirmedSeq) >= request {
			l.requestReport(ep)
			continue
		}
		l.logAttempt(AttemptLost, t, ep, ep.lossDetail("instance replaced"))
		t.avoidEndpoint, t.lostThere = ep, true
		l.endAttempt(t, EndReplaced{})
	}
	if request >= ep.acceptedSeq {
		ep.replaced = true
		l.removeOrphans(ep, EndReplaced{})
	}
}

// handleAttemptEnded processes the end of an attempt.
func (l *Leader) handleAttemptEnded(ep *endpointState, e endpoint.EndedAttempt) {
	if e.Number <= ep.ackedEnd {
		return
	}
	ep.ackedEnd = e.Number
	if e.End == endpoint.EndDone {
		l.crashes.Clear(e.Task)
	}
	t := l.taskOfAttempt(ep, e.Task, e.Attempt)
	if t == nil {
		l.orphans.remove(e.Task, ep)
		if l.now < ep.adoptionEnd {
			l.orphans.put(e.Task, orphan{endpoint: ep, attempt: e.Attempt, ended: true, end: e.End, foundAt: l.now})
		}
		return
	}
	if t.job.answered {
		if e.End == endpoint.EndDone {
			l.recordSpeed(t, ep, l.now-t.startedAt)
		}
		l.endAttempt(t, EndListed{End: e.End})
		return
	}
	switch e.End {
	case endpoint.EndDone:
		l.handleTaskDone(t, ep)
	case endpoint.EndFailed:
		l.logAttempt(AttemptFailed, t, ep, "")
		if t.phase != stopping {
			l.countEndpointFailure(t, ep)
		}
		t.avoidEndpoint = ep
		l.endAttempt(t, EndListed{End: e.End})
		l.countTaskFailure(t)
	case endpoint.EndExpired, endpoint.EndBroken, endpoint.EndAlone, endpoint.EndUnknown:
		l.logAttempt(AttemptLost, t, ep, "ended "+strconv.Itoa(int(e.End)))
		t.avoidEndpoint, t.lostThere = ep, true
		l.endAttempt(t, EndListed{End: e.End})
	case endpoint.EndStopped:
		l.endAttempt(t, EndListed{End: e.End})
	}
}

func (l *Leader) handleTaskDone(t *task, ep *endpointState) {
	measured := l.now - t.startedAt
	if t.phase != stopping {
		l.recordSpeed(t, ep, measured)
	}
	if !t.startedCold {
		l.recordWork(t, ep, measured)
	}
	if ep.health.onProbation {
		l.logAttempt(EndpointReturned, t, ep, "completed a task on probation")
	}
	ep.health.recordSuccess()
	l.freeResources(t)
	l.markDone(t)
}

func (l *Leader) markDone(t *task) {
	t.enter(done)
	j := t.job
	j.openTasks--
	j.openByStep[t.stepIndex]--
	if j.openTasks == 0 {
		l.answer(j, job.Completed{})
	}
}

// countTaskFailure counts a failed attempt of a task and fails the job at the limit of its queue.
func (l *Leader) countTaskFailure(t *task) {
	t.failures++
	if t.failures < max(l.queueOf(t.job).MaxAttempts, 1) || t.job.answered {
		return
	}
	l.endTasks(t.job)
	l.answer(t.job, job.Failed{Task: t.name})
}

// countEndpointFailure counts a failure against an endpoint, once for each job: tasks of a job that
// can never succeed fail everywhere.
func (l *Leader) countEndpointFailure(t *task, ep *endpointState) {
	if t.job.failedEndpoints[ep] || len(t.job.failedEndpoints) >= maxFailedEndpoints {
		return
	}
	if t.job.failedEndpoints == nil {
		t.job.failedEndpoints = make(map[*endpointState]bool)
	}
	t.job.failedEndpoints[ep] = true
	if ep.health.recordFailure(l.now) {
		l.emit(LogDecision{Decision: EndpointEjected, Endpoint: ep.Endpoint, Detail: "consecutive failed attempts"})
	}
}

// maxFailedEndpoints bounds the endpoints that one job can count failures against.
const maxFailedEndpoints = 4

func (l *Leader) logAttempt(d Decision, t *task, ep *endpointState, detail string) {
	l.emit(LogDecision{Decision: d, Job: t.job.Job.ID, Task: t.name, Endpoint: ep.Endpoint, Detail: detail})
}
