package node

import (
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// startsByEndpoint submits a job of 4 tasks, of which two fit an endpoint, and counts their starts at
// each within 100 ms. It adds the attempts to the active ones.
func (h *harness) startsByEndpoint(id job.ID, active map[datacentre.EndpointID][]endpoint.ActiveAttempt) map[datacentre.EndpointID]int {
	s := job.Submission{
		Key: job.Key{Entry: "peer-2", Seq: 1}, Limit: 5 * clock.Second, Part: true,
		Job: job.Job{ID: id, Queue: "q", Steps: []job.Step{{Tasks: 4, Demand: job.Resources{CPU: 500}, Estimate: 760}}},
	}
	h.handle(PeerSubmitted{Shard: "centro", Submission: s, Ended: make(chan job.Outcome, 1)})
	starts := make(map[datacentre.EndpointID]int)
	for range 5 {
		h.advance(20)
		for _, s := range h.answerHolds(active) {
			starts[s.Endpoint.ID]++
			active[s.Endpoint.ID] = append(active[s.Endpoint.ID], endpoint.ActiveAttempt{Task: s.Task, Attempt: s.Attempt})
		}
	}
	return starts
}

// Guards against tasks that start at an endpoint whose row another writer has overwritten, and
// against an endpoint that stays unused once its row is readable again.
func TestNoStartsAtAnEndpointWithAnUnreadableRow(t *testing.T) {
	h := takeOver(t)
	h.answerHolds(nil)
	list := firstList()
	h.handle(EndpointsLoaded{Version: 2, ReadAt: h.now, Endpoints: list[1:], Unreadable: []datacentre.EndpointID{"e1", "x"}})
	if starts := h.startsByEndpoint("0000000000000001", make(map[datacentre.EndpointID][]endpoint.ActiveAttempt)); starts["e1"] != 0 || starts["e2"] != 2 {
		t.Errorf("got %v starts while the row of e1 is unreadable, want 2 at e2", starts)
	}
	h.handle(EndpointsLoaded{Version: 3, ReadAt: h.now, Endpoints: list})
	h.advance(20)
	if starts := h.answerHolds(nil); len(starts) != 2 || starts[0].Endpoint.ID != "e1" {
		t.Errorf("got %d starts once the row is readable again, want 2 at e1", len(starts))
	}
}

// Guards against attempts that are forgotten, or started a second time, because the row of their
// endpoint becomes unreadable while they run.
func TestAttemptsSurviveAnUnreadableRow(t *testing.T) {
	h := takeOver(t)
	h.answerHolds(nil)
	running := make(map[datacentre.EndpointID][]endpoint.ActiveAttempt)
	if starts := h.startsByEndpoint("0000000000000001", running); starts["e1"] != 2 || starts["e2"] != 2 {
		t.Fatalf("got %v starts, want 2 at each endpoint", starts)
	}
	list := firstList()
	led := h.control.ledShards["centro"].leader
	for version := int64(2); version < 12; version++ {
		h.handle(EndpointsLoaded{Version: version, ReadAt: h.now, Endpoints: list[1:], Unreadable: []datacentre.EndpointID{"e1"}})
		for range 20 {
			h.advance(20)
			h.handle(PeerHeartbeat{
				Request: HeartbeatRequest{Cell: "centro", From: newVM("centro", "peer-2"), Sent: h.now, Waiting: []uint64{1}, LastSeq: 1}, Reply: make(chan HeartbeatReply, 1),
			})
			for _, s := range h.answerHolds(running) {
				t.Errorf("got a start of %s at %s, want none while its attempts run", s.Task, s.Endpoint.ID)
			}
		}
	}
	found := false
	for _, e := range led.Endpoints() {
		found = found || e.ID == "e1"
	}
	if !found {
		t.Errorf("got no endpoint e1 after 4 s with an unreadable row, want it kept while it has attempts")
	}
}
