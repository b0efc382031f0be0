package node

import (
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/control/leader"
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// answerHolds answers the holds since the last call with the given active attempts, and returns the
// starts since then.
func (h *harness) answerHolds(active map[datacentre.EndpointID][]endpoint.ActiveAttempt) []leader.Start {
	var starts []leader.Start
	for _, a := range takeActions[LeaderAction](h) {
		switch a := a.Action.(type) {
		case leader.Hold:
			h.handle(LeaderEvent{Shard: "centro", Event: leader.HoldEnded{
				Endpoint: a.Endpoint.ID, Kind: a.Kind, Sequence: a.Sequence,
				Report: &endpoint.StatusReport{Incarnation: 1, Clock: 500, Active: active[a.Endpoint.ID]},
			}})
		case leader.Start:
			starts = append(starts, a)
		default:
		}
	}
	return starts
}

func resubmittedJob() job.Submission {
	return job.Submission{
		Key: job.Key{Entry: "peer-2", Seq: 1}, Limit: 5 * clock.Second, Adopt: true,
		Job: job.Job{ID: "0000000000000001", Queue: "q", Steps: []job.Step{{Tasks: 1, Demand: job.Resources{CPU: 500}, Estimate: 760}}},
	}
}

// Guards against a task that runs twice at the same time after a failover: the next leader has read
// its list of endpoints long ago, and the earlier one has started the task at an endpoint that was
// added since.
func TestOldListOfEndpointsProvesNothing(t *testing.T) {
	h := newHarness(t)
	h.answers["peer-1"] = HeartbeatReply{Home: true, Token: 5 << 8, From: "peer-1"}
	h.handle(ReplicaSetsLoaded{ReplicaSets: []shard.ReplicaSet{replicaSet("centro", 5, "peer-1", "me-1")}})
	h.advance(20 * clock.Second)
	delete(h.answers, "peer-1")
	h.advance(clock.Second)
	if !h.isLeader("centro") {
		t.Fatalf("got no leader of centro, want this VM")
	}
	h.answerHolds(nil)
	h.handle(PeerSubmitted{Shard: "centro", Submission: resubmittedJob(), Ended: make(chan job.Outcome, 1)})
	for range 10 {
		h.advance(20)
		if starts := h.answerHolds(nil); len(starts) != 0 {
			t.Fatalf("got %d starts with a list that is 20 s old, want none", len(starts))
		}
	}
}
