package node

import (
	"fmt"
	"slices"
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/control/failover"
	"github.com/sequoiacart/sequoiacart/internal/control/leader"
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// bench drives the control state of one VM, "me" in data centre centro, step by step.
type bench struct {
	t       *testing.T
	control *Control
	now     clock.Millis
	// reachable says whether probes of other data centres succeed.
	reachable bool
	// answers holds the answers of members to heartbeats; members without an entry are silent.
	answers map[vm.Incarnation]HeartbeatReply
	actions []Action
}

func newVM(dc datacentre.ID, name string) shard.VM {
	return shard.VM{Member: shard.Member{Incarnation: vm.Incarnation(name), Address: name + ":1"}, DataCentre: dc, CPU: 400}
}

func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{t: t, now: 100_000, answers: make(map[vm.Incarnation]HeartbeatReply)}
	b.control = New(Config{
		Self: newVM("centro", "me-1"), DataCentres: []datacentre.ID{"centro", "norte"},
		Timeouts: leader.DefaultTimeouts(1000, 50, 1300), FarFactor: 1.5, Successors: 3, Now: b.now,
	})
	b.handle(VMsLoaded{VMs: []shard.VM{newVM("centro", "me-1"), newVM("centro", "peer-1"), newVM("norte", "n-1"), newVM("norte", "m-1")}})
	b.handle(DesiredStateLoaded{State: queue.NewState(1, []queue.Queue{{Name: "q", Service: "s", Stretch: 1.6, Allowance: 60, MaxAttempts: 2}}, nil, queue.Limits{})})
	b.handle(EndpointsLoaded{Version: 1, Endpoints: []endpoint.Endpoint{newEndpoint("centro", "e1"), newEndpoint("centro", "e2"), newEndpoint("norte", "f1")}})
	return b
}

func newEndpoint(dc datacentre.ID, id datacentre.EndpointID) endpoint.Endpoint {
	return endpoint.Endpoint{ID: id, DataCentre: dc, Service: "s", Capacity: job.Resources{CPU: 1000, Memory: 100}}
}

func replicaSet(id shard.ID, revision int64, members ...string) shard.ReplicaSet {
	set := shard.ReplicaSet{Cell: id, Revision: revision}
	for _, m := range members {
		set.Members = append(set.Members, shard.Member{Incarnation: vm.Incarnation(m), Address: m + ":1"})
	}
	return set
}

// handle passes an event to the control state and answers probes and heartbeats at once.
func (b *bench) handle(e Event) []Action {
	actions := b.control.Handle(b.now, e)
	b.actions = append(b.actions, actions...)
	for _, a := range actions {
		switch a := a.(type) {
		case Probe:
			b.handle(ProbeEnded{Shard: a.Shard, Reachable: b.reachable})
		case SendHeartbeat:
			reply, ok := b.answers[a.To.Incarnation]
			b.handle(HeartbeatAnswered{Shard: a.Request.Cell, Reply: reply, Answer: failover.Answer{
				From: a.To.Incarnation, OK: ok, Leader: reply.Home, Token: reply.Token, Draining: reply.Draining, LeaderClock: b.now,
			}})
		default:
		}
	}
	return actions
}

func (b *bench) advance(span clock.Millis) {
	for end := b.now + span; b.now < end; b.now += 10 {
		b.handle(Tick{})
	}
}

// sendHeartbeat sends a heartbeat of another VM to this one.
func (b *bench) sendHeartbeat(v shard.VM, id shard.ID) HeartbeatReply {
	reply := make(chan HeartbeatReply, 1)
	b.handle(PeerHeartbeat{Request: HeartbeatRequest{Cell: id, From: v}, Reply: reply})
	return <-reply
}

func (b *bench) isLeader(id shard.ID) bool { return b.control.ledShards[id] != nil }

// takeActions returns the actions of a type since the last call.
func takeActions[T Action](b *bench) []T {
	var found []T
	for _, a := range b.actions {
		if t, ok := a.(T); ok {
			found = append(found, t)
		}
	}
	b.actions = nil
	return found
}

