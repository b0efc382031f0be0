package entry

import (
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// TestPartitions guards against a data centre that stops serving while it is cut off, and
// against rosters that do not converge after the partition has ended. The cases are the rows
// of docs/entry-operations.md.
func TestPartitions(t *testing.T) {
	size := map[datacentre.ID]int{"centro": 3, "norte": 3, "sur": 3}
	cutBothWays := func(from, to vm.VM) bool { return (from.DataCentre == "sur") != (to.DataCentre == "sur") }
	cutOneWay := func(from, to vm.VM) bool { return from.DataCentre == "sur" && to.DataCentre != "sur" }
	noCut := func(_, _ vm.VM) bool { return false }
	withoutPlatform := func(dc datacentre.ID) bool { return dc == "sur" }
	withPlatform := func(datacentre.ID) bool { return false }
	cases := []struct {
		name        string
		partitioned func(from, to vm.VM) bool
		offPlatform func(datacentre.ID) bool
		// wantOthers is how many VMs of centro are alive in the roster of a VM of sur during
		// the partition.
		wantOthers      int
		wantUnreachable bool
	}{
		{"cut from the other data centres", cutBothWays, withPlatform, 0, true},
		{"cut from the platform", noCut, withoutPlatform, 3, false},
		{"cut from both", cutBothWays, withoutPlatform, 0, true},
		{"cannot call the others, is called by them", cutOneWay, withPlatform, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSimulation(t, size, 12)
			s.run(5 * clock.Second)
			s.partitioned, s.offPlatform = c.partitioned, c.offPlatform
			s.run(5 * clock.Second)
			for _, id := range []vm.ID{"sur0", "sur1", "sur2"} {
				n := s.node(id)
				if got := n.alive("sur"); got != 3 {
					t.Errorf("during the partition: got %d VMs of its own alive at %s, want 3", got, id)
				}
				if got := n.alive("centro"); got != c.wantOthers {
					t.Errorf("during the partition: got %d VMs of centro alive at %s, want %d", got, id, c.wantOthers)
				}
				_, calls := n.peers.reachable(s.node("centro1").vm.Incarnation)
				if calls == c.wantUnreachable {
					t.Errorf("during the partition: got calls to centro %v at %s, want %v", calls, id, !c.wantUnreachable)
				}
			}
			// An id of the data centre that is cut off, requested from outside: no VM there may
			// give a final answer. A VM that can reach the issuer forwards the request instead.
			if c.wantUnreachable {
				var answer contract.Answer
				id := s.reserve(s.node("sur0"))
				s.waiter++
				s.replies[s.waiter] = func(r Reply) { answer = r.(AnswerReply).Answer }
				outside := s.node("centro0")
				if _, calls := outside.peers.reachable(s.node("sur0").vm.Incarnation); !calls {
					s.handle(outside, OrphanAnswerRequested{Waiter: s.waiter, ID: id})
					if _, ok := answer.(contract.CannotTellYet); !ok {
						t.Errorf("during the partition: got %#v about an id of sur, want cannot tell yet", answer)
					}
				}
			}
			inside, outside := s.submit(s.node("sur0"), 16), s.submit(s.node("centro0"), 16)
			s.run(4 * clock.Second)
			for _, answer := range []*contract.Answer{inside, outside} {
				if _, ok := (*answer).(contract.Complete); !ok {
					t.Errorf("during the partition: got answer %#v, want complete", *answer)
				}
			}
			s.run(clock.Minute)
			s.partitioned, s.offPlatform = noCut, withPlatform
			s.run(4 * clock.Second)
			for _, n := range s.nodes {
				for dc := range size {
					if got := n.alive(dc); got != 3 {
						t.Errorf("after the partition: got %d VMs of %s alive at %s, want 3", got, dc, n.vm.Incarnation)
					}
				}
			}
			if s.overcommits != 0 || s.maxInUse > 8 {
				t.Errorf("got %d busy answers and %d slots in use, want 0 and at most 8", s.overcommits, s.maxInUse)
			}
		})
	}
}

