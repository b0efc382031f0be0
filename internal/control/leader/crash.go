package leader

import (
	"cmp"
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// CrashEvidence is the evidence that an incarnation of an endpoint has ended. It is one of the types
// of this file.
type CrashEvidence interface{ crashEvidence() }

// NewIncarnation means that a later incarnation of the endpoint is listed or has answered.
type NewIncarnation struct{ Before, After endpoint.Incarnation }

// InstanceReplaced means that another instance answers at the address of the endpoint.
type InstanceReplaced struct{}

// ConnectionsRefused means that the address of an endpoint that had answered refuses connections. It
// proves no crash, since links that reset connections have the same effect.
type ConnectionsRefused struct {
	// Refusals counts separate connections, each opened after the one before had been refused.
	Refusals int
	// Duration is the time from the first refusal to the last.
	Duration clock.Millis
}

// ProcessEnded means that an endpoint has closed the connection of a hold that it had not answered and
// that its address refuses connections since then, without any other answer or failure in between.
// An answer of the same incarnation takes it back.
type ProcessEnded struct {
	// Refusals and Duration are as in ConnectionsRefused.
	Refusals int
	Duration clock.Millis
	// SinceClosed is the time since the connection was closed.
	SinceClosed clock.Millis
}

func (ProcessEnded) crashEvidence()       {}
func (NewIncarnation) crashEvidence()     {}
func (InstanceReplaced) crashEvidence()   {}
func (ConnectionsRefused) crashEvidence() {}

// EndpointCrash is the end of an incarnation and the attempts that may have been running then.
type EndpointCrash struct {
	Incarnation endpoint.Incarnation
	Evidence    CrashEvidence
	// Draining means that the endpoint had announced its end, which is no evidence against its tasks.
	Draining bool
	// Contacted means that the incarnation had answered this leader.
	Contacted bool
	// Abrupt means that the endpoint closed a connection or refused one within a lease of the latest
	// answer, so that the attempts there had not expired before.
	Abrupt bool
	// SinceReport is the age of the latest status report.
	SinceReport clock.Millis
	// Attempts include those that have expired since the latest report.
	Attempts []CrashedAttempt
}

// CrashedAttempt is an attempt that may have been running at an endpoint when it crashed.
type CrashedAttempt struct {
	Task    job.TaskName
	Attempt job.Attempt
	// Confirmed means that the endpoint has confirmed the start.
	Confirmed bool
	// Orphan means that the attempt was started by an earlier leader and has not been adopted.
	Orphan bool
	// Lost means that the attempt has expired since the endpoint's latest report.
	Lost bool
	// Age is the time since the start was sent, or since this leader found the orphan, until it was lost.
	Age    clock.Millis
	lostAt clock.Millis
}

func (*EndpointCrash) details() {}

const (
	// refusalsForSuspicion excludes a single refusal, which a reset of a connection that is being
	// opened looks like. The next connection is opened within a tick.
	refusalsForSuspicion = 2
	// maxListAge is how old the list may be that does not show an endpoint as draining. Endpoints serve
	// for drain_ms after the store has accepted that they drain, which is 2 s.
	maxListAge = 2 * clock.Second
	// crashProofTimeout is how long the attempts lost at an endpoint are kept. Endpoints that crash are
	// back after some seconds.
	crashProofTimeout = 10 * clock.Second
)

// handleCrash handles the end of an incarnation of an endpoint, once, before the attempts there are
// ended. After ProcessEnded they are left to expire.
func (l *Leader) handleCrash(ep *endpointState, e CrashEvidence) {
	if ep.crashed {
		return
	}
	ep.crashed = true
	c := l.endpointCrash(ep, e)
	l.emit(LogDecision{Decision: EndpointCrashed, Endpoint: ep.Endpoint, Details: c})
	l.proveCrash(ep, c)
	ep.lost = nil
}

// handleSuspectedCrash handles an incarnation that seems to have crashed, once until it answers again.
func (l *Leader) handleSuspectedCrash(ep *endpointState, e ConnectionsRefused) {
	if ep.suspected || ep.crashed {
		return
	}
	ep.suspected = true
	c := l.endpointCrash(ep, e)
	l.emit(LogDecision{Decision: EndpointCrashSuspected, Endpoint: ep.Endpoint, Details: c})
	l.crashes.Suspect(l.crashRecord(ep, c), l.now)
}

// withdrawSuspicion handles an answer of the present incarnation to a request that was issued in the
// given event. An answer to an earlier one may have been sent before the crash.
func (l *Leader) withdrawSuspicion(ep *endpointState, request SequenceNumber) {
	if request < max(ep.refusedSeq, ep.closedSeq) {
		return
	}
	ep.refusals, ep.closedSeq, ep.lost = 0, 0, nil
	if ep.suspected || ep.crashed {
		ep.suspected, ep.crashed = false, false
		l.crashes.Withdraw(ep.crashID(), 0, l.now)
		l.emit(LogDecision{Decision: EndpointReturned, Endpoint: ep.Endpoint, Detail: "answers in the same incarnation"})
		return
	}
	// An earlier leader may have suspected the incarnation.
	l.crashes.Withdraw(ep.crashID(), RequestLifetime, l.now)
}

// recordLost keeps an attempt that has expired at an endpoint, until a crash has named it.
func (ep *endpointState) recordLost(a CrashedAttempt, now clock.Millis) {
	if ep.crashed {
		return
	}
	a.Lost, a.lostAt = true, now
	ep.lost = append(ep.lost, a)
}

// dropLost drops the attempts that were lost too long ago for a crash to be proved.
func (ep *endpointState) dropLost(now clock.Millis) {
	ep.lost = slices.DeleteFunc(ep.lost, func(a CrashedAttempt) bool { return now >= a.lostAt+crashProofTimeout })
}

func (l *Leader) crashedAttempt(t *task) CrashedAttempt {
	return CrashedAttempt{Task: t.name, Attempt: t.attempt, Confirmed: t.confirmedAt != 0, Age: l.now - t.startedAt}
}

func (l *Leader) crashedOrphan(name job.TaskName, o orphan) CrashedAttempt {
	return CrashedAttempt{Task: name, Attempt: o.attempt, Confirmed: true, Orphan: true, Age: l.now - o.foundAt}
}

func (l *Leader) endpointCrash(ep *endpointState, e CrashEvidence) *EndpointCrash {
	attempts := slices.Clone(ep.lost)
	for _, t := range ep.sortedTasks() {
		attempts = append(attempts, l.crashedAttempt(t))
	}
	for name := range l.orphans {
		if o, ok := l.orphans.get(name, ep); ok && !o.ended {
			attempts = append(attempts, l.crashedOrphan(name, o))
		}
	}
	slices.SortFunc(attempts, func(a, b CrashedAttempt) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
	})
	noticedAt := l.now
	switch {
	case ep.closedSeq != 0:
		noticedAt = ep.closedAt
	case ep.refusals > 0:
		noticedAt = ep.refusedAt
	}
	return &EndpointCrash{
		Incarnation: ep.Born, Evidence: e, Draining: ep.isDraining(), Contacted: ep.contacted,
		Abrupt:      ep.contacted && (ep.closedSeq != 0 || ep.refusals > 0) && noticedAt-ep.answeredAt <= l.config.Timeouts.AttemptLease,
		SinceReport: l.now - ep.lastReportAt, Attempts: attempts,
	}
}

