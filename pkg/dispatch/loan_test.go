package dispatch

import (
	"slices"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// Guards against lending borrowed slots, whose lender would then expect the return from the
// wrong borrower, and against an Offer that changes the slots of this VM.
func TestOfferIsOfOwnSlots(t *testing.T) {
	sim := newSimulation(t, 1, 8, ownerOf("a", 1))
	sim.scheduler.SetBorrowed(sim.clock.Now(), endpointName(0), 4)
	sim.scheduler.SetBorrowed(sim.clock.Now(), endpointName(1), 12)
	need := LoanNeed{Tasks: 100, Wait: 1000, AskedPeers: 1}
	for range 2 {
		got := sim.scheduler.Offer(need, 1)
		if want := []SlotLoan{{Endpoint: endpointName(0), Slots: 8}}; !slices.Equal(got, want) {
			t.Errorf("got offer %v, want %v", got, want)
		}
	}
	if got := sim.scheduler.SlotReport().Slots; got != 24 {
		t.Errorf("got %d slots after offers, want 24", got)
	}
}

// Guards against peers of other data centres that are never asked because this VM receives
// no heartbeats from them, and against many or repeated requests to peers without slots.
func TestUnreportedPeersAreAsked(t *testing.T) {
	planner := NewLoanPlanner()
	planner.RecordReport("a-1", SlotReport{})
	peers := []vm.Incarnation{"a-1", "b-1", "c-1", "d-1", "e-1"}
	need := LoanNeed{Tasks: 5, Wait: 500}
	asked := func() []vm.Incarnation {
		var to []vm.Incarnation
		for _, request := range planner.PlanUnreported(clock.Hour, need, peers) {
			to = append(to, request.Peer)
		}
		return to
	}
	if got, want := asked(), []vm.Incarnation{"b-1", "c-1", "d-1"}; !slices.Equal(got, want) {
		t.Errorf("got requests to %v, want %v", got, want)
	}
	planner.RecordAnswer(clock.Hour, "b-1", 0, SlotReport{})
	if got, want := asked(), []vm.Incarnation{"e-1"}; !slices.Equal(got, want) {
		t.Errorf("got requests to %v while the first are in flight or just answered, want %v", got, want)
	}
}
