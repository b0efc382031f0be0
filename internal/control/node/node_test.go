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

// bench drives the control state of one VM, "me" in data centre centro, by hand.
type bench struct {
	t       *testing.T
	control *Control
	now     clock.Millis
	// reachable says whether probes of other data centres succeed.
	reachable bool
	// answers tells how members answer beats; absent ones are silent.
	answers map[vm.Incarnation]HeartbeatReply
	seen    []Action
}

func member(dc datacentre.ID, name string) shard.VM {
	return shard.VM{Member: shard.Member{Incarnation: vm.Incarnation(name), Address: name + ":1"}, DataCentre: dc, CPU: 400}
}

func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{t: t, now: 100_000, answers: make(map[vm.Incarnation]HeartbeatReply)}
	b.control = New(Config{
		Self: member("centro", "me-1"), DataCentres: []datacentre.ID{"centro", "norte"},
		Timeouts: leader.DefaultTimeouts(1000, 50, 1300), FarFactor: 1.5, Successors: 3, Now: b.now,
	})
	b.do(VMsLoaded{VMs: []shard.VM{member("centro", "me-1"), member("centro", "peer-1"), member("norte", "n-1"), member("norte", "m-1")}})
	b.do(DesiredStateLoaded{State: queue.NewState(1, []queue.Queue{{Name: "q", Service: "s", Stretch: 1.6, Allowance: 60, MaxAttempts: 2}}, nil, queue.Limits{})})
	b.do(EndpointsLoaded{Version: 1, Endpoints: []endpoint.Endpoint{at("centro", "e1"), at("centro", "e2"), at("norte", "f1")}})
	return b
}

func at(dc datacentre.ID, id datacentre.EndpointID) endpoint.Endpoint {
	return endpoint.Endpoint{ID: id, DataCentre: dc, Service: "s", Capacity: job.Resources{CPU: 1000, Memory: 100}}
}

func lineup(c shard.ID, revision int64, members ...string) shard.ReplicaSet {
	l := shard.ReplicaSet{Cell: c, Revision: revision}
	for _, m := range members {
		l.Members = append(l.Members, shard.Member{Incarnation: vm.Incarnation(m), Address: m + ":1"})
	}
	return l
}

// do hands over an event and answers what comes back at once.
func (b *bench) do(e Event) []Action {
	actions := b.control.Handle(b.now, e)
	b.seen = append(b.seen, actions...)
	for _, a := range actions {
		switch a := a.(type) {
		case Probe:
			b.do(ProbeEnded{Shard: a.Shard, Reachable: b.reachable})
		case SendHeartbeat:
			reply, ok := b.answers[a.To.Incarnation]
			b.do(HeartbeatAnswered{Shard: a.Request.Cell, Reply: reply, Answer: failover.Answer{
				From: a.To.Incarnation, OK: ok, Leader: reply.Home, Token: reply.Token, Draining: reply.Draining, LeaderClock: b.now,
			}})
		default:
		}
	}
	return actions
}

func (b *bench) wait(span clock.Millis) {
	for end := b.now + span; b.now < end; b.now += 10 {
		b.do(Tick{})
	}
}

// hear lets a VM send a beat to this one.
func (b *bench) hear(v shard.VM, c shard.ID) HeartbeatReply {
	reply := make(chan HeartbeatReply, 1)
	b.do(PeerHeartbeat{Request: HeartbeatRequest{Cell: c, From: v}, Reply: reply})
	return <-reply
}

func (b *bench) isHome(c shard.ID) bool { return b.control.leaders[c] != nil }

// find returns the actions of a type since the last call.
func find[T Action](b *bench) []T {
	var found []T
	for _, a := range b.seen {
		if t, ok := a.(T); ok {
			found = append(found, t)
		}
	}
	b.seen = nil
	return found
}

