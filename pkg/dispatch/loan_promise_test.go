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
		{name: "no slots at all", need: LoanNeed{Tasks: 100, Wait: 1000, Asked: 1}, want: 8},
		{name: "shared with other lenders", need: LoanNeed{Tasks: 100, Wait: 1000, Asked: 4}, want: 2},
		{name: "about the same wait", need: LoanNeed{Tasks: 100, Wait: 550, Slots: 16, Asked: 1}},
		{name: "shorter wait", need: LoanNeed{Tasks: 100, Wait: 100, Slots: 16, Asked: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t, 2, 8, ownerOf("a", 1))
			w.learnKind()
			w.mustAdmit(Job{Owner: "a", Tasks: 96})
			w.startAll()
			if tt.need.Slots == 0 {
				// The work at the peer is as much as here: 80 waiting tasks of 100 ms.
				tt.need.Wait = 8000
			}
			got := w.scheduler.Promise(w.clock.Now(), "p-1", tt.need, 1)
			if got < tt.want || got > tt.want+1 || tt.want == 0 && got > 0 {
				t.Fatalf("got %d slots promised, want about %d", got, tt.want)
			}
			w.clock.Advance(100)
			granted := datacentre.Slots(0)
			for _, r := range w.running {
				w.finish(w.clock.Now(), r)
				for {
					peer, l, ok := w.scheduler.NextGrant(w.clock.Now())
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
