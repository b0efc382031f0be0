package node

import (
	"slices"
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/control/leader"
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// answerHolds answers the holds since the last call with the given active attempts, and returns the
// starts since then.
func (h *harness) answerHolds(active map[datacentre.EndpointID][]endpoint.ActiveAttempt) []leader.Start {
	var starts []leader.Start
	for _, a := range takeActions[LeaderAction](h) {
		switch request := a.Action.(type) {
		case leader.Hold:
			h.handle(a.Result(leader.HoldEnded{
				Endpoint: request.Endpoint.ID, Kind: request.Kind, Sequence: request.Sequence,
				Report: &endpoint.StatusReport{Incarnation: 1, Clock: 500, Active: active[request.Endpoint.ID]},
			}))
		case leader.Start:
			starts = append(starts, request)
		default:
		}
	}
	return starts
}

func resubmittedJob() job.Submission {
	return job.Submission{
		Key: job.Key{Entry: "peer-2", Seq: 1}, Limit: 5 * clock.Second, Adopt: true, EarlierListAge: 400,
		Job: job.Job{ID: "0000000000000001", Queue: "q", Steps: []job.Step{{Tasks: 1, Demand: job.Resources{CPU: 500}, Estimate: 760}}},
	}
}

// takeOver makes this VM the leader of centro after the leader has failed, 20 s after the list of
// endpoints was read.
func takeOver(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t)
	h.answers["peer-1"] = HeartbeatReply{Home: true, Token: 5 << 8, From: "peer-1"}
	h.handle(ReplicaSetsLoaded{ReplicaSets: []shard.ReplicaSet{replicaSet("centro", 5, "peer-1", "me-1")}})
	h.advance(20 * clock.Second)
	delete(h.answers, "peer-1")
	for range 200 {
		if h.isLeader("centro") {
			return h
		}
		h.advance(10)
	}
	t.Fatalf("got no leader of centro, want this VM")
	return nil
}

// Guards against a task that runs twice at the same time after a failover: the next leader has read
// its list of endpoints long ago, and the earlier one has started the task at an endpoint that was
// added since.
func TestOldListOfEndpointsProvesNothing(t *testing.T) {
	h := takeOver(t)
	if reads := countActions[ReadEndpoints](h); reads != 1 {
		t.Errorf("got %d requests to read the list of endpoints after the takeover, want 1", reads)
	}
	h.answerHolds(nil)
	h.handle(PeerSubmitted{Shard: "centro", Submission: resubmittedJob(), Ended: make(chan job.Outcome, 1)})
	for range 10 {
		h.advance(20)
		if starts := h.answerHolds(nil); len(starts) != 0 {
			t.Fatalf("got %d starts with a list that is 20 s old, want none", len(starts))
		}
	}
	added := append(firstList(), newEndpoint("centro", "e3"))
	h.handle(EndpointsLoaded{Version: 2, Endpoints: added, ReadAt: h.now})
	running := map[datacentre.EndpointID][]endpoint.ActiveAttempt{"e3": {{Task: "0000000000000001.0.0.0", Attempt: 1}}}
	for range 200 {
		h.advance(20)
		if starts := h.answerHolds(running); len(starts) != 0 {
			t.Fatalf("got %d starts of a task that runs at an added endpoint, want none", len(starts))
		}
	}
}

// Guards against jobs that wait for the leases of an earlier leader after a failover although all
// endpoints of a list that has just been read have answered, and against the opposite: a start while
// endpoints may have left the list unseen.
func TestTasksStartOnceTheListIsRead(t *testing.T) {
	for _, tt := range []struct {
		name   string
		read   EndpointsLoaded
		age    clock.Millis
		starts int
	}{
		{"read after the takeover", EndpointsLoaded{}, 0, 1},
		{"read before the takeover", EndpointsLoaded{}, 2 * clock.Second, 0},
		{"endpoints may have left", EndpointsLoaded{Gap: true}, 0, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := takeOver(t)
			h.advance(20)
			tt.read.Version, tt.read.ReadAt = 2, h.now-tt.age
			tt.read.Endpoints = firstList()
			h.handle(tt.read)
			h.answerHolds(nil)
			if starts := h.startsOfResubmittedJob(""); starts != tt.starts {
				t.Errorf("got %d starts within 100 ms, want %d", starts, tt.starts)
			}
		})
	}
}

