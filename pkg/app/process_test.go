package app

import (
	"syscall"
	"testing"
	"time"

	"github.com/sequoiacart/sequoiacart/pkg/submit"
)

var fiveTasks = submit.Job{Kind: "sleep", Class: "urgent", Payloads: []string{
	`{"runMs":300}`, `{"runMs":300}`, `{"runMs":300}`, `{"runMs":300}`, `{"runMs":300}`,
}}

// Guards against repeated starts, partial answers, false refusals and jobs that never finish when
// the issuer of the jobs is killed, paused or disconnected while they run.
func TestIssuerInTrouble(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	const jobs = 20
	scenarios := []struct {
		name string
		// trouble injects a fault while jobs run; the returned function runs after all
		// jobs have finished.
		trouble func(t *testing.T, issuer *process, links []*relay) (after func())
	}{
		{name: "killed", trouble: func(t *testing.T, issuer *process, _ []*relay) func() {
			issuer.signal(t, syscall.SIGKILL)
			return func() {}
		}},
		{name: "paused past every timeout and resumed", trouble: func(t *testing.T, issuer *process, _ []*relay) func() {
			issuer.signal(t, syscall.SIGSTOP)
			return func() { issuer.signal(t, syscall.SIGCONT) }
		}},
		{name: "cut from its peer", trouble: func(_ *testing.T, _ *process, links []*relay) func() {
			for _, r := range links {
				r.setCut(true)
			}
			return func() {
				for _, r := range links {
					r.setCut(false)
				}
			}
		}},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			s := newSite(t, 4)
			links := []*relay{newRelay(t), newRelay(t)}
			issuer, other := s.start("vm1", links[0]), s.start("vm2", links[1])
			s.waitFor("the peers to know each other", func() bool { return s.platform.RowCount("vm/") == 2 })
			c := s.client(issuer, other)
			warmUp := s.submitJobs(c, 1, fiveTasks)
			s.checkOutcomes(c, warmUp, 1, fiveTasks)
			outcomes := s.submitJobs(c, jobs, fiveTasks)
			s.waitFor("the first starts", func() bool { return s.starts.Total() > 2*len(fiveTasks.Payloads) })
			after := sc.trouble(t, issuer, links)
			ends := s.checkOutcomes(c, outcomes, jobs, fiveTasks)
			t.Logf("ends: %v", ends)
			after()
			// A VM that resumes must not start tasks that others reported as not run.
			late := s.submitJobs(s.client(other, other), 1, fiveTasks)
			s.checkOutcomes(c, late, 1, fiveTasks)
		})
	}
}

// Guards against a graceful shutdown that cuts off requests in flight or loses their answers.
func TestTerminateWithWorkInFlight(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	const jobs = 20
	s := newSite(t, 4)
	issuer, other := s.start("vm1", nil), s.start("vm2", nil)
	s.waitFor("the peers to know each other", func() bool { return s.platform.RowCount("vm/") == 2 })
	c := s.client(issuer, other)
	warmUp := s.submitJobs(c, 1, fiveTasks)
	s.checkOutcomes(c, warmUp, 1, fiveTasks)
	outcomes := s.submitJobs(c, jobs, fiveTasks)
	s.waitFor("the first starts", func() bool { return s.starts.Total() > 2*len(fiveTasks.Payloads) })
	issuer.signal(t, syscall.SIGTERM)
	select {
	case err := <-issuer.exited:
		if err != nil {
			t.Errorf("exit of the terminated VM: got %v, want success", err)
		}
	case <-time.After(hangAfter):
		t.Fatal("the terminated VM does not exit")
	}
	ends := s.checkOutcomes(c, outcomes, jobs, fiveTasks)
	if got, want := ends["failed"], 0; got != want {
		t.Errorf("jobs failed by a graceful shutdown: got %d, want %d", got, want)
	}
}

// Guards against a VM that accepts work before it has a bundle, and against one that never becomes
// ready if the platform starts after it.
func TestPlatformDownFromTheStart(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	s := newSite(t, 1)
	s.platform.SetDown(true)
	p := s.launch("vm1", nil)
	if got, want := p.ready(), false; got != want {
		t.Errorf("readiness without a bundle: got %v, want %v", got, want)
	}
	s.platform.SetDown(false)
	s.waitFor("readiness", p.ready)
	c := s.client(p, p)
	s.checkOutcomes(c, s.submitJobs(c, 1, fiveTasks), 1, fiveTasks)
}
