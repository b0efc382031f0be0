package entry

import (
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// TestShutdownHandsOverHomes guards against a VM that shuts down and is still home VM or
// witness for the others, and against tasks that it cannot end once its endpoints have other
// home VMs.
func TestShutdownHandsOverHomes(t *testing.T) {
	cases := []struct {
		name string
		vms  int
		// wantHomeVM is whether the VM remains the home VM of its endpoints.
		wantHomeVM bool
	}{
		{"others take over", 3, false},
		{"the only VM ends its own work", 1, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSimulation(t, map[datacentre.ID]int{"centro": c.vms}, 12)
			s.run(5 * clock.Second)
			leaving := s.node("centro0")
			answer := s.submit(leaving, 200)
			s.run(100)
			s.waiter++
			drained := false
			s.replies[s.waiter] = func(Reply) { drained = true }
			s.handle(leaving, ShutdownBegun{Waiter: s.waiter})
			s.run(clock.Second)
			for _, n := range s.nodes {
				for _, e := range s.endpoints {
					home, _ := n.control.roster.Home(e.ID, e.DataCentre)
					if got := home.Incarnation == leaving.vm.Incarnation; got != c.wantHomeVM {
						t.Fatalf("got the leaving VM as home VM of %s at %s: %v, want %v", e.ID, n.vm.Incarnation, got, c.wantHomeVM)
					}
				}
				if n != leaving && n.control.roster.Witness() == leaving.vm.Incarnation {
					t.Errorf("got the leaving VM as witness of %s", n.vm.Incarnation)
				}
			}
			s.run(20 * clock.Second)
			if _, ok := (*answer).(contract.Complete); !ok || !drained {
				t.Errorf("got answer %#v, drained %v; want complete and drained", *answer, drained)
			}
			if s.overcommits > 20 {
				t.Errorf("got %d busy answers, want at most 20 while home VMs change", s.overcommits)
			}
		})
	}
}
