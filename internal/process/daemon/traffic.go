package daemon

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/internal/control/failover"
	"github.com/sequoiacart/sequoiacart/internal/control/gateway"
	"github.com/sequoiacart/sequoiacart/internal/control/leader"
	"github.com/sequoiacart/sequoiacart/internal/control/node"
	"github.com/sequoiacart/sequoiacart/internal/link/peer"
	"github.com/sequoiacart/sequoiacart/internal/link/store"
	"github.com/sequoiacart/sequoiacart/internal/process/meter"
	"github.com/sequoiacart/sequoiacart/internal/process/network"
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/estimate"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
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
	logger    *eventLogger
	meter     *meter.Meter
	tracer    *trace.Tracer
	link      *network.Link
	// readEndpoints wakes the follower of the list of endpoints.
	readEndpoints chan struct{}
	// readOperator wakes the follower of the operator's table.
	readOperator chan struct{}
}

// submitMargin is how much longer a submission to a leader waits than the caller of the job.
const submitMargin = clock.Millis(300)

func (t *traffic) execute(a node.Action) {
	switch a := a.(type) {
	case node.LeaderAction:
		t.executeLeaderAction(a)
	case node.SendSubmission:
		go t.submit(a)
	case node.SendHeartbeat:
		go t.sendHeartbeat(a)
	case node.SendCancel:
		go t.cancel(a)
	case node.SaveCancellations:
		go t.saveCancellations(a)
	case node.LoadCancellations:
		go t.loadCancellations(a)
	case node.RemoveCancellations:
		go t.removeCancellations(a)
	case node.SendYield:
		go t.yield(a)
	case node.WriteVM:
		go t.writeVM(a)
	case node.WriteReplicaSet:
		go t.writeReplicaSet(a)
	case node.LoadEstimates:
		go t.loadEstimates(a)
	case node.SaveEstimates:
		go t.saveEstimates(a)
	case node.LoadCrashes:
		go t.loadCrashes(a)
	case node.SaveCrashes:
		go t.saveCrashes(a)
	case node.Probe:
		go t.probe(a)
	case node.QuerySeed:
		go t.querySeed(a)
	case node.FetchDesiredState:
		go t.fetchDesiredState(a)
	case node.FetchEndpoints:
		go t.fetchEndpoints(a)
	case node.ReadEndpoints:
		wake(t.readEndpoints)
	case node.ReadEvacuations:
		wake(t.readOperator)
	case node.LogEvent:
		t.logger.logEvent(a)
	}
}

// wake makes the next read of a follower due at once.
func wake(follower chan<- struct{}) {
	select {
	case follower <- struct{}{}:
	default:
		// A read is due already.
	}
}

func (t *traffic) executeLeaderAction(a node.LeaderAction) {
	switch request := a.Action.(type) {
	case leader.Start:
		go t.start(a, request)
	case leader.Stop:
		go t.stop(a, request)
	case leader.Hold:
		go t.hold(a, request)
	case leader.Answer, leader.Fenced, leader.RefreshList, leader.RefreshEvacuations, leader.DeadlyTaskFound, leader.LogDecision:
		// The control state handles these itself.
	}
}

func (t *traffic) start(a node.LeaderAction, s leader.Start) {
	sent := t.clock.Now()
	if sent > s.SendBy {
		t.meter.Count("starts.overdue")
		t.loop.Post(a.Result(leader.StartEnded{
			Endpoint: s.Endpoint.ID, Task: s.Task, Attempt: s.Attempt, SentTo: s.Endpoint.Born, Result: endpoint.Rejected{Reason: endpoint.RejectedNotSent},
		}))
		return
	}
	_, span := t.tracer.Start(trace.WithParent(t.ctx, s.Trace), trace.EndpointHop, s.Task)
	defer span.End()
	slow := time.AfterFunc((slowStartDelay + t.link.Patience()).Duration(), func() {
		t.loop.Post(a.Result(leader.StartSlow{Endpoint: s.Endpoint.ID, Task: s.Task, Attempt: s.Attempt}))
	})
	result, endpointClock := t.endpoints.Start(t.ctx, s)
	slow.Stop()
	t.meter.RecordDuration("startMs", t.clock.Now()-sent)
	t.meter.Count("starts." + startOutcomeName(result))
	t.loop.Post(a.Result(leader.StartEnded{
		Endpoint: s.Endpoint.ID, Task: s.Task, Attempt: s.Attempt, SentTo: s.Endpoint.Born, Result: result, Clock: endpointClock,
	}))
}

func startOutcomeName(r endpoint.StartResult) string {
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
	endpoint.RejectedRefused: "refused",
}

