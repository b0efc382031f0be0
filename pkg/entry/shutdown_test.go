package entry

import (
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// TestShutdownAfterWitnessCrash guards against a graceful shutdown that waits for a crashed
// witness until its time limit.
func TestShutdownAfterWitnessCrash(t *testing.T) {
	s := newSimulation(t, map[datacentre.ID]int{"centro": 3}, 6)
	s.run(5 * clock.Second)
	s.warmUp()
	n := s.node("centro0")
	answer := s.submit(n, 40)
	s.run(100)
	s.node(n.control.roster.Witness().VM()).down = true
	s.run(5 * clock.Second)
	if *answer == nil {
		t.Fatal("got no answer of the job, want one before the shutdown")
	}
	drained := false
	s.waiter++
	s.replies[s.waiter] = func(r Reply) { drained = r.(ShutdownReply).Drained }
	s.handle(n, ShutdownBegun{Waiter: s.waiter})
	s.run(2 * clock.Second)
	if got, want := drained, true; got != want {
		t.Errorf("drained 2 s after the shutdown began: got %v, want %v", got, want)
	}
}