// Guards against a cell that nobody claims, against one that is claimed for the first time
// before stronger VMs have started, and against claims that do not name the VMs that live as
// successors.
func TestClaimOfACellWithoutHome(t *testing.T) {
	b := newBench(t)
	b.wait(initialClaimDelay)
	if writes := find[WriteReplicaSet](b); len(writes) != 0 {
		t.Fatalf("got writes %+v while VMs start, want none", writes)
	}
	b.hear(member("centro", "peer-1"), "centro")
	b.wait(200)
	writes := find[WriteReplicaSet](b)
	if len(writes) != 1 || writes[0].ReplicaSet.Cell != "centro" || writes[0].Expected != 0 {
		t.Fatalf("got writes %+v, want one of centro under no revision", writes)
	}
	written := writes[0].ReplicaSet
	written.Revision = 9
	b.do(ReplicaSetWritten{ReplicaSet: written, Written: true})
	if !b.isHome("centro") {
		t.Errorf("got no home of centro after its lineup was written, want one")
	}
	if got, want := b.control.leaders["centro"].leader.Token(), shard.Token(9<<8); got != want {
		t.Errorf("got token %d, want %d", got, want)
	}
}

// Guards against a VM outside a partitioned data centre that takes its cell: while it cannot
// reach the endpoints, and after the heal, when the home inside answers again.
func TestPartitionedCellKeepsItsHome(t *testing.T) {
	b := newBench(t)
	b.do(ReplicaSetsLoaded{ReplicaSets: []shard.ReplicaSet{lineup("norte", 5, "n-1", "m-1", "me-1")}})
	b.wait(3000)
	if b.isHome("norte") || len(find[WriteReplicaSet](b)) > 0 && b.isHome("norte") {
		t.Fatalf("got home of norte during the partition, want none")
	}
	b.reachable = true
	b.wait(300)
	b.answers["n-1"] = HeartbeatReply{Home: true, Token: 1280, From: "n-1"}
	b.wait(2000)
	if b.isHome("norte") {
		t.Errorf("got home of norte after the heal although its home answers, want none")
	}
}

// Guards against a data centre that stays without a home when all its VMs are lost.
func TestLostDataCentreIsTakenFromOutside(t *testing.T) {
	b := newBench(t)
	b.reachable = true
	b.do(ReplicaSetsLoaded{ReplicaSets: []shard.ReplicaSet{lineup("norte", 5, "n-1", "m-1", "me-1")}})
	b.wait(4000)
	if !b.isHome("norte") {
		t.Fatalf("got no home of norte, want this VM")
	}
	find[SendYield](b)
	v := member("norte", "n-2")
	b.do(VMsLoaded{VMs: []shard.VM{member("centro", "me-1"), v}})
	for range 30 {
		b.hear(v, "norte")
		b.do(ReplicaSetWritten{ReplicaSet: lineup("norte", 7, "me-1", "n-2"), Written: true})
		b.wait(100)
	}
	yields := find[SendYield](b)
	if len(yields) == 0 || yields[0].To.Incarnation != "n-2" || len(yields[0].Endpoints) == 0 {
		t.Errorf("got %+v, want the cell handed back to the VM inside, with its endpoints", yields)
	}
}

// Guards against a small VM that carries a cell although a much stronger one stands by, and
// against cells that move between VMs of nearly the same size.
func TestCellMovesToAMuchStrongerVM(t *testing.T) {
	for _, tt := range []struct {
		name  string
		cpu   int
		moves bool
	}{{"twice as strong", 800, true}, {"a little stronger", 500, false}} {
		t.Run(tt.name, func(t *testing.T) {
			b := homeOfCentro(t)
			v := member("centro", "peer-1")
			v.CPU = tt.cpu
			b.do(VMsLoaded{VMs: []shard.VM{member("centro", "me-1"), v, member("norte", "n-1")}})
			for range 30 {
				b.hear(v, "centro")
				b.hear(member("norte", "n-1"), "centro")
				b.wait(100)
			}
			yields := find[SendYield](b)
			if moved := len(yields) > 0 && yields[0].To.Incarnation == "peer-1"; moved != tt.moves {
				t.Errorf("got yields %+v, want one to the VM inside: %v", yields, tt.moves)
			}
		})
	}
}