// Guards against a shard that no VM claims, against a first claim before stronger VMs have started,
// and against claims that do not list the running VMs as successors.
func TestClaimOfAShardWithoutLeader(t *testing.T) {
	b := newBench(t)
	b.advance(initialClaimDelay)
	if writes := takeActions[WriteReplicaSet](b); len(writes) != 0 {
		t.Fatalf("got writes %+v while VMs start, want none", writes)
	}
	b.sendHeartbeat(newVM("centro", "peer-1"), "centro")
	b.advance(200)
	writes := takeActions[WriteReplicaSet](b)
	if len(writes) != 1 || writes[0].ReplicaSet.Cell != "centro" || writes[0].Expected != 0 {
		t.Fatalf("got writes %+v, want one for centro that expects no revision", writes)
	}
	written := writes[0].ReplicaSet
	written.Revision = 9
	b.handle(ReplicaSetWritten{ReplicaSet: written, Written: true})
	if !b.isLeader("centro") {
		t.Errorf("got no leader of centro after its replica set was written, want this VM")
	}
	if got, want := b.control.ledShards["centro"].leader.Token(), shard.Token(9<<8); got != want {
		t.Errorf("got token %d, want %d", got, want)
	}
}

// Guards against a VM outside a partitioned data centre that takes over its shard: while it cannot
// reach the endpoints, and after the partition, when the leader inside answers again.
func TestPartitionedShardKeepsItsLeader(t *testing.T) {
	b := newBench(t)
	b.handle(ReplicaSetsLoaded{ReplicaSets: []shard.ReplicaSet{replicaSet("norte", 5, "n-1", "m-1", "me-1")}})
	b.advance(3000)
	if b.isLeader("norte") || len(takeActions[WriteReplicaSet](b)) > 0 && b.isLeader("norte") {
		t.Fatalf("got this VM as leader of norte during the partition, want none")
	}
	b.reachable = true
	b.advance(300)
	b.answers["n-1"] = HeartbeatReply{Home: true, Token: 1280, From: "n-1"}
	b.advance(2000)
	if b.isLeader("norte") {
		t.Errorf("got this VM as leader of norte after the partition although the leader inside answers")
	}
}

// Guards against a shard that stays without a leader when all VMs of its data centre are lost.
func TestShardOfALostDataCentreIsLedFromOutside(t *testing.T) {
	b := newBench(t)
	b.reachable = true
	b.handle(ReplicaSetsLoaded{ReplicaSets: []shard.ReplicaSet{replicaSet("norte", 5, "n-1", "m-1", "me-1")}})
	b.advance(4000)
	if !b.isLeader("norte") {
		t.Fatalf("got no leader of norte, want this VM")
	}
	takeActions[SendYield](b)
	v := newVM("norte", "n-2")
	b.handle(VMsLoaded{VMs: []shard.VM{newVM("centro", "me-1"), v}})
	for range 30 {
		b.sendHeartbeat(v, "norte")
		b.handle(ReplicaSetWritten{ReplicaSet: replicaSet("norte", 7, "me-1", "n-2"), Written: true})
		b.advance(100)
	}
	yields := takeActions[SendYield](b)
	if len(yields) == 0 || yields[0].To.Incarnation != "n-2" || len(yields[0].Endpoints) == 0 {
		t.Errorf("got %+v, want the shard handed back to the VM inside, with its endpoints", yields)
	}
}

// Guards against a small VM that leads a shard although a much stronger one is available, and against
// shards that move between VMs of nearly the same size.
func TestShardMovesToAMuchStrongerVM(t *testing.T) {
	for _, tt := range []struct {
		name  string
		cpu   int
		moves bool
	}{{"twice as strong", 800, true}, {"a little stronger", 500, false}} {
		t.Run(tt.name, func(t *testing.T) {
			b := leaderOfCentro(t)
			v := newVM("centro", "peer-1")
			v.CPU = tt.cpu
			b.handle(VMsLoaded{VMs: []shard.VM{newVM("centro", "me-1"), v, newVM("norte", "n-1")}})
			for range 30 {
				b.sendHeartbeat(v, "centro")
				b.sendHeartbeat(newVM("norte", "n-1"), "centro")
				b.advance(100)
			}
			yields := takeActions[SendYield](b)
			if moved := len(yields) > 0 && yields[0].To.Incarnation == "peer-1"; moved != tt.moves {
				t.Errorf("got yields %+v, want one to the VM inside: %v", yields, tt.moves)
			}
		})
	}
}

