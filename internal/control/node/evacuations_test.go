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

func reportOf(s evacuation.State, age clock.Millis) *EvacuationReport {
	return &EvacuationReport{Version: s.Version, Since: s.Since, Age: age}
}

// newEvacuableHarness returns a VM of a deployment with evacuations that leads centro.
func newEvacuableHarness(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t)
	h.control.config.Timeouts.EvacuationNotice = testNotice
	h.storeLost = false
	h.handle(StoreReported{})
	h.handle(EvacuationsLoaded{State: evacuated(1), ReadAt: h.now})
	h.handle(ReplicaSetWritten{ReplicaSet: replicaSet("centro", 9, "me-1"), Written: true})
	h.handle(EndpointsLoaded{Version: 2, Endpoints: firstList(), ReadAt: h.now})
	h.answerHolds(nil)
	if !h.isLeader("centro") {
		t.Fatalf("got no leadership of centro, want one")
	}
	return h
}

// submitPart submits a part of a job to centro, and returns whether tasks start at once and whether the evacuations
// are read.
func (h *harness) submitPart() (starts, reads bool) {
	s := resubmittedJob()
	s.Adopt, s.Part = false, true
	h.handle(EndpointsLoaded{Version: 100, Endpoints: firstList(), ReadAt: h.now})
	h.handle(PeerSubmitted{Shard: "centro", Submission: s, Ended: make(chan job.Outcome, 1)})
	reads = countActions[ReadEvacuations](h) > 0
	return len(startedTasks(h)) > 0, reads
}

// Guards against a leader that the store does not reach and that goes on starting tasks in an evacuated data centre,
// or holds all starts although the other VMs know that it is not evacuated.
func TestLeaderLearnsOfEvacuationsFromPeers(t *testing.T) {
	const maxAge = testNotice - 500
	for _, tt := range []struct {
		name   string
		report *EvacuationReport
		// sentAgo is how long before its arrival the heartbeat was sent, or -1 if that is unknown.
		sentAgo clock.Millis
		starts  bool
		// reads says whether the leader asks for the evacuations.
		reads bool
	}{
		{"no news", nil, 0, false, true},
		{"clear", reportOf(evacuated(1), 300), 5, true, false},
		{"clear, message held up", reportOf(evacuated(1), 300), maxAge, false, true},
		{"clear, of unknown age", reportOf(evacuated(1), 300), -1, false, true},
		{"clear, known long ago", reportOf(evacuated(1), maxAge), 5, false, true},
		{"evacuated", reportOf(evacuated(2, "centro"), 300), 5, false, false},
		{"evacuated, of unknown age", reportOf(evacuated(2, "centro"), 300), -1, false, false},
		{"another one evacuated", reportOf(evacuated(2, "norte"), 300), 5, true, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := newEvacuableHarness(t)
			h.advance(maxAge + 100)
			h.actions = nil
			request := HeartbeatRequest{Cell: "centro", From: newVM("centro", "peer-1"), Evacuations: tt.report}
			if tt.sentAgo >= 0 {
				request.Sent = h.now - tt.sentAgo
			}
			h.handle(PeerHeartbeat{Request: request, Reply: make(chan HeartbeatReply, 1)})
			starts, reads := h.submitPart()
			if starts != tt.starts {
				t.Errorf("got starts %v, want %v", starts, tt.starts)
			}
			if reads != tt.reads {
				t.Errorf("got a request to read the evacuations %v, want %v", reads, tt.reads)
			}
		})
	}
}

// Guards against VMs that do not pass on what they know: by answers to heartbeats, by heartbeats that are sent at
// once, and to a VM that starts while the store is away.
func TestEvacuationsArePassedOn(t *testing.T) {
	h := newEvacuableHarness(t)
	h.handle(ReplicaSetsLoaded{ReplicaSets: []shard.ReplicaSet{replicaSet("norte", 10, "n-1")}})
	h.answers["n-1"] = HeartbeatReply{Home: true, Token: 10 << 16, From: "n-1"}
	h.advance(300)
	takeActions[SendHeartbeat](h)
	h.now++
	h.handle(EvacuationsLoaded{State: evacuated(7, "norte"), ReadAt: h.now - 20})
	sent := takeActions[SendHeartbeat](h)
	if len(sent) != 1 || sent[0].Request.Evacuations == nil || sent[0].Request.Evacuations.Version != 7 {
		t.Errorf("got heartbeats %+v, want one with the evacuation at once", sent)
	}
	h.now += 30
	reply := h.sendHeartbeat(newVM("centro", "peer-1"), "centro")
	if r := reply.Evacuations; r == nil || r.Version != 7 || r.Since["norte"] != 7 || r.Age != 50 {
		t.Errorf("got answer with %+v, want the evacuation, known 50 ms ago", r)
	}
	state := h.control.deploymentState()
	fresh := newHarness(t)
	fresh.control.config.Timeouts.EvacuationNotice = testNotice
	fresh.handle(SeedAnswered{State: state})
	if got, want := fresh.control.evacuations.Status("norte"), (evacuation.Status{Evacuated: true}); got != want {
		t.Errorf("got %+v at a VM that asked a seed, want %+v", got, want)
	}
}

