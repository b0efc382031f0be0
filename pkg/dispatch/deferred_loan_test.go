package dispatch

import (
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// Guards against long waits on VMs with few endpoints while other VMs have short queues, and
// against slots that move back and forth between VMs with equal waits.
func TestDeferredLoansBalanceWaits(t *testing.T) {
	tests := []struct {
		name string
		need LoanNeed
		want datacentre.Slots
	}{
		{name: "no slots at all", need: LoanNeed{Tasks: 100, Wait: 1000, AskedPeers: 1}, want: 8},
		{name: "shared with other lenders", need: LoanNeed{Tasks: 100, Wait: 1000, AskedPeers: 4}, want: 2},
		{name: "about the same wait", need: LoanNeed{Tasks: 100, Wait: 550, Slots: 16, AskedPeers: 1}},
		{name: "urgent tasks of a peer with a shorter wait", need: LoanNeed{Tasks: 100, Wait: 100, UrgentTasks: 100, UrgentWait: 500, Slots: 16, AskedPeers: 1}, want: 4},
		{name: "shorter wait", need: LoanNeed{Tasks: 100, Wait: 100, Slots: 16, AskedPeers: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sim := newSimulation(t, 2, 8, ownerOf("a", 1))
			sim.warmUp()
			sim.mustAdmit(Job{Owner: "a", Rank: 1, Tasks: 96})
			sim.startAll()
			if tt.need.Slots == 0 {
				// The peer has as much work as this VM: 80 waiting tasks of 100 ms.
				tt.need.Wait = 8000
			}
			got := sim.scheduler.DeferLoan(sim.clock.Now(), "p-1", tt.need, 1)
			if got < tt.want || got > tt.want+1 || tt.want == 0 && got > 0 {
				t.Fatalf("got %d slots deferred, want about %d", got, tt.want)
			}
			sim.clock.Advance(100)
			granted := datacentre.Slots(0)
			for _, r := range sim.running {
				sim.finish(sim.clock.Now(), r)
				for {
					peer, l, ok := sim.scheduler.NextDeferredLoan(sim.clock.Now())
					if !ok {
						break
					}
					if peer != "p-1" {
						t.Errorf("got a grant to %s, want p-1", peer)
					}
					granted += l.Slots
				}
			}
			if granted != got {
				t.Errorf("got %d slots granted, want the %d deferred", granted, got)
			}
			sim.clock.Advance(clock.Second)
		})
	}
}

// Guards against slots that are lost when a loan expires while tasks of an earlier loan of
// the same endpoint still run.
func TestExpiredLoansAreReturnedInFull(t *testing.T) {
	sim := newSimulation(t, 1, 1, ownerOf("a", 1))
	sim.warmUp()
	sim.scheduler.SetSlots(sim.clock.Now(), endpointName(0), 0)
	sim.mustAdmit(Job{Owner: "a", Tasks: 100})
	borrowed, returned := datacentre.Slots(0), datacentre.Slots(0)
	for range 5 {
		loan := SlotLoan{Endpoint: endpointName(0), Slots: 4}
		sim.scheduler.Borrow(sim.clock.Now(), loan)
		borrowed += loan.Slots
		sim.startAll()
		now, _ := sim.scheduler.ExpireLoan(sim.clock.Now(), loan)
		returned += now
		sim.advance(20)
	}
	sim.advance(1000)
	for {
		l, ok := sim.scheduler.NextReturn()
		if !ok {
			break
		}
		returned += l.Slots
	}
	if got, want := len(sim.starts), int(borrowed); got != want {
		t.Errorf("got %d starts on lent slots, want %d", got, want)
	}
	if returned != borrowed {
		t.Errorf("got %d slots returned, want all %d", returned, borrowed)
	}
}
