package daemon

import (
	"context"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/sequoiacart/sequoiacart/internal/control/leader"
	"github.com/sequoiacart/sequoiacart/internal/control/node"
	"github.com/sequoiacart/sequoiacart/internal/link/caller"
	"github.com/sequoiacart/sequoiacart/internal/process/meter"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/connection"
	"github.com/sequoiacart/sequoiacart/pkg/event"
)

// eventLogger logs decisions on a goroutine of its own. Lines above the rate limit, or that come
// faster than they can be written, are dropped and counted, so that no goroutine waits for the
// log.
type eventLogger struct {
	log   *event.Log
	meter *meter.Meter
	clock clock.Clock
	// perSecond limits the lines of a second.
	perSecond atomic.Int64
	lines     chan func()

	// second is the latest second with a line, linesInSecond the number of its lines so far.
	second        atomic.Int64
	linesInSecond atomic.Int64
	// storeDown is 1 during an outage of the store, so that its start and end are logged once.
	storeDown atomic.Int64
}

// maxPendingLines bounds the lines that wait to be written.
const maxPendingLines = 512

func newEventLogger(log *event.Log, m *meter.Meter, c clock.Clock, perSecond int) *eventLogger {
	l := &eventLogger{log: log, meter: m, clock: c, lines: make(chan func(), maxPendingLines)}
	l.setLimit(perSecond)
	return l
}

// setLimit sets how many lines may be logged in a second.
func (l *eventLogger) setLimit(perSecond int) { l.perSecond.Store(int64(perSecond)) }

// run writes lines until the context ends, and then the remaining ones.
func (l *eventLogger) run(ctx context.Context) error {
	for {
		select {
		case line := <-l.lines:
			line()
		case <-ctx.Done():
			for len(l.lines) > 0 {
				(<-l.lines)()
			}
			return ctx.Err()
		}
	}
}

func (l *eventLogger) write(line func()) {
	second := int64(l.clock.Now() / clock.Second)
	if l.second.Swap(second) != second {
		l.linesInSecond.Store(0)
	}
	if l.linesInSecond.Add(1) > l.perSecond.Load() {
		l.meter.Count("logLines.dropped")
		return
	}
	l.enqueue(line)
}

// enqueue writes a line regardless of the rate limit. Warnings use it, since the log holds back their
// repeats.
func (l *eventLogger) enqueue(line func()) {
	select {
	case l.lines <- line:
	default:
		l.meter.Count("logLines.dropped")
	}
}

// logEvent logs and counts an event of the control state.
func (l *eventLogger) logEvent(e node.LogEvent) {
	switch e.Topic {
	case node.JobEnded:
		l.jobEnded(e)
	case node.LeaderDecision:
		l.leaderDecision(e)
	case node.LeadershipAcquired:
		l.meter.Count("homes.taken")
		l.write(func() {
			l.log.Info(event.LeadershipAcquired, "leadership of shard acquired", leadershipFields(e))
		})
	case node.LeadershipLost:
		l.meter.Count("homes.lost")
		l.write(func() {
			l.log.Info(event.LeadershipLost, "leadership of shard lost", logrus.Fields{"cell": e.Shard, "token": e.Token})
		})
	case node.LeadershipYielded:
		l.write(func() {
			l.log.Info(event.LeadershipYielded, "leadership of shard handed over", logrus.Fields{"cell": e.Shard, "lineup": e.ReplicaSet.Revision, "successor": e.Rank >= 0})
		})
	case node.ReplicaSetUpdated:
		l.write(func() {
			members := make([]string, len(e.ReplicaSet.Members))
			for i, m := range e.ReplicaSet.Members {
				members[i] = string(m.Incarnation)
			}
			l.log.Info(event.ReplicaSetUpdated, "replica set of shard updated", logrus.Fields{"cell": e.Shard, "lineup": e.ReplicaSet.Revision, "members": members})
		})
	case node.EvacuationRequested:
		l.meter.Gauge("evacuations", int64(e.Evacuations))
		l.write(func() {
			l.log.Info(event.EvacuationRequested, "evacuation of data centre requested", logrus.Fields{"dataCentre": e.DataCentre, "sinceClearMs": e.SinceClear})
		})
	case node.EvacuationWithdrawn:
		l.meter.Gauge("evacuations", int64(e.Evacuations))
		l.write(func() {
			l.log.Info(event.EvacuationWithdrawn, "evacuation of data centre withdrawn", logrus.Fields{"dataCentre": e.DataCentre})
		})
	case node.RowOverwritten:
		l.meter.Count("vmRows.overwritten")
		l.write(func() {
			l.log.Info(event.RowOverwritten, "row of VM overwritten", foundFields(e.VM))
		})
	case node.VMReplaced:
		l.meter.Count("vmRows.replaced")
		l.write(func() {
			l.log.Info(event.VMReplaced, "VM replaced by a later process", foundFields(e.VM))
		})
	case node.DesiredStateApplied:
		l.meter.Gauge("desiredVersion", int64(e.Version))
		l.write(func() {
			l.log.Info(event.DesiredStateApplied, "desired state in force", logrus.Fields{"version": e.Version})
		})
	}
}

