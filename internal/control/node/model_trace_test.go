package node_test

import (
	"fmt"
	"slices"
	"strings"

	"github.com/sequoiacart/sequoiacart/internal/control/leader"
	"github.com/sequoiacart/sequoiacart/internal/control/node"
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// modelTrace keeps what happened, to explain a violation.
type modelTrace struct {
	world   *world
	records []record
	// text is what led to the violation.
	text string
}

// record is one event. The fields that are set say what it is about.
type record struct {
	at       micros
	vm       string
	endpoint datacentre.EndpointID
	job      job.ID
	task     job.TaskName
	format   string
	args     []any
	// hold means that a hold has extended the leases at the endpoint.
	hold bool
}

const (
	maxRecords = 200_000
	// traceLines bounds the trace that is printed, tracePeriod the time that it covers.
	traceLines  = 70
	tracePeriod = 8 * second
	// traceHolds bounds the holds at each endpoint.
	traceHolds = 4
)

func (t *modelTrace) add(r record) {
	r.at = t.world.now
	if len(t.records) >= maxRecords {
		t.records = append(t.records[:0], t.records[maxRecords/2:]...)
	}
	t.records = append(t.records, r)
}

// fail keeps the events that explain why two attempts run at the same time.
func (t *modelTrace) fail(a, other *modelAttempt) {
	var lines []string
	holds := make(map[datacentre.EndpointID]int)
	for i := len(t.records) - 1; i >= 0 && len(lines) < traceLines; i-- {
		r := &t.records[i]
		if r.at < t.world.now-tracePeriod {
			break
		}
		if !r.concerns(a) && !r.concerns(other) {
			continue
		}
		if r.hold {
			holds[r.endpoint]++
			if holds[r.endpoint] > traceHolds {
				continue
			}
		}
		lines = append(lines, fmt.Sprintf("%s %-8s %-12s %s", formatTime(r.at), r.vm, r.endpoint, fmt.Sprintf(r.format, r.args...)))
	}
	slices.Reverse(lines)
	t.text = strings.Join(lines, "\n")
}

// concerns reports whether the event is about an attempt's task, its job or its endpoint, or about
// all of the deployment.
func (r *record) concerns(a *modelAttempt) bool {
	if r.task != "" {
		return r.task == a.task
	}
	if r.job != "" {
		return strings.HasPrefix(string(a.task), string(r.job)+".")
	}
	return r.endpoint == "" || r.endpoint == a.endpoint.id
}

// log records an event that a VM logs.
func (t *modelTrace) log(v *modelVM, e node.LogEvent) {
	switch e.Topic {
	case node.LeaderDecision:
		d := e.Decision
		r := record{vm: v.name, endpoint: d.Endpoint.ID, job: e.Job, task: d.Task, format: "%s decides: %s %s", args: []any{v.name, decisionNames[d.Decision], d.Detail}}
		t.add(r)
	case node.LeadershipAcquired:
		t.add(record{vm: v.name, format: "acquires leadership of %s, token %s", args: []any{e.Shard, formatToken(e.Token)}})
	case node.LeadershipLost:
		t.add(record{vm: v.name, format: "loses leadership of %s, token %s", args: []any{e.Shard, formatToken(e.Token)}})
	case node.LeadershipYielded:
		t.add(record{vm: v.name, format: "yields leadership of %s", args: []any{e.Shard}})
	case node.JobEnded:
		t.add(record{vm: v.name, job: e.Job, format: "%s ends job at its caller: %T %v", args: []any{v.name, e.Outcome, e.Outcome}})
	case node.ReplicaSetUpdated, node.DesiredStateApplied:
	}
}

var decisionNames = map[leader.Decision]string{
	leader.EndpointEjected: "endpoint ejected", leader.EndpointSuspected: "endpoint suspected", leader.EndpointReturned: "endpoint returned",
	leader.EndpointCrashSuspected: "crash suspected", leader.EndpointCrashed: "endpoint crashed",
	leader.StartUncertain: "start uncertain", leader.AttemptStalled: "attempt stalled", leader.AttemptLost: "attempt lost",
	leader.AttemptFailed: "attempt failed", leader.AttemptNotAdopted: "attempt not adopted", leader.JobAccepted: "job accepted",
	leader.JobRefused: "job refused", leader.JobForwarded: "job forwarded", leader.JobAdopted: "job adopted", leader.JobAbandoned: "job abandoned",
}

func formatTime(t micros) string { return fmt.Sprintf("%.3f", float64(t)/float64(ms)) }

func formatToken(t shard.Token) string { return fmt.Sprintf("%d.%d.%d", t>>16, t>>8&0xff, t&0xff) }

func endName(e endpoint.End) string {
	switch e {
	case endpoint.EndDone:
		return "done"
	case endpoint.EndFailed:
		return "failed"
	case endpoint.EndStopped:
		return "stopped"
	case endpoint.EndExpired:
		return "lapsed"
	case endpoint.EndBroken, endpoint.EndAlone, endpoint.EndUnknown:
	}
	return "unknown"
}

func startResultName(r endpoint.StartResult) string {
	if rejected, ok := r.(endpoint.Rejected); ok {
		switch rejected.Reason {
		case endpoint.RejectedFenced:
			return "fence"
		case endpoint.RejectedStale:
			return "old"
		case endpoint.RejectedExpired:
			return "late"
		case endpoint.RejectedNoCapacity:
			return "room"
		default:
			return "rejected"
		}
	}
	return "started"
}
