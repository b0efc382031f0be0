package node

import (
	"fmt"
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

var cancelledJob = job.Cancellation{Job: "0000000000000001", Origin: "h/q/"}

// withLeaders is a harness in which peer-1 leads centro and n-1 norte; peer-2 and n-2 are their successors.
func withLeaders(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t)
	h.answers["peer-1"] = HeartbeatReply{Home: true, Token: 5 << 16, From: "peer-1"}
	h.answers["n-1"] = HeartbeatReply{Home: true, Token: 6 << 16, From: "n-1"}
	h.handle(ReplicaSetsLoaded{ReplicaSets: []shard.ReplicaSet{replicaSet("centro", 5, "peer-1", "peer-2"), replicaSet("norte", 6, "n-1", "n-2")}})
	h.advance(500)
	h.actions = nil
	return h
}

func (h *harness) cancel(limit clock.Millis) <-chan CancelOutcome {
	done := make(chan CancelOutcome, 1)
	h.handle(CancelRequested{Cancellation: cancelledJob, Limit: limit, Done: done})
	return done
}

func (h *harness) confirmCancel(from vm.Incarnation, led ...shard.ID) {
	h.handle(CancelAnswered{Cancellation: cancelledJob, From: from, Answer: CancelAnswer{Led: led}})
}

// told returns the VMs that were told of a cancellation since the last call.
func (h *harness) told() map[vm.Incarnation]int {
	all := make(map[vm.Incarnation]int)
	for _, a := range takeActions[SendCancel](h) {
		all[a.To.Incarnation]++
	}
	return all
}

func state(done <-chan CancelOutcome) string {
	select {
	case o := <-done:
		_, confirmed := o.(CancelConfirmed)
		return map[bool]string{true: "confirmed", false: "not confirmed"}[confirmed]
	default:
		return "pending"
	}
}