// startsOfResubmittedJob submits a job again. earlier is the only leader that had it, or empty if there
// were several.
func (h *harness) startsOfResubmittedJob(earlier vm.Incarnation) int {
	s := resubmittedJob()
	s.Earlier = earlier
	return h.startsOf(s)
}

// startsOf submits a job and counts its starts within 100 ms. All endpoints answer.
func (h *harness) startsOf(s job.Submission) int {
	h.handle(PeerSubmitted{Shard: "centro", Submission: s, Ended: make(chan job.Outcome, 1)})
	starts := 0
	for range 5 {
		h.advance(20)
		starts += len(h.answerHolds(nil))
	}
	return starts
}

// Guards against a list that is taken for complete because it was handed over, although another VM
// than the sender may have started the task: before the hand-over, or since, during a partition.
func TestHandedOverListCountsForJobsOfTheSender(t *testing.T) {
	for _, tt := range []struct {
		name    string
		earlier vm.Incarnation
		after   clock.Millis
		starts  int
	}{
		{"job of the sender", "peer-1", 20, 1},
		{"job of another leader", "peer-9", 20, 0},
		{"job of several leaders", "", 20, 0},
		{"job of the sender, much later", "peer-1", 2 * clock.Second, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			h.handle(PeerYielded{
				ReplicaSet: replicaSet("centro", 5, "peer-1", "me-1"), From: "peer-1", Endpoints: firstList(), EndpointsVersion: 1, Done: make(chan bool, 1),
			})
			for range tt.after / 10 {
				h.answerHolds(nil)
				h.advance(10)
			}
			h.handle(EndpointsLoaded{Version: 2, ReadAt: h.now, Endpoints: firstList()})
			if starts := h.startsOfResubmittedJob(tt.earlier); starts != tt.starts {
				t.Errorf("got %d starts within 100 ms, want %d", starts, tt.starts)
			}
		})
	}
}

// Guards against a list that is taken for complete although a hand-over shows endpoints that this VM
// has not read of, or a version whose changes it has not followed: others may have come and gone.
func TestHandOverMayRevealGaps(t *testing.T) {
	for _, tt := range []struct {
		name      string
		endpoints []endpoint.Endpoint
		version   int64
		starts    int
	}{
		{"list of this VM", firstList(), 2, 1},
		{"unknown endpoint", append(firstList(), newEndpoint("centro", "e3")), 2, 0},
		{"later version", firstList(), 3, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			h.now += 2 * listCompleteDelay
			h.handle(EndpointsLoaded{Version: 2, ReadAt: h.now, Endpoints: firstList()})
			h.handle(PeerYielded{
				ReplicaSet: replicaSet("centro", 5, "peer-1", "me-1"), From: "peer-1", Endpoints: tt.endpoints, EndpointsVersion: tt.version, Done: make(chan bool, 1),
			})
			h.advance(10)
			h.answerHolds(nil)
			h.handle(EndpointsLoaded{Version: 4, ReadAt: h.now, Endpoints: firstList()})
			if starts := h.startsOfResubmittedJob("peer-9"); starts != tt.starts {
				t.Errorf("got %d starts within 100 ms, want %d", starts, tt.starts)
			}
		})
	}
}

// Guards against a task that runs twice after a long partition: its earlier leader has gone on with
// endpoints whose entries vanished from the store's list more than listCompleteDelay ago.
func TestEarlierLeaderMayUseEndpointsThatVanishedLongAgo(t *testing.T) {
	for _, tt := range []struct {
		name    string
		listAge clock.Millis
		starts  int
	}{
		{"the list of the earlier leader is recent", 400, 1},
		{"it is from before an endpoint may have vanished", 25 * clock.Second, 0},
		{"it is unknown", 0, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := takeOver(t)
			h.advance(20)
			h.handle(EndpointsLoaded{Version: 2, ReadAt: h.now, Endpoints: firstList()})
			h.answerHolds(nil)
			s := resubmittedJob()
			s.EarlierListAge = tt.listAge
			if starts := h.startsOf(s); starts != tt.starts {
				t.Errorf("got %d starts within 100 ms, want %d", starts, tt.starts)
			}
		})
	}
}