// Guards against tasks that start again although an earlier leader may have attempts of them at an
// endpoint whose entry has expired.
func TestMissingEndpointsAreKeptForAWhile(t *testing.T) {
	b := newBench(t)
	b.handle(EndpointsLoaded{Version: 2, Endpoints: []endpoint.Endpoint{newEndpoint("centro", "e1")}})
	listed := func() bool {
		all, _ := b.control.Endpoints()
		return slices.ContainsFunc(all, func(e endpoint.Endpoint) bool { return e.ID == "e2" })
	}
	b.advance(2000)
	if !listed() {
		t.Errorf("after 2 s: got the endpoint removed, want it kept")
	}
	b.advance(1000)
	if listed() {
		t.Errorf("after 3 s: got the endpoint kept, want it removed")
	}
	b.handle(EndpointsLoaded{Version: 1, Endpoints: nil})
	if all, version := b.control.Endpoints(); len(all) != 1 || version != 2 {
		t.Errorf("got %d endpoints of version %d after an older list, want 1 of version 2", len(all), version)
	}
}

func leaderOfCentro(t *testing.T) *bench {
	t.Helper()
	b := newBench(t)
	b.handle(ReplicaSetsLoaded{ReplicaSets: []shard.ReplicaSet{replicaSet("centro", 5, "me-1", "peer-1", "n-1")}})
	b.advance(50)
	if !b.isLeader("centro") {
		t.Fatalf("got no leader of centro, want this VM")
	}
	for _, v := range []shard.VM{newVM("centro", "peer-1"), newVM("norte", "n-1")} {
		b.sendHeartbeat(v, "centro")
	}
	b.actions = nil
	return b
}

// Guards against a shard without a leader after a shutdown because the first successor shuts down
// as well.
func TestShutdownAsksOneSuccessorAfterTheOther(t *testing.T) {
	b := leaderOfCentro(t)
	b.handle(ShutdownRequested{})
	for _, want := range []vm.Incarnation{"peer-1", "n-1"} {
		yields := takeActions[SendYield](b)
		if len(yields) != 1 || yields[0].To.Incarnation != want {
			t.Fatalf("got %+v, want %s asked", yields, want)
		}
		b.handle(YieldEnded{Shard: "centro", Accepted: want == "n-1"})
	}
	if b.isLeader("centro") || !b.control.Idle() || b.control.Ready() {
		t.Errorf("got leader %v, idle %v, ready %v, want the shard handed over, idle and not ready", b.isLeader("centro"), b.control.Idle(), b.control.Ready())
	}
}

// Guards against VMs that shut down and are still asked as successors.
func TestLeavingVMsAreNoSuccessors(t *testing.T) {
	b := leaderOfCentro(t)
	reply := make(chan HeartbeatReply, 1)
	b.handle(PeerHeartbeat{Request: HeartbeatRequest{Cell: "centro", From: newVM("centro", "peer-1"), Leaving: true}, Reply: reply})
	b.handle(ShutdownRequested{})
	if yields := takeActions[SendYield](b); len(yields) != 1 || yields[0].To.Incarnation != "n-1" {
		t.Errorf("got %+v, want the VM that keeps running", yields)
	}
}

// Guards against a leader that continues after another VM leads its shard, and against jobs that
// get no answer then.
func TestLaterReplicaSetEndsLeadership(t *testing.T) {
	b := leaderOfCentro(t)
	ended := make(chan job.Outcome, 1)
	b.handle(PeerSubmitted{Shard: "centro", Submission: job.Submission{
		Key: job.Key{Entry: "peer-1", Seq: 1}, Limit: 3000,
		Job: job.Job{ID: "0000000000000001", Queue: "q", Steps: []job.Step{{Tasks: 1, Demand: job.Resources{CPU: 500}, Estimate: 50}}},
	}, Ended: ended})
	b.handle(ReplicaSetsLoaded{ReplicaSets: []shard.ReplicaSet{replicaSet("centro", 6, "peer-1", "me-1")}})
	if b.isLeader("centro") {
		t.Fatalf("got this VM as leader of centro although a later replica set names another")
	}
	select {
	case o := <-ended:
		if _, ok := o.(job.Moved); !ok {
			t.Errorf("got %T, want the job moved", o)
		}
	default:
		t.Errorf("got no answer for the job, want one")
	}
	b.handle(ReplicaSetsLoaded{ReplicaSets: []shard.ReplicaSet{replicaSet("centro", 5, "me-1")}})
	b.advance(50)
	if b.isLeader("centro") {
		t.Errorf("got this VM as leader of centro because of an older replica set")
	}
}