// Guards against a change for deployments whose operator evacuates no data centres.
func TestDeploymentWithoutEvacuations(t *testing.T) {
	h := newHarness(t)
	h.handle(EvacuationsLoaded{State: evacuated(7, "centro"), ReadAt: h.now})
	h.handle(PeerHeartbeat{Request: HeartbeatRequest{Cell: "centro", Evacuations: reportOf(evacuated(8, "centro"), 5)}, Reply: make(chan HeartbeatReply, 1)})
	if h.control.isEvacuated("centro") || h.sendHeartbeat(newVM("centro", "peer-1"), "centro").Evacuations != nil {
		t.Errorf("got an evacuation, want none")
	}
}

// Guards against VMs of an evacuated data centre that all send their jobs to the same other one, or to one that is
// evacuated too; and against jobs that are refused while a leader is about to appear.
func TestDestinationsOfJobsFromAnEvacuatedDataCentre(t *testing.T) {
	load := func(id shard.ID, free, waiting int64) shard.Load {
		l := shard.Load{Cell: id, FreeCPU: free, TotalCPU: 1000}
		l.AddWaiting(0, waiting)
		return l
	}
	for _, tt := range []struct {
		name      string
		evacuated []datacentre.ID
		leaders   []shard.ID
		loads     []shard.Load
		// want is the share of jobs that each shard gets, in percent.
		want map[shard.ID]int
	}{
		{"none", nil, []shard.ID{"centro", "norte", "sur"}, []shard.Load{load("norte", 900, 0), load("sur", 300, 0)}, map[shard.ID]int{"centro": 100}},
		{"another one", []datacentre.ID{"sur"}, []shard.ID{"centro", "norte", "sur"}, nil, map[shard.ID]int{"centro": 100}},
		{"own, by free capacity", []datacentre.ID{"centro"}, []shard.ID{"centro", "norte", "sur"}, []shard.Load{load("norte", 900, 0), load("sur", 300, 0)}, map[shard.ID]int{"norte": 75, "sur": 25}},
		{"own, one of the others full", []datacentre.ID{"centro"}, []shard.ID{"centro", "norte", "sur"}, []shard.Load{load("norte", 900, 1200), load("sur", 300, 0)}, map[shard.ID]int{"sur": 100}},
		{"own, both full", []datacentre.ID{"centro"}, []shard.ID{"centro", "norte", "sur"}, []shard.Load{load("norte", 0, 200), load("sur", 0, 10)}, map[shard.ID]int{"norte": 50, "sur": 50}},
		{"two", []datacentre.ID{"centro", "norte"}, []shard.ID{"centro", "norte", "sur"}, []shard.Load{load("norte", 900, 0)}, map[shard.ID]int{"sur": 100}},
		{"own, no other leader yet", []datacentre.ID{"centro"}, []shard.ID{"centro"}, nil, map[shard.ID]int{"": 100}},
		{"all", []datacentre.ID{"centro", "norte", "sur"}, []shard.ID{"norte", "sur"}, nil, map[shard.ID]int{"norte": 100}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := &harness{t: t, now: 100_000, answers: make(map[vm.Incarnation]HeartbeatReply)}
			c := Config{Self: newVM("centro", "me-1"), DataCentres: []datacentre.ID{"centro", "norte", "sur"}, Now: h.now}
			c.Timeouts.EvacuationNotice = testNotice
			h.control = New(c)
			for i, id := range tt.leaders {
				leader := "l" + string(id)
				h.answers[vm.Incarnation(leader)] = HeartbeatReply{Home: true, Token: 10 << 16, From: vm.Incarnation(leader), Load: shard.Load{Cell: id, TotalCPU: 1000}}
				h.handle(ReplicaSetsLoaded{ReplicaSets: []shard.ReplicaSet{replicaSet(id, int64(10+i), leader)}})
			}
			h.advance(300)
			h.handle(EvacuationsLoaded{State: evacuated(3, tt.evacuated...), ReadAt: h.now})
			for _, l := range tt.loads {
				h.control.recordLoad(l)
			}
			got, jobs := make(map[shard.ID]int), 2000
			for i := range jobs {
				id, _ := h.control.Destination(job.ID(fmt.Sprintf("%016x", i*7919)), h.now)
				got[id]++
			}
			const tolerance = 5
			for _, id := range []shard.ID{"", "centro", "norte", "sur"} {
				if share := got[id] * 100 / jobs; share < tt.want[id]-tolerance || share > tt.want[id]+tolerance {
					t.Errorf("%q: got %d %% of the jobs, want %d %%", id, share, tt.want[id])
				}
			}
		})
	}
}
