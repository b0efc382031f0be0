package dispatch

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// SlotReport is what a VM tells its peers with heartbeats and with answers to loan
// requests, so that they ask where there is something to lend.
type SlotReport struct {
	// Lendable counts the slots that the VM would lend now.
	Lendable datacentre.Slots
	// Slots counts the slots that the VM may use itself.
	Slots datacentre.Slots
	// Wait is the projected wait of the last task in its queue, UrgentWait that of the last
	// task of rank 0.
	Wait, UrgentWait clock.Millis
}

// promises tells whether a peer would promise slots.
func (p SlotReport) promises(need LoanNeed) bool {
	if p.Wait == 0 {
		return false
	}
	return need.Wait > p.Wait*promiseWaitHalves/2 ||
		need.UrgentWait > max(p.UrgentWait*promiseWaitHalves/2, leastPromiseWait)
}