// Guards against a leader that vouches for endpoints that may have vanished from the store's list:
// those that it still uses although they are missing, and those of a list from a peer.
func TestLeaderSaysSinceWhenItsEndpointsWereListed(t *testing.T) {
	h := leaderOfCentro(t)
	peer := newVM("centro", "peer-1")
	first := h.now
	h.handle(EndpointsLoaded{Version: 2, ReadAt: first, Endpoints: firstList()})
	for _, tt := range []struct {
		name    string
		advance clock.Millis
		load    EndpointsLoaded
		want    clock.Millis
	}{
		{"read again", 400, EndpointsLoaded{Endpoints: firstList()}, 0},
		{"an endpoint is missing", 400, EndpointsLoaded{Endpoints: firstList()[1:]}, 400},
		{"still missing, and in use", 400, EndpointsLoaded{Endpoints: firstList()[1:]}, 800},
		{"dropped", missingRetention, EndpointsLoaded{Endpoints: firstList()[1:]}, 0},
		{"list of a peer", 400, EndpointsLoaded{Endpoints: firstList(), Gap: true}, -1},
		{"read again after that", 400, EndpointsLoaded{Endpoints: firstList()}, 0},
	} {
		h.advance(tt.advance)
		tt.load.Version = h.control.endpointsVersion + 1
		if tt.want >= 0 {
			tt.load.ReadAt = h.now
		}
		h.handle(tt.load)
		want := max(tt.want, 1)
		if tt.want < 0 {
			want = 0
		}
		if got := h.sendHeartbeat(peer, "centro").ListAge; got != want {
			t.Errorf("%s: got a list that is %d ms old, want %d ms", tt.name, got, want)
		}
	}
}

// Guards against a next leader that takes its list for complete while its predecessor has a task at an endpoint
// that left the list long ago.
func TestListHasBeenCompleteBeforeAnEndpointInUseLeft(t *testing.T) {
	h := takeOver(t)
	h.handle(EndpointsLoaded{Version: 2, Endpoints: firstList(), ReadAt: h.now})
	h.answerHolds(nil)
	s := resubmittedJob()
	s.Adopt, s.Limit = false, clock.Minute
	h.handle(PeerSubmitted{Shard: "centro", Submission: s, Ended: make(chan job.Outcome, 1)})
	starts := h.answerHolds(nil)
	if len(starts) != 1 {
		t.Fatalf("got %d starts, want 1", len(starts))
	}
	used, left := starts[0].Endpoint.ID, h.now
	running := map[datacentre.EndpointID][]endpoint.ActiveAttempt{used: {{Task: starts[0].Task, Attempt: starts[0].Attempt}}}
	listed := slices.DeleteFunc(firstList(), func(e endpoint.Endpoint) bool { return e.ID == used })
	for version := int64(3); h.now < left+20*clock.Second; version++ {
		h.handle(PeerHeartbeat{Request: HeartbeatRequest{Cell: "centro", From: newVM("centro", "peer-2"), Sent: h.now, Waiting: []uint64{1}, LastSeq: 1}, Reply: make(chan HeartbeatReply, 1)})
		h.handle(EndpointsLoaded{Version: version, Endpoints: listed, ReadAt: h.now})
		h.answerHolds(running)
		h.advance(100)
	}
	if got := h.control.ListedSince("centro"); got == 0 || got > left {
		t.Errorf("got all endpoints listed since %d, want %d or earlier: %s has a task", got, left, used)
	}
	ended := h.now
	for version := int64(1000); h.now < ended+3*clock.Second; version++ {
		h.handle(EndpointsLoaded{Version: version, Endpoints: listed, ReadAt: h.now})
		h.answerHolds(nil)
		h.advance(100)
	}
	if got := h.control.ListedSince("centro"); got < ended {
		t.Errorf("got all endpoints listed since %d, want %d or later: the task has ended", got, ended)
	}
}
