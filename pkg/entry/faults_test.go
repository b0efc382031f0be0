package entry

import (
	"fmt"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
)

// faultCase is one fault for a submission of three tasks, which is issued by VM a (its witness
// b is in the same data centre) and requested through VM c (in another data centre).
type faultCase struct {
	name  string
	fault func(w *cluster, a, b, c *node, id contract.SubmissionID)
	want  string
	// starts is the total number of tasks that started.
	starts int
}

func kindOf(a contract.Answer) string {
	return fmt.Sprintf("%T", a)
}

// TestFaults guards against second starts, partial answers, false refusals and differing final
// answers after each single fault.
func TestFaults(t *testing.T) {
	const (
		complete  = "contract.Complete"
		failed    = "contract.Failed"
		refused   = "contract.Refused"
		undecided = "contract.CannotTellYet"
	)
	submitAndRun := func(w *cluster, via *node, id contract.SubmissionID, span clock.Millis) {
		w.submit(via, job(id, 3))
		w.advance(span)
	}
	cases := []faultCase{
		{"resubmitted through another VM while running", func(w *cluster, a, b, c *node, id contract.SubmissionID) {
			submitAndRun(w, a, id, 50)
			submitAndRun(w, b, id, 20)
			submitAndRun(w, c, id, 20)
		}, complete, 3},
		{"resubmitted after the end", func(w *cluster, a, _, c *node, id contract.SubmissionID) {
			submitAndRun(w, a, id, clock.Second)
			submitAndRun(w, c, id, clock.Second)
		}, complete, 3},
		{"issuer crashes after the end", func(w *cluster, a, _, c *node, id contract.SubmissionID) {
			submitAndRun(w, a, id, clock.Second)
			a.crashed = true
			submitAndRun(w, c, id, 5*clock.Second)
		}, complete, 3},
		{"issuer crashes while running", func(w *cluster, a, _, c *node, id contract.SubmissionID) {
			submitAndRun(w, a, id, 50)
			a.crashed = true
			w.advance(5 * clock.Second)
			submitAndRun(w, c, id, 5*clock.Second)
		}, failed, 3},
		{"issuer crashes before the submission", func(w *cluster, a, _, c *node, id contract.SubmissionID) {
			a.crashed = true
			w.advance(5 * clock.Second)
			submitAndRun(w, c, id, 5*clock.Second)
		}, refused, 0},
		{"issuer crashes before the submission, platform down", func(w *cluster, a, _, c *node, id contract.SubmissionID) {
			w.platformDown, a.crashed = true, true
			w.advance(5 * clock.Second)
			submitAndRun(w, c, id, 5*clock.Second)
		}, refused, 0},
		{"issuer crashes while running, platform down", func(w *cluster, a, _, c *node, id contract.SubmissionID) {
			submitAndRun(w, a, id, 50)
			w.platformDown, a.crashed = true, true
			w.advance(5 * clock.Second)
			submitAndRun(w, c, id, 5*clock.Second)
		}, undecided, 3},
		{"issuer crashes while running, platform's answers lost at first", func(w *cluster, a, _, c *node, id contract.SubmissionID) {
			submitAndRun(w, a, id, 50)
			w.loseAnswers, a.crashed = true, true
			w.advance(5 * clock.Second)
			submitAndRun(w, c, id, 5*clock.Second)
			w.loseAnswers = false
			w.advance(5 * clock.Second)
		}, failed, 3},
		{"submitted during a partition between issuer and witness", func(w *cluster, a, b, c *node, id contract.SubmissionID) {
			w.setPartition(a, b, true)
			submitAndRun(w, c, id, 8*clock.Second)
			submitAndRun(w, b, id, 8*clock.Second)
		}, refused, 0},
		{"partition between issuer and witness while running", func(w *cluster, a, b, c *node, id contract.SubmissionID) {
			w.runTime = func() clock.Millis { return 500 }
			submitAndRun(w, a, id, 100)
			w.setPartition(a, b, true)
			w.advance(10 * clock.Second)
			submitAndRun(w, c, id, clock.Second)
		}, complete, 3},
		{"witness crashes while running", func(w *cluster, a, b, _ *node, id contract.SubmissionID) {
			w.runTime = func() clock.Millis { return 500 }
			submitAndRun(w, a, id, 100)
			b.crashed = true
			w.advance(10 * clock.Second)
		}, complete, 3},
		{"witness crashes while running, platform down for a while", func(w *cluster, a, b, c *node, id contract.SubmissionID) {
			w.runTime = func() clock.Millis { return 500 }
			submitAndRun(w, a, id, 100)
			b.crashed, w.platformDown = true, true
			w.advance(10 * clock.Second)
			submitAndRun(w, c, id, clock.Second)
			w.platformDown = false
			w.advance(10 * clock.Second)
		}, complete, 3},
		{"issuer stops between choosing the tasks and sending them, and is fenced", func(w *cluster, a, _, c *node, id contract.SubmissionID) {
			w.submit(a, job(id, 3))
			w.advance(2)
			a.sending = false
			w.advance(5 * clock.Second)
			a.paused = true
			submitAndRun(w, c, id, 10*clock.Second)
			submitAndRun(w, c, id, 5*clock.Second)
			a.resume()
			w.advance(5 * clock.Second)
		}, failed, 3},
		{"issuer stops before it recorded anything, and is fenced", func(w *cluster, a, b, c *node, id contract.SubmissionID) {
			a.paused = true
			w.submit(a, job(id, 3))
			w.advance(5 * clock.Second)
			submitAndRun(w, c, id, 5*clock.Second)
			a.resume()
			w.advance(5 * clock.Second)
			submitAndRun(w, b, id, clock.Second)
		}, refused, 0},
		{"both the issuer and the witness are lost", func(w *cluster, a, b, _ *node, id contract.SubmissionID) {
			submitAndRun(w, a, id, 50)
			a.crashed, b.crashed = true, true
			w.publishRoster()
			w.advance(65 * clock.Second)
		}, failed, 3},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			w := newCluster(t, "a", "b", "c")
			a, b, c := w.nodes[0], w.nodes[1], w.nodes[2]
			id := a.reserve()
			if id.Witness != b.vm.Incarnation {
				t.Fatalf("witness: got %s, want %s", id.Witness, b.vm.Incarnation)
			}
			tc.fault(w, a, b, c, id)
			w.ask(c, id)
			w.advance(5 * clock.Second)
			answer := w.ask(c, id)
			w.advance(5 * clock.Second)
			if got := kindOf(*answer); got != tc.want {
				t.Errorf("answer: got %s %v, want %s", got, *answer, tc.want)
			}
			if got := len(w.starts); got != tc.starts {
				t.Errorf("tasks started: got %d, want %d", got, tc.starts)
			}
			w.check()
		})
	}
}

