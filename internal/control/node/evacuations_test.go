package node

import (
	"fmt"
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/world/evacuation"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

const testNotice = 5 * clock.Second

func evacuated(version evacuation.Revision, dcs ...datacentre.ID) evacuation.State {
	s := evacuation.State{Version: version, Since: make(map[datacentre.ID]evacuation.Revision)}
	for _, dc := range dcs {
		s.Since[dc] = version
	}
	return s
}

// Guards against a leader that the store does not reach and that goes on starting tasks in an evacuated data centre,
// or holds all starts although other VMs know that it is not evacuated; against VMs that do not pass on what they
// know, at once, in answers and to those that start; and against a change for deployments without evacuations.
func TestLeaderLearnsOfEvacuationsFromPeers(t *testing.T) {
	const maxAge = testNotice - 500
	for _, tt := range []struct {
		state evacuation.State
		// age is that of the news, which arrives sentAgo after it was sent, or -1 if that is unknown.
		age, sentAgo  clock.Millis
		starts, reads bool
	}{
		{evacuated(1), 300, 5, true, false},
		{evacuated(1), 300, maxAge, false, true},
		{evacuated(1), 300, -1, false, true},
		{evacuated(1), maxAge, 5, false, true},
		{evacuated(2, "centro"), 300, 5, false, false},
		{evacuated(2, "centro"), 300, -1, false, false},
		{evacuated(2, "norte"), 300, 5, true, false},
	} {
		h := newHarness(t)
		h.handle(EvacuationsLoaded{State: evacuated(9, "centro")})
		if h.control.isEvacuated("centro") || h.sendHeartbeat(newVM("centro", "peer-1"), "centro").Evacuations != nil {
			t.Errorf("got an evacuation in a deployment without any, want none")
		}
		h.control.config.Timeouts.EvacuationNotice, h.storeLost = testNotice, false
		h.handle(StoreReported{})
		h.handle(EvacuationsLoaded{State: evacuated(1), ReadAt: h.now})
		h.handle(ReplicaSetWritten{ReplicaSet: replicaSet("centro", 9, "me-1"), Written: true})
		h.handle(EndpointsLoaded{Version: 2, Endpoints: firstList(), ReadAt: h.now})
		h.answerHolds(nil)
		h.handle(ReplicaSetsLoaded{ReplicaSets: []shard.ReplicaSet{replicaSet("norte", 10, "n-1")}})
		h.answers["n-1"] = HeartbeatReply{Home: true, Token: 10 << 16, From: "n-1"}
		h.advance(maxAge + 100)
		h.actions, h.now = nil, h.now+1
		request := HeartbeatRequest{Cell: "centro", From: newVM("centro", "peer-1"), Evacuations: &EvacuationReport{Version: tt.state.Version, Since: tt.state.Since, Age: tt.age}}
		if tt.sentAgo >= 0 {
			request.Sent = h.now - tt.sentAgo
		}
		reply := make(chan HeartbeatReply, 1)
		h.handle(PeerHeartbeat{Request: request, Reply: reply})
		told, seed := (<-reply).Evacuations, h.control.deploymentState().Evacuations
		if beats, news := len(takeActions[SendHeartbeat](h)), len(tt.state.Since); beats != news || told.Version != tt.state.Version || len(told.Since) != news || seed.Version != tt.state.Version {
			t.Errorf("%+v: got %d heartbeats at once, answer %+v, state for a seed %+v, want %d, and the evacuations", tt, beats, told, seed, news)
		}
		s := resubmittedJob()
		s.Adopt, s.Part = false, true
		h.handle(EndpointsLoaded{Version: 100, Endpoints: firstList(), ReadAt: h.now})
		h.handle(PeerSubmitted{Shard: "centro", Submission: s, Ended: make(chan job.Outcome, 1)})
		reads := countActions[ReadEvacuations](h) > 0
		if starts := len(startedTasks(h)) > 0; starts != tt.starts || reads != tt.reads {
			t.Errorf("%+v: got starts %v, reads %v", tt, starts, reads)
		}
	}
}

// Guards against VMs of an evacuated data centre that all send their jobs to the same other one, or to one that is
// evacuated too; and against jobs that are refused while a leader is about to appear.
func TestDestinationsOfJobsFromAnEvacuatedDataCentre(t *testing.T) {
	for _, tt := range []struct {
		evacuated  []datacentre.ID
		norte, sur int64
		// want are the jobs in a thousand that each shard gets.
		want map[shard.ID]int
	}{
		{[]datacentre.ID{"sur"}, 900, 300, map[shard.ID]int{"centro": 1000}},
		{[]datacentre.ID{"centro"}, 900, 300, map[shard.ID]int{"norte": 750, "sur": 250}},
		{[]datacentre.ID{"centro", "norte"}, 900, 0, map[shard.ID]int{"sur": 1000}},
		// oeste has no leader yet.
		{[]datacentre.ID{"centro", "norte", "sur"}, 0, 0, map[shard.ID]int{"": 1000}},
		{[]datacentre.ID{"centro", "norte", "sur", "oeste"}, 0, 0, map[shard.ID]int{"centro": 1000}},
	} {
		h := newHarness(t)
		c := Config{Self: newVM("centro", "me-1"), DataCentres: []datacentre.ID{"centro", "norte", "sur", "oeste"}, Now: h.now}
		c.Timeouts.EvacuationNotice = testNotice
		h.control = New(c)
		for id, cpu := range map[shard.ID]int64{"centro": 500, "norte": tt.norte, "sur": tt.sur} {
			h.answers[vm.Incarnation(id)] = HeartbeatReply{Home: true, Token: 10 << 16, From: vm.Incarnation(id), Load: shard.Load{Cell: id, FreeCPU: cpu, TotalCPU: 1000}}
			h.handle(ReplicaSetsLoaded{ReplicaSets: []shard.ReplicaSet{replicaSet(id, 10, string(id))}})
		}
		h.advance(300)
		h.handle(EvacuationsLoaded{State: evacuated(3, tt.evacuated...), ReadAt: h.now})
		got := make(map[shard.ID]int)
		for k := range 1000 {
			id, _ := h.control.Destination(job.ID(fmt.Sprintf("%016x", k*7919)), h.now)
			got[id]++
		}
		for id, n := range tt.want {
			if got[id] < n-50 || got[id] > n+50 {
				t.Errorf("%v evacuated: got %v jobs by shard, want about %v", tt.evacuated, got, tt.want)
			}
		}
	}
}