// Guards against a desired state that is replaced by an older one, and against VMs with an older
// state that do not fetch the later one.
func TestOlderDesiredStateIsIgnored(t *testing.T) {
	b := leaderOfCentro(t)
	for _, v := range []queue.Version{3, 2, 5} {
		b.handle(DesiredStateLoaded{State: queue.NewState(v, nil, nil, queue.Limits{})})
		if got, want := b.control.Desired().Version, max(v, 3); got != want {
			t.Errorf("after version %d: got %d in force, want %d", v, got, want)
		}
	}
	reply := make(chan HeartbeatReply, 1)
	b.actions = nil
	b.advance(300)
	b.handle(PeerHeartbeat{Request: HeartbeatRequest{Cell: "centro", From: newVM("centro", "peer-1"), Desired: 9}, Reply: reply})
	if fetches := takeActions[FetchDesiredState](b); len(fetches) != 1 || fetches[0].From.Incarnation != "peer-1" {
		t.Errorf("got %+v, want the later state fetched from the VM that has it", fetches)
	}
}

// Guards against two VMs that use the same fencing token after any sequence of take-overs.
func TestTokensAreUnique(t *testing.T) {
	seen := make(map[shard.Token]string)
	for revision := int64(1); revision < 50; revision++ {
		set := replicaSet("centro", revision, "a-1", "b-1", "c-1", "d-1")
		for rank, m := range set.Members {
			holder := fmt.Sprint(revision, m.Incarnation)
			if other, ok := seen[set.Token(rank)]; ok {
				t.Errorf("got token %d for %s and %s, want a token for each", set.Token(rank), holder, other)
			}
			seen[set.Token(rank)] = holder
			if rank > 0 && set.Token(rank) <= set.Token(rank-1) {
				t.Errorf("got a successor with a lower token than its predecessor, want a higher one")
			}
		}
	}
	before, after := replicaSet("centro", 7, "a-1"), replicaSet("centro", 8, "a-1")
	if before.Token(255) >= after.Token(0) {
		t.Errorf("got a token of an earlier replica set above a later one, want it below")
	}
}

// Guards against a shard without a leader in a partition: the leader shuts down, all members of its
// replica set have been replaced, and no other set can be written until the partition ends.
func TestShardIsKeptUntilThereIsASuccessor(t *testing.T) {
	b := leaderOfCentro(t)
	b.control.config.HandOverTimeout = 4000
	replacement := newVM("centro", "peer-2")
	b.handle(VMsLoaded{VMs: []shard.VM{newVM("centro", "me-1"), replacement}})
	b.advance(heartbeatMaxAge + 100)
	b.sendHeartbeat(replacement, "centro")
	takeActions[WriteReplicaSet](b)
	b.handle(ShutdownRequested{})
	for range 10 {
		b.sendHeartbeat(replacement, "centro")
		b.advance(100)
	}
	if yields := takeActions[SendYield](b); len(yields) != 0 || !b.isLeader("centro") {
		t.Fatalf("got yields %+v and leader %v while there is no successor, want the shard kept", yields, b.isLeader("centro"))
	}
	b.handle(ReplicaSetWritten{ReplicaSet: replicaSet("centro", 5), Written: false})
	b.advance(500)
	b.sendHeartbeat(replacement, "centro")
	b.advance(200)
	writes := takeActions[WriteReplicaSet](b)
	if len(writes) == 0 || len(writes[0].ReplicaSet.Members) < 2 || writes[0].ReplicaSet.Members[1].Incarnation != "peer-2" {
		t.Fatalf("got writes %+v, want a replica set with the running VM", writes)
	}
	b.handle(ReplicaSetWritten{ReplicaSet: replicaSet("centro", 9, "me-1", "peer-2"), Written: true})
	b.sendHeartbeat(replacement, "centro")
	b.advance(200)
	if yields := takeActions[SendYield](b); len(yields) == 0 || yields[0].To.Incarnation != "peer-2" {
		t.Fatalf("got yields %+v, want the new successor asked", yields)
	}
}

// Guards against a process that exceeds its shutdown time with its shards because it has found no
// successor.
func TestShardWithoutSuccessorIsGivenUpInTime(t *testing.T) {
	b := leaderOfCentro(t)
	b.control.config.HandOverTimeout = 4000
	b.advance(heartbeatMaxAge + 100)
	b.handle(ShutdownRequested{})
	b.advance(3900)
	if !b.isLeader("centro") {
		t.Errorf("got no leader before the hand-over timeout, want the shard kept")
	}
	b.advance(400)
	if b.isLeader("centro") || !b.control.Idle() {
		t.Errorf("got the shard kept after the hand-over timeout, want it given up")
	}
}