// TestWitnessOfNewIDs guards against new ids whose witness does not answer, since their
// submissions are refused once the witness counts as unreachable.
func TestWitnessOfNewIDs(t *testing.T) {
	w := newCluster(t, "a", "b", "c")
	a, b, c := w.nodes[0], w.nodes[1], w.nodes[2]
	steps := []struct {
		name string
		do   func()
		want *node
	}{
		{"both reachable", func() {}, b},
		{"one call to b failed", func() {
			w.setPartition(a, b, true)
			w.submit(a, job(a.reserve(), 1))
			w.advance(1500)
		}, c},
		{"b answers again", func() {
			w.setPartition(a, b, false)
			w.advance(clock.Second)
		}, b},
		{"one call to b and to c failed", func() {
			w.setPartition(a, b, true)
			w.submit(a, job(a.reserve(), 1))
			w.advance(1500)
			w.setPartition(a, c, true)
			w.submit(a, job(a.reserve(), 1))
			w.advance(1200)
		}, b},
		{"b is released, one call to c failed", func() { w.advance(2500) }, c},
	}
	for _, s := range steps {
		s.do()
		if got := a.reserve().Witness; got != s.want.vm.Incarnation {
			t.Errorf("%s: got witness %s, want %s", s.name, got, s.want.vm.Incarnation)
		}
	}
}
