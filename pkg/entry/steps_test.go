package entry

import (
	"fmt"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
)

// TestSteps guards against wrong answers at each step of a submission of two tasks:
// cancellation, conflict, other owners, full and expired records, retention periods, retries
// and duplicate answers.
func TestSteps(t *testing.T) {
	slow := func(cl *cluster) { cl.runTime = func() clock.Millis { return 500 } }
	busy := func(cl *cluster, a *node) {
		slow(cl)
		cl.submit(a, job(a.reserve(), 4))
		cl.advance(20)
	}
	ambiguous := func(cl *cluster) {
		cl.result = func() contract.AttemptResult { return contract.Ambiguous{Reason: "cut off"} }
	}
	cases := []struct {
		name   string
		do     func(cl *cluster, a, b *node, s contract.Submission)
		want   string
		starts int
	}{
		{"cancelled before the submission", func(cl *cluster, a, _ *node, s contract.Submission) {
			cl.cancel(a, s.ID)
		}, "contract.NotFound", 0},
		{"cancelled while queued", func(cl *cluster, a, _ *node, s contract.Submission) {
			busy(cl, a)
			cl.submit(a, s)
			cl.advance(20)
			cl.cancel(a, s.ID)
		}, "contract.Refused", 0},
		{"cancelled while the record is in flight", func(cl *cluster, a, b *node, s contract.Submission) {
			cl.setPartition(a, b, true)
			cl.submit(a, s)
			cl.advance(20)
			cl.cancel(a, s.ID)
			cl.advance(20)
			cl.setPartition(a, b, false)
			cl.advance(3 * clock.Second)
		}, "contract.Refused", 0},
		{"cancelled while running", func(cl *cluster, a, b *node, s contract.Submission) {
			slow(cl)
			cl.submit(a, s)
			cl.advance(100)
			cl.cancel(b, s.ID)
		}, "contract.Complete", 2},
		{"cancelled with one task running", func(cl *cluster, a, b *node, s contract.Submission) {
			slow(cl)
			cl.submit(a, job(a.reserve(), 3))
			cl.advance(20)
			cl.submit(a, s)
			cl.advance(100)
			cl.cancel(b, s.ID)
		}, "contract.Failed", 1},
		{"cancelled after the end", func(cl *cluster, a, b *node, s contract.Submission) {
			cl.submit(a, s)
			cl.advance(clock.Second)
			cl.cancel(b, s.ID)
		}, "contract.Complete", 2},
		{"cancelled while the pair row is undecided", func(cl *cluster, a, b *node, s contract.Submission) {
			cl.platformDown = true
			cl.setPartition(a, b, true)
			cl.submit(a, s)
			cl.advance(6 * clock.Second)
			cl.cancel(a, s.ID)
			cl.platformDown = false
			cl.advance(3 * clock.Second)
		}, "contract.Refused", 0},
		{"other content under the same id", func(cl *cluster, a, _ *node, s contract.Submission) {
			cl.submit(a, job(s.ID, 1))
			cl.advance(clock.Second)
			if got := cl.submit(a, s); settle(cl, got) != "contract.Conflict" {
				cl.t.Errorf("answer: got %v, want conflict", *got)
			}
			cl.taskCounts[s.ID] = 1
		}, "contract.Complete", 1},
		{"queried at the witness by another owner", func(cl *cluster, a, b *node, s contract.Submission) {
			cl.submit(a, s)
			cl.advance(clock.Second)
			var got contract.Answer
			b.ask(func(id WaiterID) Event { return WitnessAnswerRequested{Waiter: id, ID: s.ID, Owner: "other"} }, func(r Reply) { got = r.(AnswerReply).Answer })
			if kindOf(got) != "contract.NotFound" {
				cl.t.Errorf("answer: got %v, want not found", got)
			}
		}, "contract.Complete", 2},
		{"issuer restarted under the same name", func(cl *cluster, a, _ *node, s contract.Submission) {
			cl.submit(a, s)
			cl.advance(20)
			a.crashed = true
			cl.publishRoster()
			cl.advance(5 * clock.Second)
		}, "contract.Failed", 2},
		{"witness is full", func(cl *cluster, a, b *node, s contract.Submission) {
			b.control.witness = contract.NewWitness(contract.WitnessConfig{Self: b.vm.Incarnation})
			cl.submit(a, s)
		}, "contract.Refused", 0},
		{"ledger is full", func(cl *cluster, a, _ *node, s contract.Submission) {
			a.control.ledger = contract.NewLedger(contract.Limits{IDs: 1, Bytes: 1})
			cl.submit(a, s)
		}, "contract.Refused", 0},
		{"submitted after the start window", func(cl *cluster, a, _ *node, s contract.Submission) {
			cl.advance(contract.StartWindow + 1)
			cl.submit(a, s)
		}, "contract.Expired", 0},
		{"not started within the start window", func(cl *cluster, a, _ *node, s contract.Submission) {
			cl.runTime = func() clock.Millis { return contract.StartWindow }
			cl.submit(a, job(a.reserve(), 4))
			cl.advance(20)
			cl.submit(a, s)
			cl.advance(contract.StartWindow + clock.Second)
		}, "contract.Refused", 0},
		{"retained within the retention window", func(cl *cluster, a, _ *node, s contract.Submission) {
			cl.submit(a, s)
			cl.advance(contract.RetentionWindow - 15*clock.Second)
		}, "contract.Complete", 2},
		{"expired after the retention window", func(cl *cluster, a, _ *node, s contract.Submission) {
			cl.submit(a, s)
			cl.advance(contract.RetentionWindow + clock.Second)
			cl.submit(a, s)
		}, "contract.Expired", 2},
		{"expired at the witness after the retention window", func(cl *cluster, a, _ *node, s contract.Submission) {
			cl.submit(a, s)
			cl.advance(contract.RetentionWindow + clock.Second)
			a.crashed = true
			cl.advance(5 * clock.Second)
		}, "contract.Expired", 2},
		{"found busy after the witness was released", func(cl *cluster, a, b *node, s contract.Submission) {
			cl.runTime = func() clock.Millis { return 8 * clock.Second }
			cl.result = func() contract.AttemptResult { return contract.NotStarted{} }
			cl.submit(a, s)
			cl.advance(100)
			cl.setPartition(a, b, true)
			cl.submit(a, job(a.reserve(), 1))
			cl.advance(6 * clock.Second)
			cl.runTime = func() clock.Millis { return 100 }
			cl.result = func() contract.AttemptResult { return contract.Succeeded{Result: []byte("r")} }
			cl.advance(5 * clock.Second)
			cl.setPartition(a, b, false)
		}, "contract.Complete", 2},
		{"ends ambiguously, not marked", func(cl *cluster, a, _ *node, s contract.Submission) {
			ambiguous(cl)
			for range 10 {
				cl.submit(a, job(a.reserve(), 4))
			}
			cl.submit(a, s)
			cl.advance(3 * clock.Second)
		}, "contract.Failed", 2},
		{"duplicate answers and answers under a wrong id", func(cl *cluster, a, _ *node, s contract.Submission) {
			slow(cl)
			cl.submit(a, s)
			cl.advance(20)
			for _, e := range a.attempts {
				e.Attempt.Submission = a.reserve()
				a.handle(e)
			}
			cl.advance(clock.Second)
			for _, e := range a.attempts {
				a.handle(e)
			}
			busy(cl, a)
			cl.submit(a, job(a.reserve(), 4))
			cl.advance(20)
			if got := cl.running; got != nodeSlots {
				cl.t.Errorf("tasks running: got %d, want %d", got, nodeSlots)
			}
		}, "contract.Complete", 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			cl := newCluster(t, "a", "b")
			a, b := cl.nodes[0], cl.nodes[1]
			id := a.reserve()
			tc.do(cl, a, b, job(id, 2))
			cl.advance(2 * clock.Second)
			cl.ask(b, id)
			cl.advance(4 * clock.Second)
			if got := settle(cl, cl.ask(b, id)); got != tc.want {
				t.Errorf("answer: got %s, want %s", got, tc.want)
			}
			if got := cl.starts[startKey(id, 0)] + cl.starts[startKey(id, 1)]; got != tc.starts {
				t.Errorf("starts: got %d, want %d", got, tc.starts)
			}
			cl.check()
		})
	}
}

