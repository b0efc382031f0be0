package node

import (
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/control/gateway"
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// offer offers a job of one task to the VM and returns its outcome, or nil if the VM has taken it.
func (h *harness) offer(id job.ID, estimate, limit clock.Millis) job.Outcome {
	ended := make(chan job.Outcome, 1)
	h.handle(JobArrived{
		Job: job.Job{ID: id, Queue: "q", Steps: []job.Step{{Tasks: 1, Estimate: estimate}}}, Limit: limit, WaitsSince: h.now,
		Accepted: make(chan job.Key, 1), Ended: ended,
	})
	select {
	case o := <-ended:
		return o
	default:
		return nil
	}
}

func isDraining(o job.Outcome) bool {
	refused, ok := o.(job.Refused)
	return ok && refused.Reason == job.Draining && refused.RetryAfter > 0
}

// Guards against jobs that a VM takes during its shutdown although it has to give them up before their callers leave
// or they are expected to end, and against the refusal of work that ends well before the process.
func TestJobsThatOutlastTheProcessAreRefused(t *testing.T) {
	for _, tt := range []struct {
		name            string
		after           clock.Millis
		estimate, limit clock.Millis
		want            bool
	}{
		// Objectives are 1.6 times the estimate and 60 ms more.
		{"its limit ends in time", 3900, 800, 1500, true},
		{"its limit ends after the process", 3901, 800, 1500, false},
		{"twice its objective ends in time", 4919, 113, 30_000, true},
		{"twice its objective ends after the process", 4919, 114, 30_000, false},
		{"work of a second in the first seconds", 1790, 1090, 30_000, true},
		{"long work from the first moment", 0, 4000, 30_000, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := withLeaders(t)
			h.handle(ShutdownRequested{FinishBy: h.now + 5400})
			h.advance(tt.after)
			h.actions = nil
			o := h.offer("0000000000000001", tt.estimate, tt.limit)
			if got := o == nil; got != tt.want {
				t.Errorf("got a job taken %v (%v), want %v", got, o, tt.want)
			}
			if !tt.want && !isDraining(o) {
				t.Errorf("got %v, want a refusal with a time to come back", o)
			}
			if got := len(takeActions[SendSubmission](h)); (got > 0) != tt.want {
				t.Errorf("got %d submissions to leaders, want them only for a job that was taken", got)
			}
		})
	}
}

// Guards against a refusal that says of a job which is sent again that it has not run, while its earlier request is
// still held.
func TestJobSentAgainInAShutdownMayHaveRun(t *testing.T) {
	const id, estimate, limit = "0000000000000001", 1000, 30_000
	h := withLeaders(t)
	if o := h.offer(id, estimate, limit); o != nil {
		t.Fatalf("got %v, want the job taken", o)
	}
	h.handle(ShutdownRequested{FinishBy: h.now + 5400})
	h.advance(4 * clock.Second)
	if o, ok := h.offer(id, estimate, limit).(job.Stopped); !ok || o.Reason != job.Draining {
		t.Errorf("got %v, want the job stopped, as it may run", o)
	}
}

// Guards against jobs and cancellations that arrive after the last answers of a shutdown, and wait for one until the
// process is killed.
func TestNothingIsTakenAfterTheLastAnswers(t *testing.T) {
	h := withLeaders(t)
	done := h.cancel(2 * clock.Second)
	h.handle(ShutdownRequested{FinishBy: h.now + 5400})
	h.handle(ShutdownOverdue{})
	if got, want := state(done), "not confirmed"; got != want {
		t.Errorf("got a cancellation %s, want it %s", got, want)
	}
	h.actions = nil
	if o := h.offer("0000000000000002", 1, 100); !isDraining(o) {
		t.Errorf("got %v for a job, want a refusal with a time to come back", o)
	}
	if got, want := state(h.cancel(2*clock.Second)), "not confirmed"; got != want {
		t.Errorf("got a late cancellation %s, want it %s", got, want)
	}
	if !h.control.Idle() {
		t.Error("got callers that wait, want none")
	}
}

