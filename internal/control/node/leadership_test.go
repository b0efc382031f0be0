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

// Guards against a request to take over that a partition has held up: another VM leads the shard
// under a later replica set, and the list in the request is from before its time.
func TestRequestToTakeOverFromAnEarlierLeaderIsDeclined(t *testing.T) {
	h := newHarness(t)
	h.answers["peer-1"] = HeartbeatReply{Home: true, Token: 9 << 8, From: "peer-1"}
	h.handle(ReplicaSetsLoaded{ReplicaSets: []shard.ReplicaSet{replicaSet("centro", 9, "peer-1", "me-1")}})
	h.advance(300)
	done := make(chan bool, 1)
	h.handle(PeerYielded{
		ReplicaSet: replicaSet("centro", 5, "gone-1", "me-1", "peer-1"),
		Endpoints:  []endpoint.Endpoint{newEndpoint("centro", "e1")}, EndpointsVersion: 1, Done: done,
	})
	if accepted := <-done; accepted || h.isLeader("centro") {
		t.Errorf("got accepted %v and leader %v while peer-1 leads under a later replica set, want it declined", accepted, h.isLeader("centro"))
	}
}

// Guards against a successor that takes over after its request has been delayed until the sender has
// given up and asked the next successor.
func TestExpiredRequestToTakeOverIsDeclined(t *testing.T) {
	for _, tt := range []struct {
		name  string
		late  clock.Millis
		taken bool
	}{{"in time", 0, true}, {"expired", 1, false}} {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			done := make(chan bool, 1)
			set := replicaSet("centro", 5, "peer-1", "me-1")
			h.handle(PeerYielded{ReplicaSet: set, Token: set.Token(0), Expires: h.now - tt.late, Endpoints: firstList(), EndpointsVersion: 1, Done: done})
			if accepted := <-done; accepted != tt.taken || h.isLeader("centro") != tt.taken {
				t.Errorf("got accepted %v and leader %v, want %v", accepted, h.isLeader("centro"), tt.taken)
			}
		})
	}
}

// Guards against a request to take over from a leader that another member of the same replica set
// has replaced.
func TestRequestToTakeOverFromAnOutrankedLeaderIsDeclined(t *testing.T) {
	h := newHarness(t)
	set := replicaSet("centro", 5, "gone-1", "peer-1", "me-1")
	h.answers["peer-1"] = HeartbeatReply{Home: true, Token: set.Token(1), From: "peer-1"}
	h.handle(ReplicaSetsLoaded{ReplicaSets: []shard.ReplicaSet{set}})
	h.advance(600)
	done := make(chan bool, 1)
	h.handle(PeerYielded{ReplicaSet: set, Token: set.Token(0), Endpoints: firstList(), EndpointsVersion: 1, Done: done})
	if accepted := <-done; accepted || h.isLeader("centro") {
		t.Errorf("got accepted %v and leader %v while peer-1 leads, want it declined", accepted, h.isLeader("centro"))
	}
}

// Guards against requests to take over that never expire: their end is a time on the clock of the
// successor, which its heartbeats tell.
func TestRequestToTakeOverExpiresOnTheClockOfTheSuccessor(t *testing.T) {
	h := leaderOfCentro(t)
	const successorClock = clock.Millis(7_000_000)
	h.handle(PeerHeartbeat{Request: HeartbeatRequest{Cell: "centro", From: newVM("centro", "peer-1"), Clock: successorClock}, Reply: make(chan HeartbeatReply, 1)})
	h.now += 30
	h.handle(ShutdownRequested{})
	yields := takeActions[SendYield](h)
	if len(yields) != 1 || yields[0].Expires != successorClock+30+yieldLifetime || yields[0].Token != h.control.ledShards["centro"].leader.Token() {
		t.Errorf("got %+v, want one with the token of the leader that expires at %d", yields, successorClock+30+yieldLifetime)
	}
}

// startedTasks returns the starts that the leader of this VM has sent since the last call.
func startedTasks(h *harness) []leader.Start {
	var all []leader.Start
	for _, a := range takeActions[LeaderAction](h) {
		if s, ok := a.Action.(leader.Start); ok {
			all = append(all, s)
		}
	}
	return all
}

// answerHold delivers a status report without attempts for a hold that a leadership of centro has
// sent to an endpoint.
func (h *harness) answerHold(l LeadershipID, id datacentre.EndpointID, sequence leader.SequenceNumber) {
	h.handle(LeaderEvent{Shard: "centro", Leadership: l, Event: leader.HoldEnded{
		Endpoint: id, Kind: leader.Watch, Sequence: sequence, Report: &endpoint.StatusReport{Incarnation: 1, Clock: 5000},
	}})
}