// Guards against a cancellation that is acknowledged although a leader has not heard of it, and lost when that
// leader fails before, while or after it gets the message.
func TestCancellationIsConfirmedByThePresentLeaders(t *testing.T) {
	// peer2Leads lets the successor of centro take over from the failed leader.
	peer2Leads := func(h *harness) {
		delete(h.answers, "peer-1")
		h.answers["peer-2"] = HeartbeatReply{Home: true, Token: 5<<16 + 1<<8, From: "peer-2"}
		h.advance(600)
	}
	for _, tt := range []struct {
		name string
		play func(h *harness)
		want string
	}{
		{"no answer", func(*harness) {}, "pending"},
		{"one of two leaders", func(h *harness) { h.confirmCancel("n-1", "norte") }, "pending"},
		{"both leaders", func(h *harness) { h.confirmCancel("n-1", "norte"); h.confirmCancel("peer-1", "centro") }, "confirmed"},
		{"a member that does not lead", func(h *harness) { h.confirmCancel("n-1", "norte"); h.confirmCancel("peer-1") }, "pending"},
		{"the leader has failed", func(h *harness) { h.confirmCancel("n-1", "norte"); delete(h.answers, "peer-1"); h.advance(600) }, "pending"},
		{"the next leader answers", func(h *harness) {
			h.confirmCancel("n-1", "norte")
			peer2Leads(h)
			h.confirmCancel("peer-2", "centro")
		}, "confirmed"},
		{"the former leader has answered", func(h *harness) {
			h.confirmCancel("peer-1", "centro")
			peer2Leads(h)
			h.confirmCancel("n-1", "norte")
		}, "pending"},
		{"nobody answers in time", func(h *harness) { h.advance(1010) }, "not confirmed"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := withLeaders(t)
			done := h.cancel(clock.Second)
			tt.play(h)
			if got := state(done); got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
}

// Guards against a next leader that has not heard of a cancellation: successors hear of it with the leaders,
// messages without an answer are repeated, and a VM that becomes leader after the acknowledgement is told.
func TestNextLeadersHearOfACancellation(t *testing.T) {
	h := withLeaders(t)
	done := h.cancel(clock.Second)
	if got := h.told(); len(got) != 4 {
		t.Errorf("got %v told at once, want the members of both replica sets", got)
	}
	h.confirmCancel("n-1", "norte")
	h.advance(cancelRetryInterval + 10)
	if got := h.told(); got["peer-1"] != 1 || got["n-1"] != 0 {
		t.Errorf("got %v told after %d ms, want the leader that has not answered", got, cancelRetryInterval)
	}
	h.confirmCancel("peer-1", "centro")
	if got := state(done); got != "confirmed" {
		t.Fatalf("got %s, want confirmed", got)
	}
	h.told()
	delete(h.answers, "peer-1")
	h.answers["peer-2"] = HeartbeatReply{Home: true, Token: 5<<16 + 1<<8, From: "peer-2"}
	h.advance(800)
	if got := h.told(); got["peer-2"] == 0 {
		t.Errorf("got %v told after a take-over, want the next leader", got)
	}
	h.advance(cancelRetention)
	if got := len(h.control.cancellations); got != 0 {
		t.Errorf("got %d cancellations after %d ms, want none", got, cancelRetention)
	}
}

// Guards against a cancelled job that goes on: at the VM that has its caller, when the caller sends it again, and
// when its submission arrives at a leader after the cancellation. It belongs to the host and path that it was sent
// to, whatever queue they belong to by now. A job of the same ID from elsewhere goes on.
func TestCancelledJobEnds(t *testing.T) {
	for _, tt := range []struct {
		name string
		play func(h *harness, j job.Job) <-chan job.Outcome
	}{
		{"its caller waits here", func(h *harness, j job.Job) <-chan job.Outcome {
			ended := h.arrive(j)
			h.cancel(clock.Second)
			return ended
		}},
		{"its caller waits here, cancelled at another VM", func(h *harness, j job.Job) <-chan job.Outcome {
			ended := h.arrive(j)
			h.handle(PeerCancelled{Cancellation: cancelledJob, Reply: make(chan CancelAnswer, 1)})
			return ended
		}},
		{"sent after the cancellation", func(h *harness, j job.Job) <-chan job.Outcome {
			h.cancel(clock.Second)
			return h.arrive(j)
		}},
		{"submitted after the cancellation", func(h *harness, j job.Job) <-chan job.Outcome {
			answers := make(chan CancelAnswer, 1)
			h.handle(PeerCancelled{Cancellation: cancelledJob, Reply: answers})
			if got := (<-answers).Led; len(got) != 1 || got[0] != "centro" {
				t.Errorf("got the shards %v, want centro", got)
			}
			ended := make(chan job.Outcome, 1)
			s := resubmittedJob()
			s.Job = j
			h.handle(PeerSubmitted{Shard: "centro", Submission: s, Ended: ended})
			return ended
		}},
		{"submitted before the cancellation", func(h *harness, j job.Job) <-chan job.Outcome {
			ended := make(chan job.Outcome, 1)
			s := resubmittedJob()
			s.Job, s.Adopt, s.Part = j, false, true
			h.handle(PeerSubmitted{Shard: "centro", Submission: s, Ended: ended})
			h.handle(PeerCancelled{Cancellation: cancelledJob, Reply: make(chan CancelAnswer, 1)})
			return ended
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for _, origin := range []job.Origin{cancelledJob.Origin, "h/r/"} {
				same := origin == cancelledJob.Origin
				h := leaderOfCentro(t)
				h.handle(DesiredStateLoaded{State: queue.NewState(2, []queue.Queue{
					{Name: "q", Service: "s", Stretch: 1.6, Allowance: 60, MaxAttempts: 2}, {Name: "r", Service: "s", Stretch: 1.6, Allowance: 60, MaxAttempts: 2},
				}, map[queue.ServiceName]queue.Service{"s": {Name: "s", GuardsRoom: true}}, queue.Limits{})})
				j := resubmittedJob().Job
				j.Origin, j.Queue = origin, "r"
				var got job.Outcome
				select {
				case got = <-tt.play(h, j):
				default:
				}
				if cancelled := got == job.Outcome(job.Cancelled{}); cancelled != same {
					t.Errorf("origin of the cancellation %v: got %v, want a cancelled job %v", same, got, same)
				}
			}
		})
	}
}

// arrive delivers a job of a caller of this VM.
func (h *harness) arrive(j job.Job) <-chan job.Outcome {
	ended := make(chan job.Outcome, 1)
	h.handle(JobArrived{Job: j, Limit: 3000, WaitsSince: h.now, Accepted: make(chan job.Key, 1), Ended: ended})
	return ended
}

// Guards against cancellations that fill the memory, and against one that is acknowledged although it is not
// kept.
func TestCancellationsAreBounded(t *testing.T) {
	h := withLeaders(t)
	for i := range maxCancellations {
		h.handle(PeerCancelled{Cancellation: job.Cancellation{Job: job.ID(fmt.Sprintf("%016x", i+2)), Origin: "h/q/"}, Reply: make(chan CancelAnswer, 1)})
	}
	if got := state(h.cancel(clock.Second)); got != "not confirmed" {
		t.Errorf("got %s, want not confirmed", got)
	}
	answers := make(chan CancelAnswer, 1)
	h.handle(PeerCancelled{Cancellation: cancelledJob, Reply: answers})
	if got := (<-answers).Led; len(got) != 0 {
		t.Errorf("got the shards %v confirmed, want none", got)
	}
	if got := len(h.control.cancellations); got != maxCancellations {
		t.Errorf("got %d cancellations, want %d", got, maxCancellations)
	}
}

// Guards against cancellations that nobody confirms and that keep the connections of callers, and against places that
// are not free again once they have been answered.
func TestWaitingCancellationsAreBounded(t *testing.T) {
	h := withLeaders(t)
	h.control.config.MaxCancelWaiters = 2
	for round := range 3 {
		var waiting []<-chan CancelOutcome
		for range 2 {
			waiting = append(waiting, h.cancel(clock.Second))
		}
		if got, want := <-h.cancel(clock.Second), (CancelUnconfirmed{Reason: job.TooManyCancellations}); got != want {
			t.Errorf("round %d: got %v beside two that wait, want %v", round, got, want)
		}
		h.advance(1200)
		for _, w := range waiting {
			if got, want := state(w), "not confirmed"; got != want {
				t.Errorf("round %d: got a cancellation that is %s, want %s", round, got, want)
			}
		}
	}
}