// Guards against a VM that takes over a shard during its shutdown, which then has to move again, or ends with the
// process.
func TestLeavingVMTakesOverNoShard(t *testing.T) {
	for _, tt := range []struct {
		name string
		play func(h *harness)
	}{
		{"asked by the leader", func(h *harness) {
			h.handle(PeerYielded{ReplicaSet: replicaSet("centro", 5, "peer-1", "me-1"), From: "peer-1", Endpoints: firstList(), EndpointsVersion: 4, Done: make(chan bool, 1)})
		}},
		{"first successor of a leader that fails", func(h *harness) { delete(h.answers, "peer-1") }},
		{"its claim is written", func(h *harness) {
			h.handle(ReplicaSetWritten{ReplicaSet: replicaSet("centro", 9, "me-1", "peer-1"), Written: true})
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for _, leaves := range []bool{false, true} {
				h := newHarness(t)
				h.answers["peer-1"] = HeartbeatReply{Home: true, Token: 5 << 16, From: "peer-1"}
				h.handle(ReplicaSetsLoaded{ReplicaSets: []shard.ReplicaSet{replicaSet("centro", 5, "peer-1", "me-1")}})
				h.advance(500)
				if leaves {
					h.shutDown()
				}
				tt.play(h)
				h.advance(3 * clock.Second)
				if got, want := h.isLeader("centro"), !leaves; got != want {
					t.Errorf("shutting down %v: got leader %v, want %v", leaves, got, want)
				}
			}
		})
	}
}

// lastAnswersAfter is how long after SIGTERM what has no answer is given up.
const lastAnswersAfter = clock.Millis(5400)

// shutDown sends SIGTERM with a grace period of 6 s.
func (h *harness) shutDown() {
	h.control.config.HandOverTimeout = 4200
	h.handle(ShutdownRequested{FinishBy: h.now + lastAnswersAfter})
}

// submitFromPeer submits a job of a caller of peer-2.
func (h *harness) submitFromPeer(adopt bool) <-chan job.Outcome {
	s, ended := resubmittedJob(), make(chan job.Outcome, 1)
	s.Adopt = adopt
	h.handle(PeerSubmitted{Shard: "centro", Submission: s, Ended: ended})
	return ended
}

// acceptYield lets a successor take over centro.
func (h *harness) acceptYield() {
	for _, y := range takeActions[SendYield](h) {
		h.handle(YieldEnded{Shard: y.ReplicaSet.Cell, Leadership: y.Leadership, Accepted: true})
	}
}

// lead lets another VM lead centro under a replica set that it has written, and the former leader answer.
func (h *harness) lead(former, next vm.Incarnation, revision int64, o job.Outcome) {
	h.answers[next] = HeartbeatReply{Home: true, Token: shard.Token(revision << 16), From: next}
	h.answers[former] = HeartbeatReply{From: former, Draining: true}
	for _, s := range takeActions[SendSubmission](h) {
		h.handle(SubmitAnswered{Key: s.Submission.Key, From: gateway.Responder{Shard: s.Shard, VM: s.To.Incarnation}, Outcome: o})
	}
	h.handle(ReplicaSetsLoaded{ReplicaSets: []shard.ReplicaSet{replicaSet("centro", revision, string(next), "me-1")}})
	h.advance(100)
}