// TestHangingPeerDoesNotBlockOthers guards against a peer that blocks others because it accepts
// calls and never answers.
func TestHangingPeerDoesNotBlockOthers(t *testing.T) {
	s := newSimulation(t, map[datacentre.ID]int{"centro": 4}, 12)
	s.run(5 * clock.Second)
	hanging := s.node("centro3")
	hanging.hung = true
	s.run(2 * clock.Second)
	status := func(n *simVM) vm.Status { v, _ := n.control.roster.Find(hanging.vm.Incarnation); return v.Status }
	for _, n := range s.nodes[:3] {
		if got := n.control.roster.Witness(); got == hanging.vm.Incarnation || status(n) == vm.Alive {
			t.Errorf("got witness %s, status %v at %s; want another witness, not alive", got, status(n), n.vm.Incarnation)
		}
		if n.alive("centro") != 3 || n.maxInFlight != 1 {
			t.Errorf("got %d alive, %d heartbeats in flight at a time; want 3 and 1", n.alive("centro"), n.maxInFlight)
		}
	}
	s.run(2 * clock.Second)
	for _, n := range s.nodes[:3] {
		if _, calls := n.peers.reachable(hanging.vm.Incarnation); calls {
			t.Errorf("got calls to the hanging peer at %s, want none", n.vm.Incarnation)
		}
		answer := s.submit(n, 8)
		s.run(clock.Second)
		if _, ok := (*answer).(contract.Complete); !ok {
			t.Errorf("got answer %#v at %s, want complete", *answer, n.vm.Incarnation)
		}
	}
	hanging.hung = false
	s.run(2 * clock.Second)
	if got := status(s.nodes[0]); got != vm.Alive {
		t.Errorf("got %v after the peer came back, want alive", got)
	}
}

// TestLeavingEndpointGetsNoNewWork guards against new tasks for an endpoint that is leaving, and
// against its return because of an outdated list.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	s := newSimulation(t, map[datacentre.ID]int{"centro": 3}, 1)
	s.run(5 * clock.Second)
	e := s.endpoints[0]
	drained := func() int {
		count := 0
		for _, n := range s.nodes {
			if n.control.drains.Draining(e.ID) {
				count++
			}
		}
		return count
	}
	steps := []struct {
		name  string
		do    func()
		after clock.Millis
		want  int
	}{
		{"the endpoint answers that it leaves", func() {
			e.leaving = true
			// Only one VM gets the answer; the others receive it in heartbeats.
			s.submit(s.nodes[0], 4)
		}, 3 * clock.Second, 3},
		{"the list still shows it live", func() {}, 30 * clock.Second, 3},
		{"the list shows the leaving", func() { e.listed = listedLeaving }, 2 * clock.Second, 3},
		{"the list omits it", func() { e.listed = unlisted }, 2 * clock.Second, 3},
		{"the list shows it again", func() { e.listed, e.leaving = listedActive, false }, 3 * clock.Second, 0},
		{"the list alone shows that it leaves", func() { e.listed = listedLeaving }, 3 * clock.Second, 3},
	}
	for _, st := range steps {
		st.do()
		s.run(st.after)
		if got := drained(); got != st.want {
			t.Fatalf("%s: got %d VMs that treat it as draining, want %d", st.name, got, st.want)
		}
	}
	if e.refused > 8 {
		t.Errorf("got %d answers that it is leaving, want at most one for each slot", e.refused)
	}
}

// TestRosterFollowsRestarts guards against a restart, crash or shutdown that leaves endpoints
// without a home VM or rows at the platform permanently.
func TestRosterFollowsRestarts(t *testing.T) {
	s := newSimulation(t, map[datacentre.ID]int{"centro": 3}, 6)
	s.run(5 * clock.Second)
	old := s.node("centro1").vm.Incarnation
	s.boot("centro1", "centro")
	s.node("centro2").down = true
	s.run(5 * clock.Second)
	n := s.node("centro0")
	if _, found := n.control.roster.Find(old); !found || n.alive("centro") != 2 {
		t.Errorf("got old incarnation in the roster: %v, %d alive; want true and 2", found, n.alive("centro"))
	}
	for _, e := range s.endpoints {
		homes := 0
		for _, n := range s.nodes {
			if !n.down && n.control.assignedSlots[e.ID] > 0 {
				homes++
			}
		}
		if homes != 1 {
			t.Errorf("got %d home VMs of %s, want 1", homes, e.ID)
		}
	}
	s.run(4 * clock.Minute)
	if got := len(s.rows); got != 2 {
		t.Errorf("got %d rows at the platform, want those of the 2 VMs alive", got)
	}
}