// foundFields describe the row that was in the place of this VM's.
func foundFields(v shard.VM) logrus.Fields {
	return logrus.Fields{"found": v.Incarnation, "address": v.Address, "generation": v.Generation, "revision": v.Revision}
}

func (l *eventLogger) jobEnded(e node.LogEvent) {
	outcome, reason := outcomeName(e.Outcome)
	l.meter.Count("jobs." + outcome)
	if reason != "" {
		l.meter.Count("jobs." + outcome + "." + reason)
	}
	l.meter.RecordDuration("jobMs", e.Waited)
	l.write(func() {
		l.log.Info(event.JobEnded, "job ended", logrus.Fields{"job": e.Job, "outcome": outcome, "reason": reason, "cell": e.Shard, "parts": e.Parts, "waitedMs": e.Waited, "desired": e.Version})
	})
}

func outcomeName(o job.Outcome) (outcome, reason string) {
	switch o := o.(type) {
	case job.Completed:
		return "completed", ""
	case job.Failed:
		return "failed", ""
	case job.Cancelled:
		return "cancelled", ""
	case job.Refused:
		return "refused", string(o.Reason)
	case job.Stopped:
		return "stopped", string(o.Reason)
	case job.Unanswered:
		return "unanswered", ""
	case job.Moved:
		return "moved", ""
	case job.Redirected:
		return "redirected", ""
	}
	return "unknown", ""
}

var decisionNames = map[leader.Decision]string{
	leader.EndpointEjected: "endpointEjected", leader.EndpointSuspected: "endpointSuspected",
	leader.EndpointReturned: "endpointReturned", leader.StartUncertain: "startDoubted", leader.AttemptStalled: "runStalled", leader.AttemptLost: "runLost",
	leader.AttemptFailed: "runFailed", leader.AttemptNotAdopted: "runUnclaimed", leader.AttemptEnded: "runEnded",
	leader.AttemptStarted: "runStarted", leader.JobAccepted: "jobTaken",
	leader.JobRefused: "jobRefused", leader.JobStarted: "forecastMissed", leader.JobForwarded: "jobPassedOn", leader.JobAdopted: "jobAdopted",
	leader.JobAbandoned: "jobAbandoned", leader.TaskGivenUp: "taskGivenUp", leader.AttemptsLeft: "runsLeft", leader.EndpointAppeared: "endpointAppeared",
	leader.EndpointRestarted: "endpointRestarted", leader.EndpointCrashSuspected: "endpointCrashSuspected", leader.EndpointCrashed: "endpointCrashed", leader.EndpointUnlisted: "endpointUnlisted", leader.EndpointDropped: "endpointDropped",
	leader.StartsHeld: "startsHeld", leader.StartsResumed: "startsResumed", leader.ShardEmptied: "shardEmptied", leader.EndpointCold: "endpointCold", leader.CallsFull: "callsFull", leader.EndpointFull: "endpointFull",
}

// loggedForecastError is the error of a forecast from which it is logged; the tightest jobs can wait 80 ms.
const loggedForecastError = clock.Millis(50)

