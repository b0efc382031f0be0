package node

import (
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// claimCentro makes this VM, which is in no replica set, the leader of centro 20 s after the list of endpoints
// was read.
func claimCentro(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t)
	h.storeLost = false
	h.handle(StoreReported{})
	h.handle(EndpointsLoaded{Version: 2, Endpoints: firstList(), ReadAt: h.now})
	h.answers["peer-1"] = HeartbeatReply{Home: true, Token: 5 << 16, From: "peer-1"}
	h.handle(ReplicaSetsLoaded{ReplicaSets: []shard.ReplicaSet{replicaSet("centro", 5, "peer-1")}})
	h.advance(20 * clock.Second)
	delete(h.answers, "peer-1")
	for range 400 {
		for _, w := range takeActions[WriteReplicaSet](h) {
			w.ReplicaSet.Revision = 9
			h.handle(ReplicaSetWritten{ReplicaSet: w.ReplicaSet, Written: true})
			return h
		}
		h.advance(10)
	}
	t.Fatalf("got no claim of centro, want one by this VM")
	return nil
}

// Guards against a VM outside of the replica set that becomes leader and starts tasks by a list of endpoints
// as old as its process, at an endpoint that reported since that it is leaving; and against one that serves
// nothing because the store is lost, before the take-over or meanwhile.
func TestTakeOverWithAnOldListOfEndpoints(t *testing.T) {
	draining := firstList()
	for i := range draining {
		draining[i].Draining = draining[i].ID == "e1"
	}
	for _, tt := range []struct {
		name          string
		before, after Event
		want          map[datacentre.EndpointID]int
	}{
		{name: "list not read again"},
		{name: "list read again", after: EndpointsLoaded{Version: 3, Endpoints: draining}, want: map[datacentre.EndpointID]int{"e2": 1}},
		{name: "list of a peer", after: EndpointsLoaded{Version: 3, Endpoints: draining, Gap: true}},
		{name: "store lost before", before: StoreReported{Lost: true}, want: map[datacentre.EndpointID]int{"e1": 1}},
		{name: "read of the list fails", after: StoreReported{Lost: true}, want: map[datacentre.EndpointID]int{"e1": 1}},
		{name: "read of the list answered, but not passed on", after: StoreReported{}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := claimCentro(t)
			if reads := countActions[ReadEndpoints](h); reads != 1 {
				t.Errorf("got %d requests to read the list of endpoints, want 1", reads)
			}
			if tt.before != nil {
				h.handle(tt.before)
			}
			h.answerHolds(nil)
			s := resubmittedJob()
			s.Adopt, s.Part = false, true
			h.handle(PeerSubmitted{Shard: "centro", Submission: s, Ended: make(chan job.Outcome, 1)})
			starts := startedTasks(h)
			if got, want := len(starts) > 0, tt.before != nil; got != want {
				t.Errorf("got starts at once %v, want %v", got, want)
			}
			h.advance(10)
			// The list of a peer has no time of a read.
			if e, ok := tt.after.(EndpointsLoaded); ok && !e.Gap {
				e.ReadAt = h.now
				tt.after = e
			}
			if tt.after != nil {
				h.handle(tt.after)
			}
			h.advance(10)
			starts = append(starts, startedTasks(h)...)
			got := make(map[datacentre.EndpointID]int)
			for _, start := range starts {
				got[start.Endpoint.ID]++
			}
			if len(got) != len(tt.want) || got["e1"] != tt.want["e1"] || got["e2"] != tt.want["e2"] {
				t.Errorf("got starts %v, want %v", got, tt.want)
			}
		})
	}
}

// Guards against a new leader that starts tasks by an old list since a read had failed long ago, or although its
// claim has just been answered by the store; and against one that waits although reads keep failing.
func TestOldReportsOfTheStoreDoNotCount(t *testing.T) {
	for _, tt := range []struct {
		name string
		play func(h *harness)
		want bool
	}{
		{"failed just now", func(h *harness) { h.handle(StoreReported{Lost: true}) }, true},
		{"failed and answered", func(h *harness) { h.handle(StoreReported{Lost: true}); h.handle(StoreReported{}) }, false},
		{"failed long ago", func(h *harness) {
			h.handle(StoreReported{Lost: true})
			h.now += storeReportRetention + 1
			h.handle(Tick{})
		}, false},
		{"claim answered", func(h *harness) {
			h.handle(StoreReported{Lost: true})
			h.handle(ReplicaSetWritten{ReplicaSet: replicaSet("centro", 9, "me-1"), Written: true})
		}, false},
		{"claim failed", func(h *harness) {
			h.handle(StoreReported{Lost: true})
			h.handle(ReplicaSetWritten{ReplicaSet: replicaSet("centro", 9, "me-1")})
		}, true},
	} {
		h := newHarness(t)
		tt.play(h)
		if got := h.control.isStoreLost(); got != tt.want {
			t.Errorf("%s: got lost %v, want %v", tt.name, got, tt.want)
		}
	}
}

