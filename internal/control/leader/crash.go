package leader

import (
	"cmp"
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// CrashEvidence is what shows that an incarnation of an endpoint has ended. It is one of the types
// of this file.
type CrashEvidence interface{ crashEvidence() }

// NewIncarnation means that a later incarnation of the endpoint is listed or has answered.
type NewIncarnation struct{ Before, After endpoint.Incarnation }

// InstanceReplaced means that another instance answers at the address of the endpoint.
type InstanceReplaced struct{}

// ConnectionsRefused means that the address of an endpoint that had answered refuses connections.
type ConnectionsRefused struct {
	// Refusals counts separate connections, each opened after the one before had been refused.
	Refusals int
	// Duration is the time from the first refusal to the last.
	Duration clock.Millis
}

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
	// SinceReport is the age of the latest status report.
	SinceReport clock.Millis
	// Attempts are at most maxCrashAttempts of all Total ones.
	Attempts []CrashedAttempt
	Total    int
}

// CrashedAttempt is an attempt that may have been running at an endpoint when it crashed.
type CrashedAttempt struct {
	Task    job.TaskName
	Attempt job.Attempt
	// Confirmed means that the endpoint has confirmed the start.
	Confirmed bool
	// Orphan means that the attempt was started by an earlier leader and has not been adopted.
	Orphan bool
	// Age is the time since the start was sent, or since this leader found the orphan.
	Age clock.Millis
}

func (*EndpointCrash) details() {}

const (
	// maxCrashAttempts bounds the attempts in the log line of a crash.
	maxCrashAttempts = 32
	// refusalsForCrash excludes a single refusal, which a reset of a connection that is being opened
	// looks like. The next connection is opened within a tick.
	refusalsForCrash = 2
)

// handleCrash handles the end of an incarnation of an endpoint, once, before the attempts there are
// ended.
func (l *Leader) handleCrash(ep *endpointState, e CrashEvidence) {
	if ep.crashed {
		return
	}
	ep.crashed, ep.crashedSeq = true, l.sequence
	l.emit(LogDecision{Decision: EndpointCrashed, Endpoint: ep.Endpoint, Details: l.endpointCrash(ep, e)})
}

func (l *Leader) endpointCrash(ep *endpointState, e CrashEvidence) *EndpointCrash {
	var attempts []CrashedAttempt
	for _, t := range ep.sortedTasks() {
		attempts = append(attempts, CrashedAttempt{Task: t.name, Attempt: t.attempt, Confirmed: t.confirmedAt != 0, Age: l.now - t.startedAt})
	}
	own := len(attempts)
	for name := range l.orphans {
		if o, ok := l.orphans.get(name, ep); ok && !o.ended {
			attempts = append(attempts, CrashedAttempt{Task: name, Attempt: o.attempt, Confirmed: true, Orphan: true, Age: l.now - o.foundAt})
		}
	}
	slices.SortFunc(attempts[own:], func(a, b CrashedAttempt) int { return cmp.Compare(a.Task, b.Task) })
	return &EndpointCrash{
		Incarnation: ep.Born, Evidence: e, Draining: ep.Draining, Contacted: ep.contacted, SinceReport: l.now - ep.lastReportAt,
		Attempts: attempts[:min(len(attempts), maxCrashAttempts)], Total: len(attempts),
	}
}

// handleRefusedConnection handles a request that was issued in the given event and not sent since
// the endpoint's address refuses connections. An incarnation that had answered before listens no
// more, so it has crashed unless it was about to exit.
func (l *Leader) handleRefusedConnection(ep *endpointState, request SequenceNumber) {
	if request <= max(ep.answeredSeq, ep.bornSeq) {
		return
	}
	if ep.refusals == 0 {
		ep.refusedAt = l.now
	}
	if ep.refusals == 0 || request >= ep.refusedSeq {
		ep.refusals++
		ep.refusedSeq = l.sequence
	}
	if ep.refusals >= refusalsForCrash && ep.Born != 0 && ep.contacted && !ep.Draining {
		l.handleCrash(ep, ConnectionsRefused{Refusals: ep.refusals, Duration: l.now - ep.refusedAt})
	}
}

// withdrawCrash takes back the crash of an incarnation that has answered a request issued since. An
// earlier request may have been answered before the crash.
func (l *Leader) withdrawCrash(ep *endpointState, request SequenceNumber) {
	if request < ep.refusedSeq {
		return
	}
	ep.refusals = 0
	if ep.crashed && request >= ep.crashedSeq {
		ep.crashed = false
		l.emit(LogDecision{Decision: EndpointReturned, Endpoint: ep.Endpoint, Detail: "answers in the same incarnation"})
	}
}

// lossDetail says in the log what is known of the endpoint of a lost attempt.
func (ep *endpointState) lossDetail(detail string) string {
	switch {
	case ep.Draining:
		return detail + ", endpoint draining"
	case ep.crashed:
		return detail + ", endpoint crashed"
	case ep.unlisted:
		return detail + ", endpoint not listed"
	case ep.unansweredHolds > 0:
		return detail + ", endpoint does not answer"
	}
	return detail
}