// handleRefusedConnection handles a request that was issued in the given event and not sent since
// the endpoint's address refuses connections.
func (l *Leader) handleRefusedConnection(ep *endpointState, request SequenceNumber) {
	if request <= max(ep.answeredSeq, ep.bornSeq) || request < ep.closedSeq {
		return
	}
	l.fenceNextIncarnation(ep)
	if ep.refusals == 0 {
		ep.refusedAt = l.now
	}
	if ep.refusals == 0 || request >= ep.refusedSeq {
		ep.refusals++
		ep.refusedSeq = l.sequence
	}
	if ep.refusals < refusalsForSuspicion || ep.Born == 0 || !ep.contacted || ep.isDraining() {
		return
	}
	if ep.closedSeq != 0 && l.now-l.list.ReadAt <= maxListAge {
		l.handleCrash(ep, ProcessEnded{Refusals: ep.refusals, Duration: l.now - ep.refusedAt, SinceClosed: l.now - ep.closedAt})
		return
	}
	l.handleSuspectedCrash(ep, ConnectionsRefused{Refusals: ep.refusals, Duration: l.now - ep.refusedAt})
}

// handleClosedConnection handles a hold that was issued in the given event and whose connection the
// endpoint closed without an answer.
func (l *Leader) handleClosedConnection(ep *endpointState, request SequenceNumber) {
	if request < max(ep.bornSeq, ep.tokenSeq) || ep.closedSeq != 0 && request < ep.closedSeq {
		return
	}
	ep.closedSeq, ep.closedAt, ep.refusals = l.sequence, l.now, 0
}

// lossDetail says in the log what is known of the endpoint of a lost attempt.
func (ep *endpointState) lossDetail(detail string) string {
	switch {
	case ep.isDraining():
		return detail + ", endpoint draining"
	case ep.crashed:
		return detail + ", endpoint crashed"
	case ep.suspected:
		return detail + ", endpoint refuses connections"
	case ep.unlisted:
		return detail + ", endpoint not listed"
	case ep.unansweredHolds > 0:
		return detail + ", endpoint does not answer"
	}
	return detail
}
