package leader

import (
	"strconv"

	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
)

// handleHoldEnded processes the answer to a hold and compares the status report with the leader's
// state.
func (l *Leader) handleHoldEnded(e HoldEnded) {
	ep := l.endpoints[e.Endpoint]
	if ep == nil {
		return
	}
	if e.Kind == Watch {
		ep.watching = false
	} else {
		ep.renewing = false
	}
	ep.resolvedSeq = max(ep.resolvedSeq, e.Sequence)
	if e.Report == nil {
		l.handleHoldFailed(ep, e)
		return
	}
	if e.Sequence < ep.bornSeq && (e.Report.Incarnation != ep.Born || ep.formerBorn == ep.Born) {
		// This report is of an earlier incarnation, or of a later one that the next report will show.
		// Incarnations are times of day, which can go back, so the order of requests decides.
		return
	}
	if ep.Born != 0 && (e.Report.Incarnation != ep.Born || ep.clockBegan(e)) {
		l.logRestart(ep, e.Report.Incarnation)
		l.handleRestart(ep, e.Report.Incarnation)
	}
	if ep.Born == 0 {
		ep.Born, ep.bornSeq = e.Report.Incarnation, l.sequence
	}
	ep.checkListedBorn(e.Report.Incarnation, e.Sequence)
	l.withdrawSuspicion(ep, e.Sequence)
	ep.replaced = false
	ep.answeredSeq, ep.answeredAt = l.sequence, l.now
	l.acceptToken(ep, e.Sequence)
	ep.lastReportAt = l.now
	ep.unansweredHolds = 0
	ep.setClock(e.Report.Clock, e.Report.Incarnation, l.now, l.sequence)
	for _, end := range e.Report.Ended {
		l.handleAttemptEnded(ep, end)
	}
	l.reconcile(ep, e)
	l.sendHold(ep, Watch)
	l.requestPendingReport(ep)
}

// requestReport asks an endpoint for a status report with a request that is sent from now on; one
// in flight does not count.
func (l *Leader) requestReport(ep *endpointState) {
	ep.reportPending = ep.renewing
	l.sendHold(ep, Renewal)
}

func (l *Leader) requestPendingReport(ep *endpointState) {
	if ep.reportPending && !ep.renewing {
		ep.reportPending = false
		l.sendHold(ep, Renewal)
	}
}

func (l *Leader) handleHoldFailed(ep *endpointState, e HoldEnded) {
	defer l.requestPendingReport(ep)
	switch e.Rejection {
	case HoldFenced:
		if e.Sequence >= ep.tokenSeq {
			l.emit(Fenced{})
		}
	case HoldOtherInstance:
		l.handleReplacement(ep, e.Sequence)
	case HoldRefused:
		l.handleRefusedConnection(ep, e.Sequence)
		l.handleUnansweredHold(ep, e)
	case HoldClosed:
		l.handleClosedConnection(ep, e.Sequence)
		l.handleUnansweredHold(ep, e)
		if closedNow := ep.closedSeq == l.sequence; closedNow && l.fenceNextIncarnation(ep) {
			l.sendHold(ep, Watch)
		}
	case HoldUnanswered:
		if e.Sequence >= ep.closedSeq {
			ep.closedSeq = 0
		}
		l.handleUnansweredHold(ep, e)
	}
}

func (l *Leader) handleUnansweredHold(ep *endpointState, e HoldEnded) {
	ep.unansweredHolds++
	if ep.unansweredHolds == suspectAfterHolds {
		l.emit(LogDecision{Decision: EndpointSuspected, Endpoint: ep.Endpoint, Detail: "hold not answered"})
	}
	for _, t := range ep.sortedTasks() {
		if t.phase == starting && t.uncertainSeq != 0 && e.Sequence >= t.uncertainSeq {
			l.stopAttempt(t)
		}
	}
}

