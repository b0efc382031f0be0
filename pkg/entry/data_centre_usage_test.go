package entry

import (
	"fmt"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/accounting"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// TestUsageOfOtherDataCentres guards against usage that is not sent to other data centres, is
// lost when a data centre is cut off, appears newer than it is, or is lost or counted twice
// after network partitions and restarts. Before each case, centro has started 40 tasks of ads,
// and norte 10 of ads and 25 of alerts.
func TestUsageOfOtherDataCentres(t *testing.T) {
	const maxFreshAge = 6 * clock.Second
	type step func(*simulation)
	cutSur := func(s *simulation) {
		s.partitioned = func(from, to vm.VM) bool { return (from.DataCentre == "sur") != (to.DataCentre == "sur") }
	}
	join := func(s *simulation) { s.partitioned = func(_, _ vm.VM) bool { return false } }
	wait := func(seconds clock.Millis) step {
		return func(s *simulation) { s.runAndCheckUsage(seconds * clock.Second) }
	}
	submit := func(id vm.ID, o owner.ID, tasks int) step {
		return func(s *simulation) { s.submitFor(s.node(id), o, tasks) }
	}
	restart := func(id vm.ID, dc datacentre.ID) step {
		return func(s *simulation) { s.handle(s.boot(id, dc), twoOwners) }
	}
	forge := func(s *simulation) {
		forged := dispatch.OwnerUsage{Owner: "ads", Started: 99}
		s.handle(s.node("centro0"), HeartbeatReceived{Heartbeat: Heartbeat{
			From: s.node("norte0").vm, DataCentres: []accounting.DataCentreUsage{{DataCentre: "oeste", Usage: forged}, {DataCentre: "centro", Usage: forged}},
		}})
		s.run(clock.Second)
	}
	tests := []struct {
		name  string
		steps []step
		// want is, for each VM, the reported number of started tasks of both owners at each
		// data centre, and the age of usage that is not fresh, rounded down to 10 s.
		want map[vm.ID]string
	}{
		{"all data centres reachable", nil, map[vm.ID]string{
			"centro0": "centro 40 0, norte 10 25, sur 0 0, in all 50 25",
			"centro2": "centro 40 0, norte 10 25, sur 0 0, in all 50 25",
			"sur1":    "centro 40 0, norte 10 25, sur 0 0, in all 50 25",
		}},
		{"a VM reports usage of other data centres than its own", []step{forge}, map[vm.ID]string{
			"centro0": "centro 40 0, norte 10 25, sur 0 0, in all 50 25",
		}},
		{"a data centre is cut off", []step{cutSur, wait(60), submit("centro0", "ads", 7), submit("sur0", "alerts", 3), wait(10)}, map[vm.ID]string{
			"centro1": "centro 47 0, norte 10 25, sur 0 0 (70 s old), in all 57 25",
			"sur0":    "centro 40 0 (70 s old), norte 10 25 (70 s old), sur 0 3, in all 50 28",
			"sur1":    "centro 40 0 (70 s old), norte 10 25 (70 s old), sur 0 3, in all 50 28",
		}},
		{"cut off and joined again", []step{cutSur, wait(60), submit("centro0", "ads", 7), submit("sur0", "alerts", 3), wait(10), join, wait(15)}, map[vm.ID]string{
			"centro1": "centro 47 0, norte 10 25, sur 0 3, in all 57 28",
			"sur1":    "centro 47 0, norte 10 25, sur 0 3, in all 57 28",
		}},
		{"a VM restarts; its usage counts from its start", []step{restart("centro1", "centro"), wait(15), submit("centro1", "ads", 5), wait(10)}, map[vm.ID]string{
			"norte0": "centro 5 0, norte 10 25, sur 0 0, in all 15 25",
			"sur1":   "centro 5 0, norte 10 25, sur 0 0, in all 15 25",
		}},
		{"all VMs of a data centre restart while it is cut off", []step{cutSur, wait(5), restart("sur0", "sur"), restart("sur1", "sur"), wait(10), submit("sur0", "alerts", 3), wait(5)}, map[vm.ID]string{
			"norte2": "centro 40 0, norte 10 25, sur 0 0 (20 s old), in all 50 25",
			"sur1":   "sur 0 3, in all 0 3",
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSimulation(t, map[datacentre.ID]int{"centro": 3, "norte": 3, "sur": 2}, 6)
			for _, n := range s.nodes {
				s.handle(n, twoOwners)
			}
			s.run(5 * clock.Second)
			for _, act := range append([]step{submit("centro1", "ads", 40), submit("norte0", "ads", 10), submit("norte1", "alerts", 25), wait(10)}, tt.steps...) {
				act(s)
			}
			for id, want := range tt.want {
				if got := formatStarted(s.usage(s.node(id)), maxFreshAge); got != want {
					t.Errorf("%s: got started tasks %q, want %q", id, got, want)
				}
			}
		})
	}
}

var twoOwners = OwnersChanged{Owners: []owner.Owner{
	{ID: "ads", Share: 1, Classes: []owner.Class{{Name: "swap", Deadline: clock.Minute}}, Limits: owner.Limits{TasksPerJob: 100, QueuedTasks: 100}},
	{ID: "alerts", Share: 3, Classes: []owner.Class{{Name: "swap", Deadline: clock.Minute}}, Limits: owner.Limits{TasksPerJob: 100, QueuedTasks: 100}},
}}

// runAndCheckUsage advances the time and checks each second that no usage is negative or
// above what was submitted.
func (s *simulation) runAndCheckUsage(duration clock.Millis) {
	for end := s.now + duration; s.now < end; {
		s.run(clock.Second)
		for _, n := range s.nodes {
			started := int64(0)
			for _, o := range s.usage(n).Owners {
				u := o.Usage
				started += u.Started
				if min(u.Started, u.Refused, int64(u.SlotTime), int64(u.Waited), int64(u.Backlog)) < 0 || started > int64(s.submitted) {
					s.t.Errorf("%s: got %d started tasks and %+v, want at most %d and nothing below zero", n.vm.Incarnation, started, u, s.submitted)
				}
			}
		}
	}
}

// formatStarted formats the started tasks of the owners at each data centre and in total.
func formatStarted(r accounting.Report, maxFreshAge clock.Millis) string {
	text := ""
	for _, z := range r.DataCentres {
		text += string(z.DataCentre)
		for _, u := range z.Usage {
			text += fmt.Sprint(" ", u.Started)
		}
		if z.Age > maxFreshAge {
			text += fmt.Sprintf(" (%d s old)", z.Age/clock.Second/10*10)
		}
		text += ", "
	}
	return text + fmt.Sprint("in all ", r.Owners[0].Usage.Started, " ", r.Owners[1].Usage.Started)
}