func settle(cl *cluster, a *contract.Answer) string {
	cl.advance(3 * clock.Second)
	return kindOf(*a)
}

// TestRetries guards against a retry of a task not marked as repeatable, and against more than
// two retries of a request or more retries than a tenth of the starts.
func TestRetries(t *testing.T) {
	cases := []struct {
		name       string
		repeatable bool
		before     int
		tasks      int
		result     contract.AttemptResult
		attempts   int
		want       string
	}{
		{"marked, ambiguous, budget for two", true, 40, 1, contract.Ambiguous{}, 3, "contract.Failed"},
		{"marked, ambiguous, budget for one", true, 12, 1, contract.Ambiguous{}, 2, "contract.Failed"},
		{"marked, ambiguous, no budget", true, 4, 1, contract.Ambiguous{}, 1, "contract.Failed"},
		{"marked, ran and failed", true, 40, 1, contract.RanAndFailed{}, 1, "contract.Failed"},
		{"marked, but two tasks", true, 40, 2, contract.Ambiguous{}, 2, "contract.Failed"},
		{"not marked", false, 40, 1, contract.Ambiguous{}, 1, "contract.Failed"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			cl := newCluster(t, "a", "b")
			a, b := cl.nodes[0], cl.nodes[1]
			for range tc.before / 4 {
				cl.submit(a, job(a.reserve(), 4))
			}
			cl.advance(10 * clock.Second)
			cl.result = func() contract.AttemptResult { return tc.result }
			s := job(a.reserve(), tc.tasks)
			s.Repeatable = tc.repeatable
			cl.submit(a, s)
			cl.advance(5 * clock.Second)
			if got := settle(cl, cl.ask(b, s.ID)); got != tc.want {
				t.Errorf("answer: got %s, want %s", got, tc.want)
			}
			if got := cl.starts[startKey(s.ID, 0)] + cl.starts[startKey(s.ID, 1)]; got != tc.attempts {
				t.Errorf("attempts: got %d, want %d", got, tc.attempts)
			}
		})
	}
}

