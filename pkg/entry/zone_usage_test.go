package entry

import (
	"fmt"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/accounting"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// Guards against figures that stop at a data centre's border, vanish with it, look newer
// than they are, or are lost or counted twice through cuts and restarts. Before each case,
// centro has started 40 tasks of ads, and norte 10 of ads and 25 of alerts.
func TestUsageOfOtherDataCentres(t *testing.T) {
	const fresh = 6 * clock.Second
	cutSur := func(from, to vm.VM) bool { return (from.DataCentre == "sur") != (to.DataCentre == "sur") }
	tests := []struct {
		name string
		act  func(s *simulation)
		// want is the number of started tasks of each owner at each data centre, as the VM
		// named knows it, and whether the figures are old.
		want map[vm.ID]string
		old  map[vm.ID]string
	}{
		{
			"all in reach", func(*simulation) {},
			map[vm.ID]string{
				"centro0": "centro 40 0, norte 10 25, sur 0 0, in all 50 25",
				"centro2": "centro 40 0, norte 10 25, sur 0 0, in all 50 25",
				"sur1":    "centro 40 0, norte 10 25, sur 0 0, in all 50 25",
			},
			nil,
		},
		{
			"a data centre is cut off", func(s *simulation) {
				s.cut = cutSur
				s.run(clock.Minute)
				s.submit(s.node("centro0"), 7)
				s.submitFor(s.node("sur0"), "alerts", 3)
				s.run(10 * clock.Second)
			},
			map[vm.ID]string{
				"centro1": "centro 47 0, norte 10 25, sur 0 0, in all 57 25",
				"sur0":    "centro 40 0, norte 10 25, sur 0 3, in all 50 28",
				"sur1":    "centro 40 0, norte 10 25, sur 0 3, in all 50 28",
			},
			map[vm.ID]string{"centro1": "sur", "sur0": "centro norte", "sur1": "centro norte"},
		},
		{
			"cut off and joined again", func(s *simulation) {
				s.cut = cutSur
				s.run(clock.Minute)
				s.submit(s.node("centro0"), 7)
				s.submitFor(s.node("sur0"), "alerts", 3)
				s.run(10 * clock.Second)
				s.cut = func(_, _ vm.VM) bool { return false }
				s.run(15 * clock.Second)
			},
			map[vm.ID]string{
				"centro1": "centro 47 0, norte 10 25, sur 0 3, in all 57 28",
				"sur1":    "centro 47 0, norte 10 25, sur 0 3, in all 57 28",
			},
			nil,
		},
		{
			"a VM restarts; its figures count from its start", func(s *simulation) {
				s.restart("centro1", "centro")
				s.run(15 * clock.Second)
				s.submit(s.node("centro1"), 5)
				s.run(10 * clock.Second)
			},
			map[vm.ID]string{
				"norte0": "centro 5 0, norte 10 25, sur 0 0, in all 15 25",
				"sur1":   "centro 5 0, norte 10 25, sur 0 0, in all 15 25",
			},
			nil,
		},
		{
			"all VMs of a data centre restart while it is cut off", func(s *simulation) {
				s.cut = cutSur
				s.run(5 * clock.Second)
				s.restart("sur0", "sur")
				s.restart("sur1", "sur")
				s.run(10 * clock.Second)
				s.submitFor(s.node("sur0"), "alerts", 3)
				s.run(5 * clock.Second)
			},
			map[vm.ID]string{
				"norte2": "centro 40 0, norte 10 25, sur 0 0, in all 50 25",
				"sur1":   "sur 0 3, in all 0 3",
			},
			map[vm.ID]string{"norte2": "sur"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSimulation(t, map[datacentre.ID]int{"centro": 3, "norte": 3, "sur": 2}, 6)
			for _, n := range s.nodes {
				s.handle(n, twoOwners)
			}
			s.run(5 * clock.Second)
			s.submit(s.node("centro1"), 40)
			s.submit(s.node("norte0"), 10)
			s.submitFor(s.node("norte1"), "alerts", 25)
			s.run(10 * clock.Second)
			tt.act(s)
			for id, want := range tt.want {
				report := s.usage(s.node(id))
				if got := startedIn(report); got != want {
					t.Errorf("%s: got started tasks %q, want %q", id, got, want)
				}
				old := ""
				for _, z := range report.Zones {
					if z.Age > fresh {
						old += " " + string(z.DataCentre)
					}
				}
				if want := tt.old[id]; old != "" && old[1:] != want || old == "" && want != "" {
					t.Errorf("%s: got figures older than %d ms of%s, want of %s: %+v", id, fresh, old, want, report.Zones)
				}
			}
		})
	}
}

var twoOwners = OwnersChanged{Owners: []owner.Owner{
	{ID: "ads", Share: 1, Classes: []owner.Class{{Name: "swap", Deadline: clock.Minute}}, Limits: owner.Limits{TasksPerJob: 100, QueuedTasks: 100}},
	{ID: "alerts", Share: 3, Classes: []owner.Class{{Name: "swap", Deadline: clock.Minute}}, Limits: owner.Limits{TasksPerJob: 100, QueuedTasks: 100}},
}}

func (s *simulation) restart(id vm.ID, dc datacentre.ID) {
	s.handle(s.boot(id, dc), twoOwners)
}

// startedIn tells the started tasks of both owners at each data centre and in all.
func startedIn(r accounting.Report) string {
	text := ""
	for _, z := range r.Zones {
		text += string(z.DataCentre)
		for _, u := range z.Usage {
			text += fmt.Sprint(" ", u.Started)
		}
		text += ", "
	}
	return text + fmt.Sprint("in all ", r.Owners[0].Usage.Started, " ", r.Owners[1].Usage.Started)
}