func movedSubmission() job.Submission {
	return job.Submission{
		Key: job.Key{Entry: "n-1", Seq: 1}, Limit: 3000, Adopt: true,
		Job: job.Job{ID: "0000000000000001", Queue: "q", Steps: []job.Step{{Tasks: 1, Demand: job.Resources{CPU: 500}, Estimate: 760}}},
	}
}

// Guards against reports of a VM's former leadership of a shard that count for the present one: the
// holds were sent under the former token, before the leader in between started tasks.
func TestReportsOfAFormerLeadershipAreDropped(t *testing.T) {
	h := leaderOfCentro(t)
	former := h.control.ledShards["centro"].id
	h.handle(ReplicaSetsLoaded{ReplicaSets: []shard.ReplicaSet{replicaSet("centro", 6, "peer-1", "me-1")}})
	if h.isLeader("centro") {
		t.Fatalf("got this VM as leader of centro although a later replica set names another")
	}
	all, version := h.control.Endpoints()
	h.handle(PeerYielded{ReplicaSet: replicaSet("centro", 6, "peer-1", "me-1"), Endpoints: all, EndpointsVersion: version, From: "peer-1", Done: make(chan bool, 1)})
	if !h.isLeader("centro") {
		t.Fatalf("got no leader of centro after the other VM has yielded, want this VM")
	}
	h.answerHold(former, "e1", 40)
	h.answerHold(former, "e2", 41)
	h.handle(LeaderEvent{Shard: "centro", Leadership: former, Event: leader.HoldEnded{Endpoint: "e1", Kind: leader.Renewal, Sequence: 42, Rejection: leader.HoldFenced}})
	h.handle(YieldEnded{Shard: "centro", Leadership: former, Accepted: true})
	if !h.isLeader("centro") {
		t.Fatalf("got no leader of centro after a former leadership was fenced, want this VM")
	}
	h.actions = nil
	moved := movedSubmission()
	moved.Earlier = "peer-1"
	h.handle(PeerSubmitted{Shard: "centro", Submission: moved, Ended: make(chan job.Outcome, 1)})
	if starts := startedTasks(h); len(starts) != 0 {
		t.Errorf("got %d starts before any endpoint has accepted the present token, want none", len(starts))
	}
	present := h.control.ledShards["centro"].id
	h.answerHold(present, "e1", 40)
	h.answerHold(present, "e2", 41)
	if starts := startedTasks(h); len(starts) != 1 {
		t.Errorf("got %d starts after all endpoints have accepted the present token, want one", len(starts))
	}
}

// Guards against a task that a leader starts although another one leads the shard: the answer that
// says so arrives when the wait for the attempts of an earlier leader has just ended.
func TestFencedLeaderStartsNothing(t *testing.T) {
	h := leaderOfCentro(t)
	present := h.control.ledShards["centro"].id
	h.answerHold(present, "e1", 40)
	moved := movedSubmission()
	// A part is not refused while it waits.
	moved.Part = true
	h.handle(PeerSubmitted{Shard: "centro", Submission: moved, Ended: make(chan job.Outcome, 1)})
	renew := func(now clock.Millis) {
		h.handle(LeaderEvent{Shard: "centro", Leadership: present, Event: leader.JobLeasesRenewed{Entry: "n-1", Sent: now, Waiting: []uint64{1}, LastSeq: 1}})
	}
	waitEnds := h.now + h.control.config.Timeouts.EarlierAttemptsExpireAfter()
	for h.now < waitEnds-20 {
		h.advance(10)
		renew(h.now)
	}
	if starts := startedTasks(h); len(starts) != 0 {
		t.Fatalf("got %d starts before the wait ends, want none", len(starts))
	}
	h.now = waitEnds
	h.handle(LeaderEvent{Shard: "centro", Leadership: present, Event: leader.HoldEnded{Endpoint: "e2", Kind: leader.Watch, Sequence: 41, Rejection: leader.HoldFenced}})
	if starts := startedTasks(h); len(starts) != 0 || h.isLeader("centro") {
		t.Errorf("got %d starts and leader %v after an endpoint has accepted a higher token, want neither", len(starts), h.isLeader("centro"))
	}
}