// Guards against tasks that start at an endpoint whose entry only the former leader has: its list has entries for some
// seconds after they were removed, and such an endpoint may have said before that it is leaving.
func TestEntriesOfAnotherVMDecideOnceTheStoreListsThem(t *testing.T) {
	for _, tt := range []struct {
		name   string
		events func(h *harness) []Event
		want   bool
	}{
		{"not read since", func(*harness) []Event { return nil }, false},
		{"listed by a third VM", func(*harness) []Event {
			return []Event{EndpointsLoaded{Version: 4, Endpoints: firstList(), Gap: true}}
		}, false},
		{"listed by the store", func(h *harness) []Event {
			return []Event{EndpointsLoaded{Version: 4, Endpoints: firstList(), ReadAt: h.now}}
		}, true},
		{"store lost", func(*harness) []Event { return []Event{StoreReported{Lost: true}} }, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			h.storeLost = false
			h.handle(StoreReported{})
			h.handle(EndpointsLoaded{Version: 2, Endpoints: firstList()[:1], ReadAt: h.now})
			h.handle(PeerYielded{
				ReplicaSet: replicaSet("centro", 5, "peer-1", "me-1"), From: "peer-1", Endpoints: firstList(), EndpointsVersion: 3, Done: make(chan bool, 1),
			})
			h.answerHolds(nil)
			for _, e := range tt.events(h) {
				h.handle(e)
			}
			h.answerHolds(nil)
			// Two of the tasks fit at the endpoint that this VM has listed.
			s := resubmittedJob()
			s.Adopt, s.Part, s.Job.Steps[0].Tasks = false, true, 3
			h.handle(PeerSubmitted{Shard: "centro", Submission: s, Ended: make(chan job.Outcome, 1)})
			got := make(map[datacentre.EndpointID]int)
			for _, start := range startedTasks(h) {
				got[start.Endpoint.ID]++
			}
			if got["e2"] > 0 != tt.want || got["e1"] == 0 {
				t.Errorf("got starts at %v, want one at that of the former leader %v", got, tt.want)
			}
		})
	}
}

// Guards against an older entry that another VM has kept and that takes the place of the one that this VM has read: the
// endpoint has said in between that it is leaving, or that it has less capacity.
func TestListOfAnotherVMKeepsLaterEntries(t *testing.T) {
	for _, tt := range []struct {
		name       string
		own, other endpoint.Revision
		change     func(*endpoint.Endpoint)
		want       int
	}{
		{name: "leaving", own: 7, other: 5, change: func(e *endpoint.Endpoint) { e.Draining = true }, want: 0},
		{name: "shrunk", own: 7, other: 5, change: func(e *endpoint.Endpoint) { e.Capacity.CPU = 500 }, want: 1},
		{name: "sent without a revision", own: 7, change: func(e *endpoint.Endpoint) { e.Draining = true }, want: 0},
		{name: "the other one is later", own: 7, other: 9, change: func(e *endpoint.Endpoint) { e.Draining = true }, want: 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			h.storeLost = false
			h.handle(StoreReported{})
			read := firstList()[:1]
			read[0].Revision = tt.own
			tt.change(&read[0])
			h.handle(EndpointsLoaded{Version: 2, Endpoints: read, ReadAt: h.now})
			h.handle(PeerYielded{ReplicaSet: replicaSet("centro", 5, "peer-1", "me-1"), From: "peer-1", Done: make(chan bool, 1)})
			fetched := firstList()[:1]
			fetched[0].Revision = tt.other
			h.handle(EndpointsLoaded{Version: 4, Endpoints: fetched, Gap: true})
			h.answerHolds(nil)
			s := resubmittedJob()
			s.Adopt, s.Part, s.Job.Steps[0].Tasks = false, true, 4
			h.handle(PeerSubmitted{Shard: "centro", Submission: s, Ended: make(chan job.Outcome, 1)})
			got := 0
			for _, start := range startedTasks(h) {
				if start.Endpoint.ID == read[0].ID {
					got++
				}
			}
			if got != tt.want {
				t.Errorf("got %d tasks started at the endpoint, want %d", got, tt.want)
			}
		})
	}
}

// Guards against tasks that start at an endpoint whose row is missing and that has said just before that it is leaving,
// and against one that is out of use because its row has only expired.
func TestMissingEndpointThatWasLeavingGetsNoTasks(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		h := newHarness(t)
		h.storeLost = false
		h.handle(StoreReported{})
		h.handle(EndpointsLoaded{Version: 2, Endpoints: firstList()[:1], ReadAt: h.now})
		h.handle(ReplicaSetWritten{ReplicaSet: replicaSet("centro", 9, "me-1"), Written: true})
		h.answerHolds(nil)
		missing := EndpointsLoaded{Version: 3, ReadAt: h.now}
		if leaving {
			missing.Leaving = []datacentre.EndpointID{"e1"}
		}
		h.handle(missing)
		s := resubmittedJob()
		s.Adopt, s.Part = false, true
		h.handle(PeerSubmitted{Shard: "centro", Submission: s, Ended: make(chan job.Outcome, 1)})
		if got := len(startedTasks(h)); (got == 0) != leaving {
			t.Errorf("leaving %v: got %d starts, want one unless it was", leaving, got)
		}
	}
}
