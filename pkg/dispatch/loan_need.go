package dispatch

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// LoanNeed is the need for slots that a VM with a backlog sends to its peers.
type LoanNeed struct {
	// Tasks counts the waiting tasks for which no slot is free.
	Tasks int
	// Wait is the projected wait of the last of these tasks without a loan.
	Wait clock.Millis
	// UrgentTasks counts the waiting tasks of rank 0, UrgentWait is their projected wait.
	UrgentTasks int
	UrgentWait  clock.Millis
	// Slots is the number of slots that the VM can use already.
	Slots datacentre.Slots
	// AskedPeers is the number of peers that were asked at the same time.
	AskedPeers int
}

// WorthLending reports whether a loan saves more wait than it costs: before the first task
// can start, the request and the grant each cross the link once.
func (n LoanNeed) WorthLending(oneWay clock.Millis) bool {
	return n.Tasks > 0 && n.Wait > 2*oneWay
}

// slotsToBalance returns how many of the lender's slots would give both VMs the same wait,
// divided by the number of peers that were asked.
func (n LoanNeed) slotsToBalance(work slotMillis, total datacentre.Slots) datacentre.Slots {
	peerWork := slotMillis(n.Wait) * slotMillis(max(n.Slots, 1))
	slots := (peerWork*slotMillis(total) - work*slotMillis(n.Slots)) / (peerWork + work)
	return min(datacentre.Slots(slots)/datacentre.Slots(max(n.AskedPeers, 1)), datacentre.Slots(n.Tasks))
}

// urgentSlots returns how many of the lender's slots may be lent for the peer's urgent
// tasks.
func (n LoanNeed) urgentSlots(total datacentre.Slots) datacentre.Slots {
	asked := datacentre.Slots(max(n.AskedPeers, 1))
	return min(total/urgentLoanDivisor, (datacentre.Slots(n.UrgentTasks)+asked-1)/asked)
}