// TestShutdown guards against running tasks that a shutdown interrupts, and against answers
// that are lost with the VM.
func TestShutdown(t *testing.T) {
	cases := []struct {
		name  string
		fault func(cl *cluster, a, b *node)
		done  bool
		want  string
	}{
		{"work in flight", func(*cluster, *node, *node) {}, true, "contract.Complete"},
		{"witness cut off, work in flight", func(cl *cluster, a, b *node) {
			cl.setPartition(a, b, true)
			cl.advance(10 * clock.Second)
			cl.setPartition(a, b, false)
		}, true, "contract.Complete"},
		{"witness and platform unreachable", func(cl *cluster, a, b *node) {
			cl.setPartition(a, b, true)
			cl.platformDown = true
		}, false, "contract.CannotTellYet"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			cl := newCluster(t, "a", "b", "c")
			a, b, c := cl.nodes[0], cl.nodes[1], cl.nodes[2]
			cl.runTime = func() clock.Millis { return 500 }
			id, late := a.reserve(), a.reserve()
			cl.submit(a, job(id, 8))
			cl.advance(100)
			done := false
			a.ask(func(id WaiterID) Event { return ShutdownBegun{Waiter: id} }, func(Reply) { done = true })
			tc.fault(cl, a, b)
			refused := cl.submit(c, job(late, 1))
			if settle(cl, refused) != "contract.Refused" && tc.done {
				t.Errorf("answer while draining: got %v, want a refusal", *refused)
			}
			cl.advance(20 * clock.Second)
			if done != tc.done {
				t.Errorf("drained: got %t, want %t", done, tc.done)
			}
			a.crashed = true
			cl.ask(c, id)
			cl.ask(c, late)
			cl.advance(5 * clock.Second)
			again := cl.ask(c, late)
			settle(cl, again)
			if got, want := fmt.Sprint(*again), fmt.Sprint(*refused); tc.done && got != want {
				t.Errorf("refusal while draining, requested again: got %s, want %s", got, want)
			}
			if got := settle(cl, cl.ask(c, id)); tc.done && got != tc.want {
				t.Errorf("answer: got %s, want %s", got, tc.want)
			}
			cl.check()
		})
	}
}
