package dispatch

import (
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// Guards against VMs with few endpoints that wait long beside VMs with short queues, and
// against slots that go back and forth between VMs with equal waits.
func TestPromisesLevelWaits(t *testing.T) {
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
			w := newWorld(t, 2, 8, ownerOf("a", 1))
			w.learnKind()
			w.mustAdmit(Job{Owner: "a", Rank: 1, Tasks: 96})
			w.startAll()
			if tt.need.Slots == 0 {
				// The work at the peer is as much as here: 80 waiting tasks of 100 ms.
				tt.need.Wait = 8000
			}
			got := w.scheduler.DeferLoan(w.clock.Now(), "p-1", tt.need, 1)
			if got < tt.want || got > tt.want+1 || tt.want == 0 && got > 0 {
				t.Fatalf("got %d slots promised, want about %d", got, tt.want)
			}
			w.clock.Advance(100)
			granted := datacentre.Slots(0)
			for _, r := range w.running {
				w.finish(w.clock.Now(), r)
				for {
					peer, l, ok := w.scheduler.NextDeferredLoan(w.clock.Now())
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
				t.Errorf("got %d slots granted, want the %d promised", granted, got)
			}
			w.clock.Advance(clock.Second)
		})
	}
}

// Guards against slots that are lost when a loan expires while tasks of an earlier loan of
// the same endpoint still run.
func TestExpiredLoansAreReturnedInFull(t *testing.T) {
	w := newWorld(t, 1, 1, ownerOf("a", 1))
	w.learnKind()
	w.scheduler.SetSlots(w.clock.Now(), endpointName(0), 0)
	w.mustAdmit(Job{Owner: "a", Tasks: 100})
	borrowed, returned := datacentre.Slots(0), datacentre.Slots(0)
	for range 5 {
		loan := SlotLoan{Endpoint: endpointName(0), Slots: 4}
		w.scheduler.Borrow(w.clock.Now(), loan)
		borrowed += loan.Slots
		w.startAll()
		now, _ := w.scheduler.ExpireLoan(w.clock.Now(), loan)
		returned += now
		w.advance(20)
	}
	w.advance(1000)
	for {
		l, ok := w.scheduler.NextReturn()
		if !ok {
			break
		}
		returned += l.Slots
	}
	if got, want := len(w.starts), int(borrowed); got != want {
		t.Errorf("got %d starts on lent slots, want %d", got, want)
	}
	if returned != borrowed {
		t.Errorf("got %d slots returned, want all %d", returned, borrowed)
	}
}