// reconcile compares the tasks at an endpoint with the attempts that it reports.
func (l *Leader) reconcile(ep *endpointState, e HoldEnded) {
	listed := make(map[job.TaskName]endpoint.ActiveAttempt, len(e.Report.Active))
	for _, a := range e.Report.Active {
		listed[a.Task] = a
		t := l.taskOfAttempt(ep, a.Task, a.Attempt)
		if t == nil {
			l.recordOrphan(ep, a)
			continue
		}
		if t.phase == starting {
			l.confirmRunning(t)
		}
		if a.Percent != t.percent {
			t.percent, t.percentAt = a.Percent, l.now
		}
	}
	l.removeUnlistedOrphans(ep, listed)
	for _, t := range ep.sortedTasks() {
		_, present := listed[t.name]
		switch {
		case present:
		case t.phase == starting && t.uncertainSeq != 0 && e.Sequence >= t.uncertainSeq:
			// The start may still be carried out later, so it has to be stopped first.
			l.stopAttempt(t)
		case t.phase == running && e.Sequence >= t.confirmedSeq:
			// The attempt should be listed. It is stopped before the task starts again, in case it
			// exists.
			l.logAttempt(AttemptLost, t, ep, "not in the status report")
			l.stopAttempt(t)
		case t.phase == stopping && t.stopAckedAt != 0 && e.Sequence >= t.stopAckedSeq:
			// A stop was acknowledged before this report, so the attempt can never appear again.
			l.endAttempt(t, EndAbsentAfterStop{})
		}
	}
}

// recordOrphan records an attempt that belongs to no task of this leader. Until adoptionEnd a job
// may still adopt it; after that it is stopped.
func (l *Leader) recordOrphan(ep *endpointState, a endpoint.ActiveAttempt) {
	o, ok := l.orphans.get(a.Task, ep)
	if !ok || o.attempt != a.Attempt {
		o = orphan{endpoint: ep, attempt: a.Attempt, foundAt: l.now}
	}
	o.percent = a.Percent
	l.orphans.put(a.Task, o)
	if l.now >= ep.adoptionEnd {
		l.stopOrphan(a.Task, o)
	}
}

// stopOrphan stops an attempt of an earlier leader, and repeats the stop until the attempt is gone.
func (l *Leader) stopOrphan(name job.TaskName, o orphan) {
	if o.ended || o.stopSentAt != 0 && l.now < o.stopSentAt+stopRetryInterval {
		return
	}
	if l.stops.isFull() {
		return
	}
	if o.stopSentAt == 0 {
		l.emit(LogDecision{Decision: AttemptNotAdopted, Task: name, Endpoint: o.endpoint.Endpoint, Detail: "attempt " + strconv.FormatInt(int64(o.attempt), 10)})
	}
	o.stopSentAt = l.now
	l.orphans.put(name, o)
	l.beginCall(&l.stops)
	l.emit(Stop{Endpoint: o.endpoint.Endpoint, Task: name, Attempt: o.attempt, Token: l.tokenFor(o.endpoint), Sequence: l.sequence})
}

// removeUnlistedOrphans removes the orphans at an endpoint that it no longer lists.
func (l *Leader) removeUnlistedOrphans(ep *endpointState, listed map[job.TaskName]endpoint.ActiveAttempt) {
	for name := range l.orphans {
		o, ok := l.orphans.get(name, ep)
		if _, present := listed[name]; ok && !o.ended && !present {
			l.orphans.remove(name, ep)
			l.logOrphanEnd(name, o, EndAbsent{})
		}
	}
}

// sendHold sends a hold unless one of its kind is in flight.
func (l *Leader) sendHold(ep *endpointState, k HoldKind) {
	h := Hold{Endpoint: ep.Endpoint, Kind: k, SendBy: l.now + sendDelay, Acked: ep.ackedEnd, Token: l.tokenFor(ep), Sequence: l.sequence}
	busy := len(ep.tasks) > 0
	switch k {
	case Watch:
		if ep.watching {
			return
		}
		ep.watching = true
		h.Wait = idleWatchWait
		if busy {
			h.Wait = l.config.Timeouts.AttemptLease / renewalsPerLease
		}
		if ep.unansweredHolds > 0 || !ep.contacted {
			h.Wait = 0
		}
	case Renewal:
		if ep.renewing {
			return
		}
		ep.renewing, ep.renewalSentAt = true, l.now
	}
	// The leases at an endpoint that does not answer are left to expire, so that its tasks can run
	// elsewhere.
	if until, ok := l.leaseUntil(ep); ok && (busy || l.now < ep.adoptionEnd) && ep.unansweredHolds == 0 {
		h.LeaseUntil, ep.leaseSentAt = until, l.now
		ep.lastGrant = ep.leaseGrant(until, l.now)
	}
	l.emit(h)
}
