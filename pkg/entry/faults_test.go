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
	fault func(cl *cluster, a, b, c *node, id contract.SubmissionID)
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
	submitAndRun := func(cl *cluster, via *node, id contract.SubmissionID, duration clock.Millis) {
		cl.submit(via, job(id, 3))
		cl.advance(duration)
	}
	cases := []faultCase{
		{"resubmitted through another VM while running", func(cl *cluster, a, b, c *node, id contract.SubmissionID) {
			submitAndRun(cl, a, id, 50)
			submitAndRun(cl, b, id, 20)
			submitAndRun(cl, c, id, 20)
		}, complete, 3},
		{"resubmitted after the end", func(cl *cluster, a, _, c *node, id contract.SubmissionID) {
			submitAndRun(cl, a, id, clock.Second)
			submitAndRun(cl, c, id, clock.Second)
		}, complete, 3},
		{"issuer crashes after the end", func(cl *cluster, a, _, c *node, id contract.SubmissionID) {
			submitAndRun(cl, a, id, clock.Second)
			a.crashed = true
			submitAndRun(cl, c, id, 5*clock.Second)
		}, complete, 3},
		{"issuer crashes while running", func(cl *cluster, a, _, c *node, id contract.SubmissionID) {
			submitAndRun(cl, a, id, 50)
			a.crashed = true
			cl.advance(5 * clock.Second)
			submitAndRun(cl, c, id, 5*clock.Second)
		}, failed, 3},
		{"issuer crashes before the submission", func(cl *cluster, a, _, c *node, id contract.SubmissionID) {
			a.crashed = true
			cl.advance(5 * clock.Second)
			submitAndRun(cl, c, id, 5*clock.Second)
		}, refused, 0},
		{"issuer crashes before the submission, platform down", func(cl *cluster, a, _, c *node, id contract.SubmissionID) {
			cl.platformDown, a.crashed = true, true
			cl.advance(5 * clock.Second)
			submitAndRun(cl, c, id, 5*clock.Second)
		}, refused, 0},
		{"issuer crashes while running, platform down", func(cl *cluster, a, _, c *node, id contract.SubmissionID) {
			submitAndRun(cl, a, id, 50)
			cl.platformDown, a.crashed = true, true
			cl.advance(5 * clock.Second)
			submitAndRun(cl, c, id, 5*clock.Second)
		}, undecided, 3},
		{"issuer crashes while running, platform's answers lost at first", func(cl *cluster, a, _, c *node, id contract.SubmissionID) {
			submitAndRun(cl, a, id, 50)
			cl.loseAnswers, a.crashed = true, true
			cl.advance(5 * clock.Second)
			submitAndRun(cl, c, id, 5*clock.Second)
			cl.loseAnswers = false
			cl.advance(5 * clock.Second)
		}, failed, 3},
		{"submitted during a partition between issuer and witness", func(cl *cluster, a, b, c *node, id contract.SubmissionID) {
			cl.setPartition(a, b, true)
			submitAndRun(cl, c, id, 8*clock.Second)
			submitAndRun(cl, b, id, 8*clock.Second)
		}, refused, 0},
		{"partition between issuer and witness while running", func(cl *cluster, a, b, c *node, id contract.SubmissionID) {
			cl.runTime = func() clock.Millis { return 500 }
			submitAndRun(cl, a, id, 100)
			cl.setPartition(a, b, true)
			cl.advance(10 * clock.Second)
			submitAndRun(cl, c, id, clock.Second)
		}, complete, 3},
		{"witness crashes while running", func(cl *cluster, a, b, _ *node, id contract.SubmissionID) {
			cl.runTime = func() clock.Millis { return 500 }
			submitAndRun(cl, a, id, 100)
			b.crashed = true
			cl.advance(10 * clock.Second)
		}, complete, 3},
		{"witness crashes while running, platform down for a while", func(cl *cluster, a, b, c *node, id contract.SubmissionID) {
			cl.runTime = func() clock.Millis { return 500 }
			submitAndRun(cl, a, id, 100)
			b.crashed, cl.platformDown = true, true
			cl.advance(10 * clock.Second)
			submitAndRun(cl, c, id, clock.Second)
			cl.platformDown = false
			cl.advance(10 * clock.Second)
		}, complete, 3},
		{"issuer stops between choosing the tasks and sending them, and is fenced", func(cl *cluster, a, _, c *node, id contract.SubmissionID) {
			cl.submit(a, job(id, 3))
			cl.advance(2)
			a.sending = false
			cl.advance(5 * clock.Second)
			a.paused = true
			submitAndRun(cl, c, id, 10*clock.Second)
			submitAndRun(cl, c, id, 5*clock.Second)
			a.resume()
			cl.advance(5 * clock.Second)
		}, failed, 3},
		{"issuer stops before it recorded anything, and is fenced", func(cl *cluster, a, b, c *node, id contract.SubmissionID) {
			a.paused = true
			cl.submit(a, job(id, 3))
			cl.advance(5 * clock.Second)
			submitAndRun(cl, c, id, 5*clock.Second)
			a.resume()
			cl.advance(5 * clock.Second)
			submitAndRun(cl, b, id, clock.Second)
		}, refused, 0},
		{"both the issuer and the witness are lost", func(cl *cluster, a, b, _ *node, id contract.SubmissionID) {
			submitAndRun(cl, a, id, 50)
			a.crashed, b.crashed = true, true
			cl.publishRoster()
			cl.advance(65 * clock.Second)
		}, failed, 3},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			cl := newCluster(t, "a", "b", "c")
			a, b, c := cl.nodes[0], cl.nodes[1], cl.nodes[2]
			id := a.reserve()
			if id.Witness != b.vm.Incarnation {
				t.Fatalf("witness: got %s, want %s", id.Witness, b.vm.Incarnation)
			}
			tc.fault(cl, a, b, c, id)
			cl.ask(c, id)
			cl.advance(5 * clock.Second)
			answer := cl.ask(c, id)
			cl.advance(5 * clock.Second)
			if got := kindOf(*answer); got != tc.want {
				t.Errorf("answer: got %s %v, want %s", got, *answer, tc.want)
			}
			if got := len(cl.starts); got != tc.starts {
				t.Errorf("tasks started: got %d, want %d", got, tc.starts)
			}
			cl.check()
		})
	}
}

// TestWitnessOfNewIDs guards against new ids whose witness does not answer, since their
// submissions are refused once the witness counts as unreachable.
func TestWitnessOfNewIDs(t *testing.T) {
	cl := newCluster(t, "a", "b", "c")
	a, b, c := cl.nodes[0], cl.nodes[1], cl.nodes[2]
	steps := []struct {
		name string
		do   func()
		want *node
	}{
		{"both reachable", func() {}, b},
		{"one call to b failed", func() {
			cl.setPartition(a, b, true)
			cl.submit(a, job(a.reserve(), 1))
			cl.advance(1500)
		}, c},
		{"b answers again", func() {
			cl.setPartition(a, b, false)
			cl.advance(clock.Second)
		}, b},
		{"one call to b and to c failed", func() {
			cl.setPartition(a, b, true)
			cl.submit(a, job(a.reserve(), 1))
			cl.advance(1500)
			cl.setPartition(a, c, true)
			cl.submit(a, job(a.reserve(), 1))
			cl.advance(1200)
		}, b},
		{"b is released, one call to c failed", func() { cl.advance(2500) }, c},
	}
	for _, s := range steps {
		s.do()
		if got := a.reserve().Witness; got != s.want.vm.Incarnation {
			t.Errorf("%s: got witness %s, want %s", s.name, got, s.want.vm.Incarnation)
		}
	}
}
