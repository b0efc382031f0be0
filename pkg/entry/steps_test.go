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
	slow := func(w *cluster) { w.runTime = func() clock.Millis { return 500 } }
	busy := func(w *cluster, a *node) {
		slow(w)
		w.submit(a, job(a.reserve(), 4))
		w.advance(20)
	}
	ambiguous := func(w *cluster) {
		w.result = func() contract.AttemptResult { return contract.Ambiguous{Reason: "cut off"} }
	}
	cases := []struct {
		name   string
		do     func(w *cluster, a, b *node, s contract.Submission)
		want   string
		starts int
	}{
		{"cancelled before the submission", func(w *cluster, a, _ *node, s contract.Submission) {
			w.cancel(a, s.ID)
		}, "contract.NotFound", 0},
		{"cancelled while queued", func(w *cluster, a, _ *node, s contract.Submission) {
			busy(w, a)
			w.submit(a, s)
			w.advance(20)
			w.cancel(a, s.ID)
		}, "contract.Refused", 0},
		{"cancelled while the record is in flight", func(w *cluster, a, b *node, s contract.Submission) {
			w.setPartition(a, b, true)
			w.submit(a, s)
			w.advance(20)
			w.cancel(a, s.ID)
			w.advance(20)
			w.setPartition(a, b, false)
			w.advance(3 * clock.Second)
		}, "contract.Refused", 0},
		{"cancelled while running", func(w *cluster, a, b *node, s contract.Submission) {
			slow(w)
			w.submit(a, s)
			w.advance(100)
			w.cancel(b, s.ID)
		}, "contract.Complete", 2},
		{"cancelled with one task running", func(w *cluster, a, b *node, s contract.Submission) {
			slow(w)
			w.submit(a, job(a.reserve(), 3))
			w.advance(20)
			w.submit(a, s)
			w.advance(100)
			w.cancel(b, s.ID)
		}, "contract.Failed", 1},
		{"cancelled after the end", func(w *cluster, a, b *node, s contract.Submission) {
			w.submit(a, s)
			w.advance(clock.Second)
			w.cancel(b, s.ID)
		}, "contract.Complete", 2},
		{"cancelled while the pair row is undecided", func(w *cluster, a, b *node, s contract.Submission) {
			w.platformDown = true
			w.setPartition(a, b, true)
			w.submit(a, s)
			w.advance(6 * clock.Second)
			w.cancel(a, s.ID)
			w.platformDown = false
			w.advance(3 * clock.Second)
		}, "contract.Refused", 0},
		{"other content under the same id", func(w *cluster, a, _ *node, s contract.Submission) {
			w.submit(a, job(s.ID, 1))
			w.advance(clock.Second)
			if got := w.submit(a, s); settle(w, got) != "contract.Conflict" {
				w.t.Errorf("answer: got %v, want conflict", *got)
			}
			w.taskCounts[s.ID] = 1
		}, "contract.Complete", 1},
		{"queried at the witness by another owner", func(w *cluster, a, b *node, s contract.Submission) {
			w.submit(a, s)
			w.advance(clock.Second)
			var got contract.Answer
			b.ask(func(id WaiterID) Event { return WitnessAnswerRequested{Waiter: id, ID: s.ID, Owner: "other"} }, func(r Reply) { got = r.(AnswerReply).Answer })
			if kindOf(got) != "contract.NotFound" {
				w.t.Errorf("answer: got %v, want not found", got)
			}
		}, "contract.Complete", 2},
		{"issuer restarted under the same name", func(w *cluster, a, _ *node, s contract.Submission) {
			w.submit(a, s)
			w.advance(20)
			a.crashed = true
			w.publishRoster()
			w.advance(5 * clock.Second)
		}, "contract.Failed", 2},
		{"witness is full", func(w *cluster, a, b *node, s contract.Submission) {
			b.control.witness = contract.NewWitness(contract.WitnessConfig{Self: b.vm.Incarnation})
			w.submit(a, s)
		}, "contract.Refused", 0},
		{"ledger is full", func(w *cluster, a, _ *node, s contract.Submission) {
			a.control.ledger = contract.NewLedger(contract.Limits{IDs: 1, Bytes: 1})
			w.submit(a, s)
		}, "contract.Refused", 0},
		{"submitted after the start window", func(w *cluster, a, _ *node, s contract.Submission) {
			w.advance(contract.StartWindow + 1)
			w.submit(a, s)
		}, "contract.Expired", 0},
		{"not started within the start window", func(w *cluster, a, _ *node, s contract.Submission) {
			w.runTime = func() clock.Millis { return contract.StartWindow }
			w.submit(a, job(a.reserve(), 4))
			w.advance(20)
			w.submit(a, s)
			w.advance(contract.StartWindow + clock.Second)
		}, "contract.Refused", 0},
		{"retained within the retention window", func(w *cluster, a, _ *node, s contract.Submission) {
			w.submit(a, s)
			w.advance(contract.RetentionWindow - 15*clock.Second)
		}, "contract.Complete", 2},
		{"expired after the retention window", func(w *cluster, a, _ *node, s contract.Submission) {
			w.submit(a, s)
			w.advance(contract.RetentionWindow + clock.Second)
			w.submit(a, s)
		}, "contract.Expired", 2},
		{"expired at the witness after the retention window", func(w *cluster, a, _ *node, s contract.Submission) {
			w.submit(a, s)
			w.advance(contract.RetentionWindow + clock.Second)
			a.crashed = true
			w.advance(5 * clock.Second)
		}, "contract.Expired", 2},
		{"found busy after the witness was released", func(w *cluster, a, b *node, s contract.Submission) {
			w.runTime = func() clock.Millis { return 8 * clock.Second }
			w.result = func() contract.AttemptResult { return contract.NotStarted{} }
			w.submit(a, s)
			w.advance(100)
			w.setPartition(a, b, true)
			w.submit(a, job(a.reserve(), 1))
			w.advance(6 * clock.Second)
			w.runTime = func() clock.Millis { return 100 }
			w.result = func() contract.AttemptResult { return contract.Succeeded{Result: []byte("r")} }
			w.advance(5 * clock.Second)
			w.setPartition(a, b, false)
		}, "contract.Complete", 2},
		{"ends ambiguously, not marked", func(w *cluster, a, _ *node, s contract.Submission) {
			ambiguous(w)
			for range 10 {
				w.submit(a, job(a.reserve(), 4))
			}
			w.submit(a, s)
			w.advance(3 * clock.Second)
		}, "contract.Failed", 2},
		{"duplicate answers and answers under a wrong id", func(w *cluster, a, _ *node, s contract.Submission) {
			slow(w)
			w.submit(a, s)
			w.advance(20)
			for _, e := range a.attempts {
				e.Attempt.Submission = a.reserve()
				a.handle(e)
			}
			w.advance(clock.Second)
			for _, e := range a.attempts {
				a.handle(e)
			}
			busy(w, a)
			w.submit(a, job(a.reserve(), 4))
			w.advance(20)
			if got := w.running; got != nodeSlots {
				w.t.Errorf("tasks running: got %d, want %d", got, nodeSlots)
			}
		}, "contract.Complete", 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			w := newCluster(t, "a", "b")
			a, b := w.nodes[0], w.nodes[1]
			id := a.reserve()
			tc.do(w, a, b, job(id, 2))
			w.advance(2 * clock.Second)
			w.ask(b, id)
			w.advance(4 * clock.Second)
			if got := settle(w, w.ask(b, id)); got != tc.want {
				t.Errorf("answer: got %s, want %s", got, tc.want)
			}
			if got := w.starts[startKey(id, 0)] + w.starts[startKey(id, 1)]; got != tc.starts {
				t.Errorf("starts: got %d, want %d", got, tc.starts)
			}
			w.check()
		})
	}
}