// Guards against requests without an answer by the end of the process that has read them, and against jobs of other
// VMs' callers that a leader gives up, instead of leaving them to the next leader.
func TestRequestsAreAnsweredBeforeTheProcessEnds(t *testing.T) {
	alone := func(t *testing.T) *harness {
		h := newHarness(t)
		h.handle(ReplicaSetsLoaded{ReplicaSets: []shard.ReplicaSet{replicaSet("centro", 5, "me-1", "peer-1")}})
		h.advance(20)
		h.handle(EndpointsLoaded{Version: 2, ReadAt: h.now, Endpoints: firstList()})
		h.answerHolds(nil)
		return h
	}
	arrive := func(h *harness) <-chan job.Outcome {
		ended := make(chan job.Outcome, 1)
		j := resubmittedJob().Job
		h.handle(JobArrived{Job: j, Limit: 5300, WaitsSince: h.now, Accepted: make(chan job.Key, 1), Ended: ended})
		return ended
	}
	moved, completed, lost := job.Outcome(job.Moved{}), job.Outcome(job.Completed{}), job.Outcome(job.Stopped{Reason: job.ShardLost})
	for _, tt := range []struct {
		name string
		vm   func(t *testing.T) *harness
		play func(h *harness) <-chan job.Outcome
		want job.Outcome
		// earliest and latest are when the answer is due after SIGTERM.
		earliest, latest clock.Millis
	}{
		{"of another VM, with a successor", leaderOfCentro, func(h *harness) <-chan job.Outcome {
			ended := h.submitFromPeer(false)
			h.shutDown()
			h.acceptYield()
			return ended
		}, moved, 0, 0},
		{"adopted, with a successor", leaderOfCentro, func(h *harness) <-chan job.Outcome {
			ended := h.submitFromPeer(true)
			h.shutDown()
			h.acceptYield()
			return ended
		}, moved, 0, 0},
		{"of another VM, taken during the shutdown", leaderOfCentro, func(h *harness) <-chan job.Outcome {
			h.shutDown()
			ended := h.submitFromPeer(false)
			h.acceptYield()
			return ended
		}, moved, 0, 0},
		{"of another VM that leaves too, without a successor", alone, func(h *harness) <-chan job.Outcome {
			ended := h.submitFromPeer(false)
			h.shutDown()
			return ended
		}, moved, 4200, 4300},
		{"of this VM, without a successor", alone, func(h *harness) <-chan job.Outcome {
			h.shutDown()
			return arrive(h)
		}, lost, 4900, 5000},
		{"of this VM, at leaders that leave one after the other", withLeaders, func(h *harness) <-chan job.Outcome {
			h.shutDown()
			h.advance(1000)
			ended := arrive(h)
			h.lead("peer-1", "peer-2", 7, moved)
			h.lead("peer-2", "n-1", 8, moved)
			h.lead("n-1", "n-1", 8, completed)
			return ended
		}, completed, 1000, 1400},
		{"of this VM, completed just before the last answers", withLeaders, func(h *harness) <-chan job.Outcome {
			h.shutDown()
			h.advance(1500)
			ended := arrive(h)
			h.advance(3750)
			h.lead("peer-1", "peer-1", 5, completed)
			return ended
		}, completed, 5350, 5350},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := tt.vm(t)
			ended := tt.play(h)
			s := h.control.stage.(leaving)
			var got job.Outcome
			running := make(map[datacentre.EndpointID][]endpoint.ActiveAttempt)
			for got == nil && h.now < s.finishBy {
				select {
				case got = <-ended:
				default:
					h.handle(PeerHeartbeat{Reply: make(chan HeartbeatReply, 1), Request: HeartbeatRequest{
						Cell: "centro", From: newVM("centro", "peer-2"), Sent: h.now, Waiting: []uint64{1}, LastSeq: 1, Leaving: true,
					}})
					for _, s := range h.answerHolds(running) {
						running[s.Endpoint.ID] = append(running[s.Endpoint.ID], endpoint.ActiveAttempt{Task: s.Task, Attempt: s.Attempt})
					}
					h.advance(10)
				}
			}
			if at := h.now - s.since; got != tt.want || at < tt.earliest || at > tt.latest {
				t.Errorf("got %#v %d ms after SIGTERM, want %#v after %d to %d ms", got, at, tt.want, tt.earliest, tt.latest)
			}
			h.now = s.finishBy
			h.handle(ShutdownOverdue{})
			if waiting := len(h.control.callers) + len(h.control.peers); waiting > 0 || !h.control.Idle() {
				t.Errorf("got %d requests without an answer, idle %v, want none", waiting, h.control.Idle())
			}
		})
	}
}