// Guards against tasks that start again although an earlier home may run them at an endpoint
// whose entry has lapsed.
func TestVanishedEndpointsAreKeptForAWhile(t *testing.T) {
	b := newBench(t)
	b.do(EndpointsLoaded{Version: 2, Endpoints: []endpoint.Endpoint{at("centro", "e1")}})
	known := func() bool {
		all, _ := b.control.Endpoints()
		return slices.ContainsFunc(all, func(e endpoint.Endpoint) bool { return e.ID == "e2" })
	}
	b.wait(2000)
	if !known() {
		t.Errorf("after 2 s: got the endpoint forgotten, want it kept")
	}
	b.wait(1000)
	if known() {
		t.Errorf("after 3 s: got the endpoint kept, want it forgotten")
	}
	b.do(EndpointsLoaded{Version: 1, Endpoints: nil})
	if all, version := b.control.Endpoints(); len(all) != 1 || version != 2 {
		t.Errorf("got %d endpoints of version %d after an older list, want 1 of version 2", len(all), version)
	}
}

func homeOfCentro(t *testing.T) *bench {
	t.Helper()
	b := newBench(t)
	b.do(ReplicaSetsLoaded{ReplicaSets: []shard.ReplicaSet{lineup("centro", 5, "me-1", "peer-1", "n-1")}})
	b.wait(50)
	if !b.isHome("centro") {
		t.Fatalf("got no home of centro, want this VM")
	}
	for _, v := range []shard.VM{member("centro", "peer-1"), member("norte", "n-1")} {
		b.hear(v, "centro")
	}
	b.seen = nil
	return b
}

// Guards against a cell without a home after a shutdown because the first successor shuts
// down as well.
func TestShutdownAsksOneSuccessorAfterTheOther(t *testing.T) {
	b := homeOfCentro(t)
	b.do(ShutdownRequested{})
	for _, want := range []vm.Incarnation{"peer-1", "n-1"} {
		yields := find[SendYield](b)
		if len(yields) != 1 || yields[0].To.Incarnation != want {
			t.Fatalf("got %+v, want %s asked", yields, want)
		}
		b.do(YieldEnded{Shard: "centro", Accepted: want == "n-1"})
	}
	if b.isHome("centro") || !b.control.Idle() || b.control.Ready() {
		t.Errorf("got home %v, idle %v, ready %v, want the cell gone and nothing left", b.isHome("centro"), b.control.Idle(), b.control.Ready())
	}
}

// Guards against VMs that shut down and are still counted on as successors.
func TestLeavingVMsAreNoSuccessors(t *testing.T) {
	b := homeOfCentro(t)
	reply := make(chan HeartbeatReply, 1)
	b.do(PeerHeartbeat{Request: HeartbeatRequest{Cell: "centro", From: member("centro", "peer-1"), Leaving: true}, Reply: reply})
	b.do(ShutdownRequested{})
	if yields := find[SendYield](b); len(yields) != 1 || yields[0].To.Incarnation != "n-1" {
		t.Errorf("got %+v, want the VM that stays", yields)
	}
}

// Guards against a home that goes on after another VM has its cell, and against jobs that hear
// nothing of it.
func TestLaterLineupEndsAHome(t *testing.T) {
	b := homeOfCentro(t)
	ended := make(chan job.Outcome, 1)
	b.do(PeerSubmitted{Shard: "centro", Submission: job.Submission{
		Key: job.Key{Entry: "peer-1", Seq: 1}, Limit: 3000,
		Job: job.Job{ID: "0000000000000001", Queue: "q", Steps: []job.Step{{Tasks: 1, Demand: job.Resources{CPU: 500}, Estimate: 50}}},
	}, Ended: ended})
	b.do(ReplicaSetsLoaded{ReplicaSets: []shard.ReplicaSet{lineup("centro", 6, "peer-1", "me-1")}})
	if b.isHome("centro") {
		t.Fatalf("got home of centro under an older lineup, want none")
	}
	select {
	case o := <-ended:
		if _, ok := o.(job.Moved); !ok {
			t.Errorf("got %T, want the job moved", o)
		}
	default:
		t.Errorf("got no answer for the job, want one")
	}
	b.do(ReplicaSetsLoaded{ReplicaSets: []shard.ReplicaSet{lineup("centro", 5, "me-1")}})
	b.wait(50)
	if b.isHome("centro") {
		t.Errorf("got home of centro by an older lineup, want none")
	}
}

