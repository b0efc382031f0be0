package daemon

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/internal/control/failover"
	"github.com/sequoiacart/sequoiacart/internal/control/leader"
	"github.com/sequoiacart/sequoiacart/internal/control/node"
	"github.com/sequoiacart/sequoiacart/internal/link/peer"
	"github.com/sequoiacart/sequoiacart/internal/link/store"
	"github.com/sequoiacart/sequoiacart/internal/process/meter"
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/estimate"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/trace"
	"github.com/sequoiacart/sequoiacart/platform"
)

// traffic executes the actions of the control state, each on a goroutine of its own that posts
// the result back.
type traffic struct {
	ctx       context.Context
	loop      *loop
	clock     clock.Clock
	endpoints *platform.EndpointClient
	peers     *peer.Client
	dialer    peer.Dialer
	store     store.Store
	journal   *journal
	meter     *meter.Meter
	tracer    *trace.Tracer
}

// submitSlack is how much longer than the caller of a job its submission to a leader waits.
const submitSlack = clock.Millis(300)

func (t *traffic) execute(a node.Action) {
	switch a := a.(type) {
	case node.LeaderAction:
		t.order(a.Shard, a.Action)
	case node.SendSubmission:
		go t.submit(a)
	case node.SendHeartbeat:
		go t.beat(a)
	case node.SendCancel:
		go func() {
			if err := t.peers.Cancel(a.To, a.Job); err != nil {
				t.journal.callFailed("cancel", string(a.To.Incarnation), err)
			}
		}()
	case node.SendYield:
		go t.yield(a)
	case node.WriteReplicaSet:
		go t.writeLineup(a)
	case node.LoadEstimates:
		go t.readExperience(a)
	case node.SaveEstimates:
		go t.writeExperience(a)
	case node.Probe:
		go t.probe(a)
	case node.QuerySeed:
		go t.askSeed(a)
	case node.FetchDesiredState:
		go t.fetchDesired(a)
	case node.FetchEndpoints:
		go t.fetchEndpoints(a)
	case node.Report:
		t.journal.report(a)
	}
}

func (t *traffic) order(c shard.ID, a leader.Action) {
	switch a := a.(type) {
	case leader.Start:
		go t.start(c, a)
	case leader.Stop:
		go t.stop(c, a)
	case leader.Hold:
		go t.hold(c, a)
	case leader.Answer, leader.Fenced, leader.LogDecision:
		// The control state handles these itself.
	}
}

func (t *traffic) start(c shard.ID, s leader.Start) {
	from := t.clock.Now()
	_, span := t.tracer.Start(trace.WithParent(t.ctx, s.Trace), trace.EndpointHop, s.Task)
	defer span.End()
	slow := time.AfterFunc(startSlow.Duration(), func() {
		t.loop.Post(node.LeaderEvent{Shard: c, Event: leader.StartSlow{Endpoint: s.Endpoint.ID, Task: s.Task, Attempt: s.Attempt}})
	})
	result, at := t.endpoints.Start(t.ctx, s)
	slow.Stop()
	t.meter.RecordDuration("startMs", t.clock.Now()-from)
	t.meter.Count("starts." + startName(result))
	t.loop.Post(node.LeaderEvent{Shard: c, Event: leader.StartEnded{
		Endpoint: s.Endpoint.ID, Task: s.Task, Attempt: s.Attempt, Result: result, Clock: at,
	}})
}

func startName(r endpoint.StartResult) string {
	switch r := r.(type) {
	case endpoint.Started:
		return "started"
	case endpoint.Rejected:
		return rejectionNames[r.Reason]
	case endpoint.NoAnswer:
		return "noAnswer"
	}
	return "unknown"
}

var rejectionNames = map[endpoint.Rejection]string{
	endpoint.RejectedFenced: "fenced", endpoint.RejectedStale: "old", endpoint.RejectedExpired: "late",
	endpoint.RejectedNoCapacity: "noRoom", endpoint.RejectedUnhealthy: "unhealthy",
	endpoint.RejectedOtherInstance: "otherLife", endpoint.RejectedInvalid: "invalid", endpoint.RejectedNotSent: "notSent",
}

func (t *traffic) stop(c shard.ID, s leader.Stop) {
	ok, err := t.endpoints.Stop(t.ctx, s)
	if err != nil {
		t.meter.Count("stops.failed")
		t.journal.callFailed("stop", string(s.Endpoint.ID), err)
	} else {
		t.meter.Count("stops.answered")
	}
	t.loop.Post(node.LeaderEvent{Shard: c, Event: leader.StopEnded{Endpoint: s.Endpoint.ID, Task: s.Task, Attempt: s.Attempt, Acknowledged: ok}})
}

func (t *traffic) hold(c shard.ID, h leader.Hold) {
	look, rejection, err := t.endpoints.Hold(t.ctx, h)
	if err != nil {
		t.meter.Count("holds.failed")
		t.journal.callFailed("hold", string(h.Endpoint.ID), err)
	} else {
		t.meter.Count("holds.answered")
	}
	t.loop.Post(node.LeaderEvent{Shard: c, Event: leader.HoldEnded{
		Endpoint: h.Endpoint.ID, Kind: h.Kind, Sequence: h.Sequence, Report: look, Rejection: rejection,
	}})
}