func (l *eventLogger) leaderDecision(e node.LogEvent) {
	name := decisionNames[e.Decision.Decision]
	switch d := e.Decision.Details.(type) {
	case *leader.ForecastError:
		if d.Error < 0 {
			l.meter.RecordDuration("forecastEarlyMs", -d.Error)
		} else {
			l.meter.RecordDuration("forecastLateMs", d.Error)
		}
		if max(d.Error, -d.Error) < loggedForecastError {
			return
		}
	case *leader.Refusal:
		l.meter.Count("refusals." + refusalCauses[d.Cause] + "." + string(d.Queue))
		l.meter.RecordDuration("refusedAfterMs", d.Held)
	}
	l.meter.Count("home." + name)
	l.write(func() {
		fields := logrus.Fields{
			"decision": name, "cell": e.Shard, "job": e.Decision.Job, "task": e.Decision.Task, "endpoint": e.Decision.Endpoint.ID, "detail": e.Decision.Detail,
		}
		addDetails(fields, e.Decision.Details)
		l.log.Info(event.LeaderDecision, "decision of leader", fields)
	})
}

// callFailed logs a failed call to a peer or endpoint; the event log suppresses repeats.
func (l *eventLogger) callFailed(step, peer string, err error) {
	l.enqueue(func() {
		l.log.Warn(event.CallFailed, "call failed", logrus.Fields{"step": step, "peer": peer, "error": err.Error()})
	})
}

// callerTurnedAway logs that there is no room for a connection or a body.
func (l *eventLogger) callerTurnedAway(t caller.TurnedAway) {
	l.enqueue(func() {
		l.log.Warn(event.CallersTurnedAway, "callers turned away", logrus.Fields{"peer": "callers", "reason": t.Reason, "connections": t.Connections, "bodyBytes": t.BodyBytes})
	})
}

// callerUnanswered logs that the VM has closed a connection with a request in it.
func (l *eventLogger) callerUnanswered(u connection.Unanswered) {
	l.enqueue(func() {
		l.log.Warn(event.CallerUnanswered, "request without an answer", logrus.Fields{"peer": "callers", "reason": u})
	})
}

// endpointUnreadable counts an endpoint row that cannot be decoded, and may log it.
func (l *eventLogger) endpointUnreadable(key string, err error, logged bool) {
	l.meter.Count("endpoints.unreadable")
	if !logged {
		return
	}
	l.enqueue(func() {
		l.log.Warn(event.EndpointUnreadable, "row of endpoint not readable", logrus.Fields{"endpoint": key, "error": err.Error()})
	})
}

func (l *eventLogger) storeFailed(table string, err error) {
	l.meter.Count("store.failed")
	if l.storeDown.Swap(1) == 1 {
		return
	}
	l.write(func() {
		l.log.Info(event.StoreUnreachable, "store lost", logrus.Fields{"table": table, "error": err.Error()})
	})
}

func (l *eventLogger) storeAnswered(table string) {
	l.meter.Count("store.answered")
	if l.storeDown.Swap(0) == 0 {
		return
	}
	l.write(func() {
		l.log.Info(event.StoreRecovered, "store answers again", logrus.Fields{"table": table})
	})
}

// seedAnswered logs the answer of a seed.
func (l *eventLogger) seedAnswered(seed string, state node.DeploymentState) {
	fields := logrus.Fields{"seed": seed, "vms": len(state.VMs), "lineups": len(state.ReplicaSets), "endpoints": len(state.Endpoints), "endpointsVersion": state.EndpointsVersion}
	if state.Desired != nil {
		fields["desired"] = state.Desired.Version
	}
	l.write(func() { l.log.Info(event.SeedAnswered, "seed answered", fields) })
}

func (l *eventLogger) started(fields logrus.Fields) {
	l.log.Info(event.VMStarted, "VM started", fields)
}

func (l *eventLogger) stopping(reason string) {
	l.log.Info(event.VMStopping, "VM stops", logrus.Fields{"reason": reason})
}

func (l *eventLogger) reloaded(fields logrus.Fields) {
	l.write(func() { l.log.Info(event.SettingsReloaded, "settings read again", fields) })
}
