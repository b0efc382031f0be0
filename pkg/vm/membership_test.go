package vm_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

func newVM(i vm.Incarnation, started clock.Millis) vm.VM {
	return vm.VM{Incarnation: i, DataCentre: "centro", PeerAddress: string(i.VM()) + ":7001", Size: 1, Started: started}
}

// step is an input of the membership at a point in time.
type step struct {
	at clock.Millis
	do func(m *vm.Membership, now clock.Millis)
}

// heartbeats makes steps in which the VMs send and answer heartbeats every 400 ms.
func heartbeats(from, to clock.Millis, vms ...vm.VM) []step {
	var steps []step
	for at := from; at <= to; at += 400 {
		steps = append(steps, step{at, func(m *vm.Membership, now clock.Millis) {
			for _, v := range vms {
				m.RecordHeartbeat(now, v)
				m.RecordAnswer(now, v.Incarnation)
			}
		}})
	}
	return steps
}

// rows makes steps in which the table is read every second; the rows have revision 1.
func rows(from, to clock.Millis, vms ...vm.VM) []step {
	var steps []step
	for at := from; at <= to; at += clock.Second {
		steps = append(steps, step{at, func(m *vm.Membership, now clock.Millis) {
			var read []vm.Row
			for _, v := range vms {
				read = append(read, vm.Row{VM: v, Revision: 1})
			}
			m.RecordRows(now, read)
		}})
	}
	return steps
}

func play(m *vm.Membership, until clock.Millis, pausedFrom, pausedTo clock.Millis, steps ...[]step) *vm.Roster {
	all := slices.Concat(steps...)
	slices.SortStableFunc(all, func(a, b step) int { return int(a.at - b.at) })
	for now := clock.Millis(0); now <= until; now += 50 {
		for len(all) > 0 && all[0].at <= now {
			if s := all[0]; s.at <= pausedFrom || s.at >= pausedTo {
				s.do(m, now)
			}
			all = all[1:]
		}
		if now <= pausedFrom || now >= pausedTo {
			m.Evaluate(now)
		}
	}
	return m.Roster()
}

// Guards against a VM that stays home VM or witness though it has failed, and against one that
// loses these roles though it is alive.
func TestMembershipDerivesStatus(t *testing.T) {
	self, old, fresh := newVM("a-1", 1), newVM("b-1", 1), newVM("b-2", 500)
	moved := newVM("c-1", 500)
	moved.PeerAddress = old.PeerAddress
	leaving := old
	leaving.Leaving = true
	list := func(at clock.Millis, leaving bool) []step {
		return []step{{at, func(m *vm.Membership, now clock.Millis) {
			m.RecordList(now, []vm.ListEntry{{VM: "b", Leaving: leaving}})
		}}}
	}
	unanswered := func(from, to clock.Millis) []step {
		var steps []step
		for at := from; at <= to; at += 400 {
			steps = append(steps, step{at, func(m *vm.Membership, now clock.Millis) { m.RecordHeartbeat(now, old) }})
		}
		return steps
	}
	cases := []struct {
		name        string
		until       clock.Millis
		pause       [2]clock.Millis
		steps       [][]step
		want        vm.Status
		wantLeaving bool
		wantWitness vm.Incarnation
	}{
		{name: "heartbeats and answers", until: 5000, steps: [][]step{heartbeats(0, 5000, old)}, want: vm.Alive, wantWitness: "b-1"},
		{name: "no contact for under a second", until: 2950, steps: [][]step{heartbeats(0, 2000, old)}, want: vm.Alive, wantWitness: "b-1"},
		{name: "suspected after a second", until: 3000, steps: [][]step{heartbeats(0, 2000, old)}, want: vm.Suspected, wantWitness: "b-1"},
		{name: "removed after three", until: 5000, steps: [][]step{heartbeats(0, 2000, old)}, want: vm.Removed, wantWitness: vm.None},
		{name: "back on a heartbeat", until: 9000, steps: [][]step{heartbeats(0, 2000, old), heartbeats(8800, 9000, old)}, want: vm.Alive, wantWitness: "b-1"},
		{name: "failed, still in the table and the list", until: 9000, steps: [][]step{rows(0, 9000, old), list(5000, false)}, want: vm.Removed, wantWitness: vm.None},
		{name: "new row, no heartbeat yet", until: 500, steps: [][]step{rows(0, 0, old)}, want: vm.Removed, wantWitness: vm.None},
		{name: "alive without a row", until: 9000, steps: [][]step{heartbeats(0, 9000, old), rows(0, 9000)}, want: vm.Alive, wantWitness: "b-1"},
		{name: "heartbeats but no answers", until: 9000, steps: [][]step{heartbeats(0, 2000, old), unanswered(2400, 9000)}, want: vm.Suspected, wantWitness: "b-1"},
		{name: "restarted under the same name", until: 1000, steps: [][]step{heartbeats(0, 400, old), heartbeats(500, 1000, fresh)}, want: vm.Removed, wantWitness: "b-2"},
		{name: "old row after the restart", until: 1000, steps: [][]step{heartbeats(0, 1000, fresh), rows(600, 1000, old, fresh)}, want: vm.Removed, wantWitness: "b-2"},
		{name: "address taken over by another name", until: 1000, steps: [][]step{heartbeats(0, 400, old), heartbeats(500, 1000, moved)}, want: vm.Removed, wantWitness: "c-1"},
		{name: "leaving by its own report", until: 1000, steps: [][]step{heartbeats(0, 400, old), heartbeats(800, 1000, leaving)}, want: vm.Alive, wantLeaving: true, wantWitness: vm.None},
		{name: "leaving by the list", until: 1000, steps: [][]step{heartbeats(0, 1000, old), list(800, true)}, want: vm.Alive, wantLeaving: true, wantWitness: vm.None},
		{name: "this VM paused for a minute", until: 62200, pause: [2]clock.Millis{2000, 62000}, steps: [][]step{heartbeats(0, 62200, old)}, want: vm.Alive, wantWitness: "b-1"},
		{name: "peer paused for a minute, just back", until: 62400, steps: [][]step{heartbeats(0, 2000, old), heartbeats(62000, 62400, old)}, want: vm.Alive, wantWitness: "b-1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			roster := play(vm.NewMembership(0, self), c.until, c.pause[0], c.pause[1], c.steps...)
			got, known := roster.Find(old.Incarnation)
			if !known || got.Status != c.want || got.Leaving != c.wantLeaving {
				t.Errorf("got known %v, %v, leaving %v; want known, %v, leaving %v", known, got.Status, got.Leaving, c.want, c.wantLeaving)
			}
			if got := roster.Witness(); got != c.wantWitness {
				t.Errorf("got witness %s, want %s", got, c.wantWitness)
			}
		})
	}
}

