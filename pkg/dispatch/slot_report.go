package dispatch

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// SlotReport is sent to peers with heartbeats and with answers to loan requests, so that
// they send requests only to VMs that can lend.
type SlotReport struct {
	// Lendable is the number of slots that the VM would lend now.
	Lendable datacentre.Slots
	// Slots is the number of slots that the VM can use itself.
	Slots datacentre.Slots
	// Wait is the projected wait of the last task in the VM's queue, and UrgentWait that of
	// the last task of rank 0.
	Wait, UrgentWait clock.Millis
}

// mayDefer reports whether the reporting VM would grant a deferred loan for the need.
func (r SlotReport) mayDefer(need LoanNeed) bool {
	if r.Wait == 0 {
		return false
	}
	return need.Wait > r.Wait*minWaitRatioHalves/2 ||
		need.UrgentWait > max(r.UrgentWait*minWaitRatioHalves/2, minDeferredLoanWait)
}
