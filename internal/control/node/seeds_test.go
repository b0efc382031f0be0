package node

import (
	"slices"
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/control/leader"
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// newcomer is a VM that has just started and has heard nothing of the store.
func newcomer(t *testing.T) *bench {
	t.Helper()
	b := &bench{t: t, now: 100_000, answers: make(map[vm.Incarnation]HeartbeatReply)}
	b.control = New(Config{
		Self: member("centro", "me-1"), DataCentres: []datacentre.ID{"centro", "norte"},
		Timeouts: leader.DefaultTimeouts(1000, 50, 1300), FarFactor: 1.5, Successors: 3, Now: b.now,
		Seeds: []string{"me-1:1", "gone-1:1", "peer-1:1"},
	})
	return b
}

func known() DeploymentState {
	return DeploymentState{
		Desired:     queue.NewState(4, []queue.Queue{{Name: "q", Service: "s", Stretch: 1.6, Allowance: 60, MaxAttempts: 2}}, nil, queue.Limits{}),
		VMs:         []shard.VM{member("centro", "peer-1"), member("norte", "n-1")},
		ReplicaSets: []shard.ReplicaSet{lineup("centro", 5, "peer-1", "n-1")},
		Endpoints:   []endpoint.Endpoint{at("centro", "e1")}, EndpointsVersion: 7,
	}
}

func asked(b *bench) []string {
	var all []string
	for _, a := range find[QuerySeed](b) {
		all = append(all, a.Address)
	}
	return all
}

// Guards against a VM that starts while the store is away and refuses callers until the store is
// back, although its peers know all that it needs.
func TestNewcomerLearnsFromASeed(t *testing.T) {
	b := newcomer(t)
	b.wait(firstSeedQueryDelay + 2*seedQueryInterval)
	if got, want := asked(b), []string{"gone-1:1", "peer-1:1"}; !slices.Equal(got, want) {
		t.Fatalf("got seeds %v asked, want %v", got, want)
	}
	b.answers["peer-1"] = HeartbeatReply{Home: true, Token: 1280, From: "peer-1", Desired: 4}
	b.do(SeedAnswered{State: known()})
	b.wait(300)
	if !b.control.Ready() {
		t.Errorf("got a VM that is not ready, want one that sends jobs to the home of centro")
	}
	if _, version := b.control.Endpoints(); version != 7 {
		t.Errorf("got list of endpoints %d, want 7", version)
	}
	if got := asked(b); len(got) != 0 {
		t.Errorf("got seeds %v asked after the answer, want none", got)
	}
}

// Guards against a seed whose knowledge is old and sets back what the store has told.
func TestOldSeedSetsNothingBack(t *testing.T) {
	b := newBench(t)
	b.do(DesiredStateLoaded{State: queue.NewState(9, nil, nil, queue.Limits{})})
	b.do(ReplicaSetsLoaded{ReplicaSets: []shard.ReplicaSet{lineup("centro", 8, "peer-1", "me-1")}})
	b.do(EndpointsLoaded{Version: 11, Endpoints: []endpoint.Endpoint{at("centro", "e1"), at("centro", "e2"), at("norte", "f1")}})
	b.do(SeedAnswered{State: known()})
	if got, want := b.control.Desired().Version, queue.Version(9); got != want {
		t.Errorf("got desired state %d, want %d", got, want)
	}
	if l := b.control.monitors["centro"].ReplicaSet(); l.Revision != 8 {
		t.Errorf("got lineup %d, want 8", l.Revision)
	}
	if all, version := b.control.Endpoints(); version != 11 || len(all) != 3 {
		t.Errorf("got %d endpoints of version %d, want 3 of version 11", len(all), version)
	}
	if got, want := len(b.control.vms), 4; got != want {
		t.Errorf("got %d VMs, want %d", got, want)
	}
}

// Guards against a VM that asks seeds although the store answers.
func TestSeedsAreLeftAloneWhileTheStoreAnswers(t *testing.T) {
	b := newBench(t)
	b.control.seeds = []string{"peer-1:1"}
	b.do(ReplicaSetsLoaded{ReplicaSets: []shard.ReplicaSet{lineup("centro", 5, "peer-1", "me-1")}})
	b.wait(2000)
	if got := asked(b); len(got) != 0 {
		t.Errorf("got seeds %v asked, want none", got)
	}
}

// Guards against an answer to a newcomer that leaves out what it needs.
func TestIntroductionIsWhole(t *testing.T) {
	b := newBench(t)
	b.do(ReplicaSetsLoaded{ReplicaSets: []shard.ReplicaSet{lineup("centro", 5, "peer-1", "me-1")}})
	reply := make(chan DeploymentState, 1)
	b.do(PeerStateRequested{Reply: reply})
	i := <-reply
	if i.Desired == nil || len(i.VMs) != 4 || len(i.ReplicaSets) != 1 || len(i.Endpoints) != 3 || i.EndpointsVersion != 1 {
		t.Errorf("got %+v, want the desired state, 4 VMs, 1 lineup and 3 endpoints of version 1", i)
	}
}