// Guards against a leader that restarts its tasks after its VM has been suspended, before an
// endpoint has told it that a successor took over.
func TestNothingStartsAfterAPauseBeforeEndpointsAnswer(t *testing.T) {
	h := leaderOfCentro(t)
	present := h.control.ledShards["centro"].id
	h.answerHold(present, "e1", 1)
	h.answerHold(present, "e2", 1)
	h.handle(JobArrived{Job: movedSubmission().Job, Limit: 3000, WaitsSince: h.now, Accepted: make(chan job.Key, 1), Ended: make(chan job.Outcome, 1)})
	starts := startedTasks(h)
	if len(starts) != 1 {
		t.Fatalf("got %d starts, want one", len(starts))
	}
	h.handle(LeaderEvent{Shard: "centro", Leadership: present, Event: leader.StartEnded{
		Endpoint: starts[0].Endpoint.ID, SentTo: 1, Task: starts[0].Task, Attempt: starts[0].Attempt, Result: endpoint.Started{}, Clock: 5001,
	}})
	h.now += 1200
	h.handle(Tick{})
	if starts := startedTasks(h); len(starts) != 0 {
		t.Errorf("got %d starts in the first tick after 1,200 ms, want none before the endpoints have answered", len(starts))
	}
}

// Guards against attempts that the next leader does not know of: an endpoint appears after the
// leader has sent its list to the successor, and before the successor's answer.
func TestNothingStartsAtEndpointsThatWereNotHandedOver(t *testing.T) {
	h := leaderOfCentro(t)
	h.handle(ShutdownRequested{})
	yields := takeActions[SendYield](h)
	if len(yields) != 1 {
		t.Fatalf("got %d yields, want one", len(yields))
	}
	h.handle(EndpointsLoaded{Version: 2, Endpoints: []endpoint.Endpoint{newEndpoint("centro", "e1"), newEndpoint("centro", "e2"), newEndpoint("centro", "e3")}})
	h.answerHold(h.control.ledShards["centro"].id, "e3", 40)
	s := movedSubmission()
	s.Adopt = false
	h.handle(PeerSubmitted{Shard: "centro", Submission: s, Ended: make(chan job.Outcome, 1)})
	h.advance(yieldLifetime)
	for _, start := range startedTasks(h) {
		if !slices.ContainsFunc(yields[0].Endpoints, func(e endpoint.Endpoint) bool { return e.ID == start.Endpoint.ID }) {
			t.Errorf("got a start at %s, which is not in the list for the next leader, want none", start.Endpoint.ID)
		}
	}
}

// Guards against a job that runs longer than its caller waits, so that its tasks run twice: the request
// waited in its socket while the VM was paused, and the VM cannot hear that the caller has gone.
func TestLimitCountsFromTheArrivalOfARequest(t *testing.T) {
	for _, tt := range []struct {
		waited     clock.Millis
		wantStarts int
		// wantEnd is how long after it was read the job ends.
		wantEnd clock.Millis
	}{
		{waited: 0, wantStarts: 1, wantEnd: 1500},
		{waited: 1000, wantStarts: 1, wantEnd: 500},
		{waited: 1500, wantStarts: 0, wantEnd: 0},
	} {
		h := leaderOfCentro(t)
		present := h.control.ledShards["centro"].id
		h.answerHold(present, "e1", 1)
		h.answerHold(present, "e2", 1)
		ended := make(chan job.Outcome, 1)
		readAt := h.now
		h.handle(JobArrived{Job: movedSubmission().Job, Limit: 1500, WaitsSince: h.now - tt.waited, Accepted: make(chan job.Key, 1), Ended: ended})
		if got := len(startedTasks(h)); got != tt.wantStarts {
			t.Errorf("waited %d ms: got %d starts, want %d", tt.waited, got, tt.wantStarts)
		}
		for len(ended) == 0 && h.now < readAt+3000 {
			h.advance(10)
		}
		if got := h.now - readAt; got > tt.wantEnd+20 || got < tt.wantEnd {
			t.Errorf("waited %d ms: got an end after %d ms, want it after %d ms", tt.waited, got, tt.wantEnd)
		}
	}
}

// Guards against a VM that panics when it takes over before it has read the first desired state.
func TestTakeOverWithoutDesiredState(t *testing.T) {
	h := &harness{t: t, now: 100_000, answers: make(map[vm.Incarnation]HeartbeatReply)}
	h.control = New(Config{
		Self: newVM("centro", "me-1"), DataCentres: []datacentre.ID{"centro", "norte"},
		Timeouts: leader.DefaultTimeouts(1000, 50, 1300, 2000), FarFactor: 1.5, Successors: 3, Now: h.now,
	})
	h.handle(VMsLoaded{VMs: []shard.VM{newVM("centro", "me-1"), newVM("centro", "peer-1")}})
	h.handle(EndpointsLoaded{Version: 1, Endpoints: firstList()})
	h.handle(ReplicaSetsLoaded{ReplicaSets: []shard.ReplicaSet{replicaSet("centro", 5, "peer-1", "me-1")}})
	h.advance(1000)
	if h.control.ledShards["centro"] == nil {
		t.Errorf("got no leadership, want one")
	}
}