func (t *traffic) stop(a node.LeaderAction, s leader.Stop) {
	ok, err := t.endpoints.Stop(t.ctx, s)
	if err != nil {
		t.meter.Count("stops.failed")
		t.logger.callFailed("stop", string(s.Endpoint.ID), err)
	} else {
		t.meter.Count("stops.answered")
	}
	t.loop.Post(a.Result(leader.StopEnded{Endpoint: s.Endpoint.ID, Task: s.Task, Attempt: s.Attempt, Sequence: s.Sequence, Acknowledged: ok}))
}

func (t *traffic) hold(a node.LeaderAction, h leader.Hold) {
	if t.clock.Now() > h.SendBy {
		h.LeaseUntil = 0
	}
	report, rejection, err := t.endpoints.Hold(t.ctx, h)
	if err != nil {
		t.meter.Count("holds.failed")
		t.logger.callFailed("hold", string(h.Endpoint.ID), err)
	} else {
		t.meter.Count("holds.answered")
	}
	t.loop.Post(a.Result(leader.HoldEnded{
		Endpoint: h.Endpoint.ID, Kind: h.Kind, Sequence: h.Sequence, Report: report, Rejection: rejection,
	}))
}

func (t *traffic) submit(a node.SendSubmission) {
	limit := max(a.Submission.Limit-a.Submission.Waited, 0) + submitMargin
	o := t.peers.Submit(a.To, a.Shard, a.Submission, limit)
	t.loop.Post(node.SubmitAnswered{Key: a.Submission.Key, From: gateway.Responder{Shard: a.Shard, VM: a.To.Incarnation}, Outcome: o})
}

func (t *traffic) sendHeartbeat(a node.SendHeartbeat) {
	reply, refused, err := t.peers.SendHeartbeat(a.To, a.Request, a.Patience)
	if err != nil {
		t.meter.Count("beats.failed")
		t.logger.callFailed("beat", string(a.To.Incarnation), err)
	} else {
		t.meter.Count("beats.answered")
		t.meter.RecordDuration("beatMs", t.clock.Now()-a.SentAt)
	}
	incarnation := a.To.Incarnation
	if err == nil && reply.From != incarnation {
		// Another incarnation listens at the address now.
		refused, err = true, errors.NotFoundf("%s", incarnation)
	}
	t.loop.Post(node.HeartbeatAnswered{Shard: a.Request.Cell, Reply: reply, Answer: failover.Answer{
		From: incarnation, OK: err == nil, ConnectionRefused: refused, Draining: reply.Draining, Leader: reply.Home, Token: reply.Token, LeaderClock: reply.Clock,
		SentAt: a.SentAt, OrphansEndIn: reply.OrphansEndIn, ListAge: reply.ListAge,
	}})
}

func (t *traffic) cancel(a node.SendCancel) {
	answer, err := t.peers.Cancel(a.To, a.Cancellation)
	if err != nil {
		t.logger.callFailed("cancel", string(a.To.Incarnation), err)
		return
	}
	t.loop.Post(node.CancelAnswered{Cancellation: a.Cancellation, From: a.To.Incarnation, Answer: answer})
}

func (t *traffic) saveCancellations(a node.SaveCancellations) {
	body, err := store.EncodeCancellations(a.All)
	if err == nil {
		err = t.store.Put(t.ctx, store.Cancellations, string(a.Row), body)
	}
	if err != nil {
		t.logger.callFailed("write cancellations", "store", err)
	}
	t.meter.Count("cancellations.writes")
	t.loop.Post(node.CancellationsSaved{Row: a.Row, OK: err == nil})
}

func (t *traffic) loadCancellations(a node.LoadCancellations) {
	loaded := node.CancellationsLoaded{Load: a.Load, Rows: make(map[node.CancellationRow][]job.Cancellation)}
	table, err := t.store.Read(t.ctx, store.Cancellations)
	if err != nil {
		t.logger.callFailed("read cancellations", "store", err)
	}
	loaded.OK = err == nil
	for _, row := range table.Rows {
		all, err := store.DecodeCancellations(row)
		if err != nil {
			t.logger.callFailed("decode cancellations", "store", err)
		}
		loaded.Rows[node.CancellationRow(row.Key)] = all
	}
	t.loop.Post(loaded)
}

func (t *traffic) removeCancellations(a node.RemoveCancellations) {
	keys := make([]string, len(a.Rows))
	for i, row := range a.Rows {
		keys[i] = string(row)
	}
	err := t.store.RemoveAll(t.ctx, store.Cancellations, keys)
	if err != nil {
		t.logger.callFailed("remove cancellations", "store", err)
	}
	t.loop.Post(node.CancellationsRemoved{Rows: a.Rows, OK: err == nil})
}

func (t *traffic) yield(a node.SendYield) {
	accepted, err := t.peers.Yield(a)
	if err != nil {
		t.logger.callFailed("yield", string(a.To.Incarnation), err)
	}
	t.loop.Post(node.YieldEnded{Shard: a.ReplicaSet.Cell, Leadership: a.Leadership, Accepted: accepted})
}

