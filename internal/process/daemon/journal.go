package daemon

import (
	"context"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/sequoiacart/sequoiacart/internal/control/leader"
	"github.com/sequoiacart/sequoiacart/internal/control/node"
	"github.com/sequoiacart/sequoiacart/internal/process/meter"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/event"
)

// journal logs decisions on a goroutine of its own. Lines above the rate limit, or that come
// faster than they can be written, are dropped and counted, so that no goroutine waits for the
// log.
type journal struct {
	log       *event.Log
	meter     *meter.Meter
	clock     clock.Clock
	perSecond atomic.Int64
	lines     chan func()

	second    atomic.Int64
	inSecond  atomic.Int64
	storeDown atomic.Int64
}

// journalLength bounds the lines that wait to be written.
const journalLength = 512

func newJournal(log *event.Log, m *meter.Meter, c clock.Clock, perSecond int) *journal {
	j := &journal{log: log, meter: m, clock: c, lines: make(chan func(), journalLength)}
	j.setLimit(perSecond)
	return j
}

// setLimit sets how many lines may be logged in a second.
func (j *journal) setLimit(perSecond int) { j.perSecond.Store(int64(perSecond)) }

// run writes lines until the context ends, and then the remaining ones.
func (j *journal) run(ctx context.Context) error {
	for {
		select {
		case line := <-j.lines:
			line()
		case <-ctx.Done():
			for len(j.lines) > 0 {
				(<-j.lines)()
			}
			return ctx.Err()
		}
	}
}

func (j *journal) write(line func()) {
	second := int64(j.clock.Now() / clock.Second)
	if j.second.Swap(second) != second {
		j.inSecond.Store(0)
	}
	if j.inSecond.Add(1) > j.perSecond.Load() {
		j.meter.Count("logLines.dropped")
		return
	}
	select {
	case j.lines <- line:
	default:
		j.meter.Count("logLines.dropped")
	}
}

// report logs and counts a decision of the control state.
func (j *journal) report(r node.Report) {
	switch r.Topic {
	case node.JobEnded:
		j.jobEnded(r)
	case node.LeaderDecision:
		j.homeNote(r)
	case node.LeadershipAcquired:
		j.meter.Count("homes.taken")
		j.write(func() {
			j.log.Info(event.ShardAcquired, "home of cell", logrus.Fields{"cell": r.Shard, "lineup": r.ReplicaSet.Revision, "rank": r.Rank, "token": r.Token})
		})
	case node.LeadershipLost:
		j.meter.Count("homes.lost")
		j.write(func() {
			j.log.Info(event.ShardLost, "no longer home of cell", logrus.Fields{"cell": r.Shard, "token": r.Token})
		})
	case node.LeadershipYielded:
		j.write(func() {
			j.log.Info(event.ShardYielded, "cell handed over", logrus.Fields{"cell": r.Shard, "lineup": r.ReplicaSet.Revision, "successor": r.Rank >= 0})
		})
	case node.ReplicaSetUpdated:
		j.write(func() {
			members := make([]string, len(r.ReplicaSet.Members))
			for i, m := range r.ReplicaSet.Members {
				members[i] = string(m.Incarnation)
			}
			j.log.Info(event.ReplicaSetUpdated, "lineup of cell", logrus.Fields{"cell": r.Shard, "lineup": r.ReplicaSet.Revision, "members": members})
		})
	case node.DesiredStateApplied:
		j.meter.Gauge("desiredVersion", int64(r.Version))
		j.write(func() {
			j.log.Info(event.DesiredStateApplied, "desired state in force", logrus.Fields{"version": r.Version})
		})
	}
}

func (j *journal) jobEnded(r node.Report) {
	outcome, reason := outcomeName(r.Outcome)
	j.meter.Count("jobs." + outcome)
	if reason != "" {
		j.meter.Count("jobs." + outcome + "." + reason)
	}
	j.meter.RecordDuration("jobMs", r.Waited)
	j.write(func() {
		j.log.Info(event.JobEnded, "job ended", logrus.Fields{"job": r.Job, "outcome": outcome, "reason": reason, "cell": r.Shard, "parts": r.Parts, "waitedMs": r.Waited, "desired": r.Version})
	})
}

func outcomeName(o job.Outcome) (outcome, reason string) {
	switch o := o.(type) {
	case job.Completed:
		return "completed", ""
	case job.Failed:
		return "failed", ""
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
	leader.AttemptFailed: "runFailed", leader.AttemptNotAdopted: "runUnclaimed", leader.JobAccepted: "jobTaken",
	leader.JobRefused: "jobRefused", leader.JobForwarded: "jobPassedOn", leader.JobAdopted: "jobAdopted",
	leader.JobAbandoned: "jobAbandoned",
}

func (j *journal) homeNote(r node.Report) {
	name := decisionNames[r.Decision.Decision]
	j.meter.Count("home." + name)
	j.write(func() {
		j.log.Info(event.LeaderDecided, "home decided", logrus.Fields{
			"decision": name, "cell": r.Shard, "job": r.Decision.Job, "task": r.Decision.Task, "endpoint": r.Decision.Endpoint.ID, "detail": r.Decision.Detail,
		})
	})
}

// callFailed logs a failed call to a peer or endpoint; the event log suppresses repeats.
func (j *journal) callFailed(step, peer string, err error) {
	j.write(func() {
		j.log.Warn(event.CallFailed, "call failed", logrus.Fields{"step": step, "peer": peer, "error": err.Error()})
	})
}

// unreadable logs an endpoint row that cannot be decoded.
func (j *journal) unreadable(key string, err error) {
	j.meter.Count("endpoints.unreadable")
	j.write(func() {
		j.log.Warn(event.EndpointUnreadable, "row of endpoint not readable", logrus.Fields{"endpoint": key, "error": err.Error()})
	})
}

func (j *journal) storeFailed(table string, err error) {
	j.meter.Count("store.failed")
	if j.storeDown.Swap(1) == 1 {
		return
	}
	j.write(func() {
		j.log.Info(event.StoreUnreachable, "store lost", logrus.Fields{"table": table, "error": err.Error()})
	})
}

func (j *journal) storeAnswered(table string) {
	j.meter.Count("store.answered")
	if j.storeDown.Swap(0) == 0 {
		return
	}
	j.write(func() {
		j.log.Info(event.StoreRecovered, "store answers again", logrus.Fields{"table": table})
	})
}

// introduced logs the answer of a seed.
func (j *journal) introduced(seed string, i node.DeploymentState) {
	fields := logrus.Fields{"seed": seed, "vms": len(i.VMs), "lineups": len(i.ReplicaSets), "endpoints": len(i.Endpoints), "endpointsVersion": i.EndpointsVersion}
	if i.Desired != nil {
		fields["desired"] = i.Desired.Version
	}
	j.write(func() { j.log.Info(event.SeedAnswered, "seed answered", fields) })
}

func (j *journal) started(fields logrus.Fields) {
	j.log.Info(event.VMStarted, "VM started", fields)
}

func (j *journal) stopping(reason string) {
	j.log.Info(event.VMStopping, "VM stops", logrus.Fields{"reason": reason})
}

func (j *journal) reloaded(fields logrus.Fields) {
	j.write(func() { j.log.Info(event.SettingsReloaded, "settings read again", fields) })
}