func (t *traffic) submit(a node.SendSubmission) {
	limit := max(a.Submission.Limit-a.Submission.Waited, 0) + submitSlack
	o := t.peers.Submit(a.To, a.Shard, a.Submission, limit)
	t.loop.Post(node.SubmitAnswered{Key: a.Submission.Key, From: a.Shard, Outcome: o})
}

func (t *traffic) beat(a node.SendHeartbeat) {
	reply, gone, err := t.peers.SendHeartbeat(a.To, a.Request)
	if err != nil {
		t.meter.Count("beats.failed")
		t.journal.callFailed("beat", string(a.To.Incarnation), err)
	} else {
		t.meter.Count("beats.answered")
		t.meter.RecordDuration("beatMs", t.clock.Now()-a.SentAt)
	}
	from := a.To.Incarnation
	if err == nil && reply.From != from {
		// Another incarnation listens at the address now.
		gone, err = true, errors.NotFoundf("%s", from)
	}
	t.loop.Post(node.HeartbeatAnswered{Shard: a.Request.Cell, Reply: reply, Answer: failover.Answer{
		From: from, OK: err == nil, ConnectionRefused: gone, Draining: reply.Draining, Leader: reply.Home, Token: reply.Token, LeaderClock: reply.Clock,
	}})
}

func (t *traffic) yield(a node.SendYield) {
	taken, err := t.peers.Yield(a)
	if err != nil {
		t.journal.callFailed("yield", string(a.To.Incarnation), err)
	}
	t.loop.Post(node.YieldEnded{Shard: a.ReplicaSet.Cell, Accepted: taken})
}

func (t *traffic) writeLineup(a node.WriteReplicaSet) {
	written := node.ReplicaSetWritten{ReplicaSet: a.ReplicaSet}
	body, err := store.EncodeReplicaSet(a.ReplicaSet)
	if err == nil {
		var revision store.Revision
		revision, err = t.store.Write(t.ctx, store.ReplicaSets, string(a.ReplicaSet.Cell), body, store.Revision(a.Expected))
		written.Written, written.ReplicaSet.Revision = err == nil, int64(revision)
	}
	if err != nil {
		t.journal.callFailed("write lineup", "store", err)
	}
	t.meter.Count("lineupWrites")
	t.loop.Post(written)
}

func (t *traffic) readExperience(a node.LoadEstimates) {
	row, err := t.store.Get(t.ctx, store.Estimates, string(a.Shard))
	if errors.Is(err, store.ErrNotFound) {
		return
	}
	if err == nil {
		var e estimate.Estimates
		if e, err = store.DecodeEstimates(row); err == nil {
			t.loop.Post(node.EstimatesLoaded{Shard: a.Shard, Estimates: e})
			return
		}
	}
	t.journal.callFailed("read experience", "store", err)
}

func (t *traffic) writeExperience(a node.SaveEstimates) {
	body, err := store.EncodeEstimates(a.Estimates)
	if err == nil {
		err = t.store.Put(t.ctx, store.Estimates, string(a.Shard), body)
	}
	if err != nil {
		t.journal.callFailed("write experience", "store", err)
	}
}

// probe opens a connection to one endpoint after another until one accepts.
func (t *traffic) probe(a node.Probe) {
	ended := node.ProbeEnded{Shard: a.Shard}
	for _, e := range a.Endpoints {
		c, err := t.dialer.DialContext(t.ctx, "tcp", e.Address)
		if err != nil {
			t.journal.callFailed("probe", string(e.ID), err)
			continue
		}
		_ = c.Close()
		ended.Reachable = true
		break
	}
	t.loop.Post(ended)
}

func (t *traffic) askSeed(a node.QuerySeed) {
	i, err := t.peers.FetchDeploymentState(a.Address)
	t.meter.Count("seeds.asked")
	if err != nil {
		t.journal.callFailed("ask seed", a.Address, err)
		return
	}
	t.journal.introduced(a.Address, i)
	t.loop.Post(node.SeedAnswered{State: i})
}

func (t *traffic) fetchDesired(a node.FetchDesiredState) {
	s, err := t.peers.FetchDesiredState(a.From)
	if err != nil {
		t.journal.callFailed("fetch desired state", string(a.From.Incarnation), err)
		return
	}
	if s != nil {
		t.loop.Post(node.DesiredStateLoaded{State: s})
	}
}

func (t *traffic) fetchEndpoints(a node.FetchEndpoints) {
	all, version, err := t.peers.FetchEndpoints(a.From)
	if err != nil {
		t.journal.callFailed("fetch endpoints", string(a.From.Incarnation), err)
		return
	}
	t.loop.Post(node.EndpointsLoaded{Endpoints: all, Version: version})
}