func (t *traffic) writeVM(a node.WriteVM) {
	var written node.VMWritten
	body, err := store.EncodeVM(a.VM)
	if err == nil {
		var revision store.Revision
		revision, err = t.store.Write(t.ctx, store.VMs, string(a.VM.Incarnation.VM()), body, store.Revision(a.Expected))
		written.Revision, written.Written = int64(revision), err == nil
	}
	if err != nil {
		t.logger.callFailed("write row of VM", "store", err)
	}
	t.meter.Count("vmRows.writes")
	t.loop.Post(written)
}

func (t *traffic) writeReplicaSet(a node.WriteReplicaSet) {
	written := node.ReplicaSetWritten{ReplicaSet: a.ReplicaSet}
	body, err := store.EncodeReplicaSet(a.ReplicaSet)
	if err == nil {
		var revision store.Revision
		revision, err = t.store.Write(t.ctx, store.ReplicaSets, string(a.ReplicaSet.Cell), body, store.Revision(a.Expected))
		written.Written, written.ReplicaSet.Revision = err == nil, int64(revision)
	}
	if err != nil {
		t.logger.callFailed("write lineup", "store", err)
	}
	t.meter.Count("lineupWrites")
	t.loop.Post(written)
}

func (t *traffic) loadEstimates(a node.LoadEstimates) {
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
	t.logger.callFailed("read experience", "store", err)
}

func (t *traffic) saveEstimates(a node.SaveEstimates) {
	body, err := store.EncodeEstimates(a.Estimates)
	if err == nil {
		err = t.store.Put(t.ctx, store.Estimates, string(a.Shard), body)
	}
	if err != nil {
		t.logger.callFailed("write experience", "store", err)
	}
}

func (t *traffic) loadCrashes(a node.LoadCrashes) {
	row, err := t.store.Get(t.ctx, store.Crashes, string(a.Shard))
	if errors.Is(err, store.ErrNotFound) {
		return
	}
	if err != nil {
		t.logger.callFailed("read crashes", "store", err)
		return
	}
	t.postCrashes(row)
}

// loadAllCrashes reads the crashes of all shards once, and retries until that succeeds.
func (t *traffic) loadAllCrashes(ctx context.Context) error {
	for ctx.Err() == nil {
		table, err := t.store.Read(ctx, store.Crashes)
		if err == nil {
			for _, row := range table.Rows {
				t.postCrashes(row)
			}
			break
		}
		t.logger.storeFailed(string(store.Crashes), err)
		sleep(ctx, retryPause)
	}
	<-ctx.Done()
	return ctx.Err()
}

func (t *traffic) postCrashes(row store.Row) {
	all, err := store.DecodeCrashes(row)
	if err != nil {
		t.logger.callFailed("decode crashes", "store", err)
	}
	if len(all) > 0 {
		t.loop.Post(node.CrashesLoaded{Records: all})
	}
}

func (t *traffic) saveCrashes(a node.SaveCrashes) {
	body, err := store.EncodeCrashes(a.Records)
	if err == nil {
		err = t.store.Put(t.ctx, store.Crashes, string(a.Shard), body)
	}
	if err != nil {
		t.logger.callFailed("write crashes", "store", err)
	}
}

// probe opens a connection to one endpoint after another until one accepts.
func (t *traffic) probe(a node.Probe) {
	ended := node.ProbeEnded{Shard: a.Shard}
	for _, e := range a.Endpoints {
		c, err := t.dialer.DialContext(t.ctx, "tcp", e.Address)
		if err != nil {
			t.logger.callFailed("probe", string(e.ID), err)
			continue
		}
		_ = c.Close()
		ended.Reachable = true
		break
	}
	t.loop.Post(ended)
}

func (t *traffic) querySeed(a node.QuerySeed) {
	state, err := t.peers.FetchDeploymentState(a.Address)
	t.meter.Count("seeds.asked")
	if err != nil {
		t.logger.callFailed("ask seed", a.Address, err)
		return
	}
	t.logger.seedAnswered(a.Address, state)
	t.loop.Post(node.SeedAnswered{State: state})
}

func (t *traffic) fetchDesiredState(a node.FetchDesiredState) {
	s, err := t.peers.FetchDesiredState(a.From)
	if err != nil {
		t.logger.callFailed("fetch desired state", string(a.From.Incarnation), err)
		return
	}
	if s != nil {
		t.loop.Post(node.DesiredStateLoaded{State: s})
	}
}

func (t *traffic) fetchEndpoints(a node.FetchEndpoints) {
	all, version, err := t.peers.FetchEndpoints(a.From)
	if err != nil {
		t.logger.callFailed("fetch endpoints", string(a.From.Incarnation), err)
		return
	}
	t.loop.Post(node.EndpointsLoaded{Endpoints: all, Version: version, Gap: true})
}
