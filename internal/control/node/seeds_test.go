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

// newStartingHarness returns a VM that has just started and has received nothing from the store.
func newStartingHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{t: t, now: 100_000, answers: make(map[vm.Incarnation]HeartbeatReply)}
	h.control = New(Config{
		Self: newVM("centro", "me-1"), DataCentres: []datacentre.ID{"centro", "norte"},
		Timeouts: leader.DefaultTimeouts(1000, 50, 1300, 2000), FarFactor: 1.5, Successors: 3, Now: h.now,
		Seeds: []string{"me-1:1", "gone-1:1", "peer-1:1"},
	})
	return h
}

func seedState() DeploymentState {
	return DeploymentState{
		Desired:     queue.NewState(4, []queue.Queue{{Name: "q", Service: "s", Stretch: 1.6, Allowance: 60, MaxAttempts: 2}}, nil, queue.Limits{}),
		VMs:         []shard.VM{newVM("centro", "peer-1"), newVM("norte", "n-1")},
		ReplicaSets: []shard.ReplicaSet{replicaSet("centro", 5, "peer-1", "n-1")},
		Endpoints:   []endpoint.Endpoint{newEndpoint("centro", "e1")}, EndpointsVersion: 7,
	}
}

func queriedSeeds(h *harness) []string {
	var all []string
	for _, a := range takeActions[QuerySeed](h) {
		all = append(all, a.Address)
	}
	return all
}

// Guards against a VM that starts while the store is unavailable and refuses callers until the
// store is back, although its peers have all the data that it needs.
func TestStartingVMGetsTheStateFromASeed(t *testing.T) {
	h := newStartingHarness(t)
	h.advance(firstSeedQueryDelay + 2*seedQueryInterval)
	if got, want := queriedSeeds(h), []string{"gone-1:1", "peer-1:1"}; !slices.Equal(got, want) {
		t.Fatalf("got seeds %v queried, want %v", got, want)
	}
	h.answers["peer-1"] = HeartbeatReply{Home: true, Token: 1280, From: "peer-1", Desired: 4}
	h.handle(SeedAnswered{State: seedState()})
	h.advance(300)
	if !h.control.Ready() {
		t.Errorf("got a VM that is not ready, want one that submits jobs to the leader of centro")
	}
	if _, version := h.control.Endpoints(); version != 7 {
		t.Errorf("got list of endpoints %d, want 7", version)
	}
	if got := queriedSeeds(h); len(got) != 0 {
		t.Errorf("got seeds %v queried after the answer, want none", got)
	}
}

// Guards against a seed with stale data that overwrites newer data from the store.
func TestStaleSeedOverwritesNothing(t *testing.T) {
	h := newHarness(t)
	h.handle(DesiredStateLoaded{State: queue.NewState(9, nil, nil, queue.Limits{})})
	h.handle(ReplicaSetsLoaded{ReplicaSets: []shard.ReplicaSet{replicaSet("centro", 8, "peer-1", "me-1")}})
	h.handle(EndpointsLoaded{Version: 11, Endpoints: []endpoint.Endpoint{newEndpoint("centro", "e1"), newEndpoint("centro", "e2"), newEndpoint("norte", "f1")}})
	h.handle(SeedAnswered{State: seedState()})
	if got, want := h.control.Desired().Version, queue.Version(9); got != want {
		t.Errorf("got desired state %d, want %d", got, want)
	}
	if set := h.control.monitors["centro"].ReplicaSet(); set.Revision != 8 {
		t.Errorf("got replica set %d, want 8", set.Revision)
	}
	if all, version := h.control.Endpoints(); version != 11 || len(all) != 3 {
		t.Errorf("got %d endpoints of version %d, want 3 of version 11", len(all), version)
	}
	if got, want := len(h.control.vms), 4; got != want {
		t.Errorf("got %d VMs, want %d", got, want)
	}
}

// Guards against a VM that queries seeds although the store answers.
func TestSeedsAreNotQueriedWhileTheStoreAnswers(t *testing.T) {
	h := newHarness(t)
	h.control.seeds = []string{"peer-1:1"}
	h.handle(ReplicaSetsLoaded{ReplicaSets: []shard.ReplicaSet{replicaSet("centro", 5, "peer-1", "me-1")}})
	h.advance(2000)
	if got := queriedSeeds(h); len(got) != 0 {
		t.Errorf("got seeds %v queried, want none", got)
	}
}

// Guards against an answer to a starting VM that leaves out data it needs.
func TestDeploymentStateIsComplete(t *testing.T) {
	h := newHarness(t)
	h.handle(ReplicaSetsLoaded{ReplicaSets: []shard.ReplicaSet{replicaSet("centro", 5, "peer-1", "me-1")}})
	reply := make(chan DeploymentState, 1)
	h.handle(PeerStateRequested{Reply: reply})
	got := <-reply
	if got.Desired == nil || len(got.VMs) != 4 || len(got.ReplicaSets) != 1 || len(got.Endpoints) != 3 || got.EndpointsVersion != 1 {
		t.Errorf("got %+v, want the desired state, 4 VMs, 1 replica set and 3 endpoints of version 1", got)
	}
}