// Guards against a desired state that goes back, and against VMs behind that nobody tells.
func TestDesiredStateOnlyRises(t *testing.T) {
	b := homeOfCentro(t)
	for _, v := range []queue.Version{3, 2, 5} {
		b.do(DesiredStateLoaded{State: queue.NewState(v, nil, nil, queue.Limits{})})
		if got, want := b.control.Desired().Version, max(v, 3); got != want {
			t.Errorf("after version %d: got %d in force, want %d", v, got, want)
		}
	}
	reply := make(chan HeartbeatReply, 1)
	b.seen = nil
	b.wait(300)
	b.do(PeerHeartbeat{Request: HeartbeatRequest{Cell: "centro", From: member("centro", "peer-1"), Desired: 9}, Reply: reply})
	if fetches := find[FetchDesiredState](b); len(fetches) != 1 || fetches[0].From.Incarnation != "peer-1" {
		t.Errorf("got %+v, want the later state fetched from the VM that has it", fetches)
	}
}

// Guards against two VMs that use the same fencing token, whatever take-overs there were.
func TestTokensAreNeverShared(t *testing.T) {
	seen := make(map[shard.Token]string)
	for revision := int64(1); revision < 50; revision++ {
		l := lineup("centro", revision, "a-1", "b-1", "c-1", "d-1")
		for rank, m := range l.Members {
			holder := fmt.Sprint(revision, m.Incarnation)
			if other, ok := seen[l.Token(rank)]; ok {
				t.Errorf("got token %d for %s and %s, want one of their own", l.Token(rank), holder, other)
			}
			seen[l.Token(rank)] = holder
			if rank > 0 && l.Token(rank) <= l.Token(rank-1) {
				t.Errorf("got a successor with a lower token than its predecessor, want a higher one")
			}
		}
	}
	before, after := lineup("centro", 7, "a-1"), lineup("centro", 8, "a-1")
	if before.Token(255) >= after.Token(0) {
		t.Errorf("got a token of an earlier lineup above a later one, want it below")
	}
}

// Guards against a cell without a home in a partition: the home shuts down, all members of its
// lineup have been replaced, and no other lineup can be written until the partition heals.
func TestCellIsKeptUntilThereIsASuccessor(t *testing.T) {
	b := homeOfCentro(t)
	b.control.config.HandOverTimeout = 4000
	newcomer := member("centro", "peer-2")
	b.do(VMsLoaded{VMs: []shard.VM{member("centro", "me-1"), newcomer}})
	b.wait(heartbeatMaxAge + 100)
	b.hear(newcomer, "centro")
	find[WriteReplicaSet](b)
	b.do(ShutdownRequested{})
	for range 10 {
		b.hear(newcomer, "centro")
		b.wait(100)
	}
	if yields := find[SendYield](b); len(yields) != 0 || !b.isHome("centro") {
		t.Fatalf("got yields %+v and home %v while there is no successor, want the cell kept", yields, b.isHome("centro"))
	}
	b.do(ReplicaSetWritten{ReplicaSet: lineup("centro", 5), Written: false})
	b.wait(500)
	b.hear(newcomer, "centro")
	b.wait(200)
	writes := find[WriteReplicaSet](b)
	if len(writes) == 0 || len(writes[0].ReplicaSet.Members) < 2 || writes[0].ReplicaSet.Members[1].Incarnation != "peer-2" {
		t.Fatalf("got writes %+v, want a lineup with the VM that lives", writes)
	}
	b.do(ReplicaSetWritten{ReplicaSet: lineup("centro", 9, "me-1", "peer-2"), Written: true})
	b.hear(newcomer, "centro")
	b.wait(200)
	if yields := find[SendYield](b); len(yields) == 0 || yields[0].To.Incarnation != "peer-2" {
		t.Fatalf("got yields %+v, want the new successor asked", yields)
	}
}

// Guards against a process that is killed with its cells because it has found no successor.
func TestCellWithoutSuccessorIsGivenUpInTime(t *testing.T) {
	b := homeOfCentro(t)
	b.control.config.HandOverTimeout = 4000
	b.wait(heartbeatMaxAge + 100)
	b.do(ShutdownRequested{})
	b.wait(3900)
	if !b.isHome("centro") {
		t.Errorf("got no home before the time is over, want the cell kept")
	}
	b.wait(400)
	if b.isHome("centro") || !b.control.Idle() {
		t.Errorf("got the cell kept after the time is over, want it given up")
	}
}