// Guards against rows that accumulate, against the deletion of rows of VMs that are alive
// or could not refresh them, and against VMs that all delete at once.
func TestStaleRowsAreCleanedUpSlowly(t *testing.T) {
	alive := newVM("b-1", 1)
	cases := []struct {
		name        string
		outageAfter clock.Millis
		want        int
	}{
		{"platform readable", clock.Hour, 3},
		{"platform down meanwhile", 10 * clock.Second, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := vm.NewMembership(0, newVM("a-1", 1))
			failed := []vm.VM{newVM("x1-1", 1), newVM("x2-1", 1), newVM("x3-1", 1)}
			var at []clock.Millis
			for now := clock.Millis(0); now <= 160*clock.Second; now += clock.Second {
				m.RecordHeartbeat(now, alive)
				m.RecordAnswer(now, alive.Incarnation)
				m.Evaluate(now)
				if now > c.outageAfter && now < 155*clock.Second {
					continue
				}
				read := []vm.Row{{VM: alive, Revision: 1}}
				for _, v := range failed {
					read = append(read, vm.Row{VM: v, Revision: 1})
				}
				m.RecordRows(now, read)
				for _, r := range m.StaleRows(now) {
					if r.VM.Incarnation == alive.Incarnation {
						t.Errorf("got the row of a live VM")
					}
					failed = slices.DeleteFunc(failed, func(v vm.VM) bool { return v.Incarnation == r.VM.Incarnation })
					at = append(at, now)
				}
			}
			if len(at) != c.want {
				t.Fatalf("got %d rows deleted, want %d", len(at), c.want)
			}
			for i, when := range at {
				if when < 80*clock.Second || i > 0 && when-at[i-1] < 5*clock.Second {
					t.Errorf("got deletions at %v, want them after 80 s and 5 s apart", at)
				}
			}
		})
	}
}

// Guards against a pair of data centres without a heartbeat between them, and against
// heartbeat targets that grow with the number of all VMs.
func TestHeartbeatTargets(t *testing.T) {
	m := vm.NewMembership(0, vm.VM{Incarnation: "v0x0-1", DataCentre: "dc0", Size: 1})
	for dc := range 22 {
		for i := range 16 {
			v := vm.VM{Incarnation: vm.Incarnation(fmt.Sprintf("v%dx%d-1", dc, i)), DataCentre: datacentre.ID(fmt.Sprintf("dc%d", dc)), PeerAddress: fmt.Sprint(dc, ":", i), Size: 1}
			m.RecordReport(1, "d-1", v)
		}
	}
	pairs := make(map[[2]datacentre.ID]bool)
	for _, v := range m.Roster().VMs() {
		view := vm.NewRoster(vm.RosterConfig{Self: v.Incarnation, VMs: m.Roster().VMs()})
		targets := view.HeartbeatTargets(1)
		// Two delegates toward each of 21 others, over 16 VMs, are 2.6 for each.
		if len(targets) < 15 || len(targets) > 15+9 {
			t.Errorf("got %d targets of %s, want 15 and at most 9 elsewhere", len(targets), v.Incarnation)
		}
		for _, to := range targets {
			pairs[[2]datacentre.ID{v.DataCentre, to.DataCentre}] = true
		}
	}
	if len(pairs) != 22*22 {
		t.Errorf("got %d pairs of data centres, want %d", len(pairs), 22*22)
	}
}