func settle(w *cluster, a *contract.Answer) string {
	w.advance(3 * clock.Second)
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
			w := newCluster(t, "a", "b")
			a, b := w.nodes[0], w.nodes[1]
			for range tc.before / 4 {
				w.submit(a, job(a.reserve(), 4))
			}
			w.advance(10 * clock.Second)
			w.result = func() contract.AttemptResult { return tc.result }
			s := job(a.reserve(), tc.tasks)
			s.Repeatable = tc.repeatable
			w.submit(a, s)
			w.advance(5 * clock.Second)
			if got := settle(w, w.ask(b, s.ID)); got != tc.want {
				t.Errorf("answer: got %s, want %s", got, tc.want)
			}
			if got := w.starts[startKey(s.ID, 0)] + w.starts[startKey(s.ID, 1)]; got != tc.attempts {
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
		fault func(w *cluster, a, b *node)
		done  bool
		want  string
	}{
		{"work in flight", func(*cluster, *node, *node) {}, true, "contract.Complete"},
		{"witness cut off, work in flight", func(w *cluster, a, b *node) {
			w.setPartition(a, b, true)
			w.advance(10 * clock.Second)
			w.setPartition(a, b, false)
		}, true, "contract.Complete"},
		{"witness and platform unreachable", func(w *cluster, a, b *node) {
			w.setPartition(a, b, true)
			w.platformDown = true
		}, false, "contract.CannotTellYet"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			w := newCluster(t, "a", "b", "c")
			a, b, c := w.nodes[0], w.nodes[1], w.nodes[2]
			w.runTime = func() clock.Millis { return 500 }
			id, late := a.reserve(), a.reserve()
			w.submit(a, job(id, 8))
			w.advance(100)
			done := false
			a.ask(func(id WaiterID) Event { return ShutdownBegun{Waiter: id} }, func(Reply) { done = true })
			tc.fault(w, a, b)
			refused := w.submit(c, job(late, 1))
			if settle(w, refused) != "contract.Refused" && tc.done {
				t.Errorf("answer while draining: got %v, want a refusal", *refused)
			}
			w.advance(20 * clock.Second)
			if done != tc.done {
				t.Errorf("drained: got %t, want %t", done, tc.done)
			}
			a.crashed = true
			w.ask(c, id)
			w.ask(c, late)
			w.advance(5 * clock.Second)
			again := w.ask(c, late)
			settle(w, again)
			if got, want := fmt.Sprint(*again), fmt.Sprint(*refused); tc.done && got != want {
				t.Errorf("refusal while draining, requested again: got %s, want %s", got, want)
			}
			if got := settle(w, w.ask(c, id)); tc.done && got != tc.want {
				t.Errorf("answer: got %s, want %s", got, tc.want)
			}
			w.check()
		})
	}
}
