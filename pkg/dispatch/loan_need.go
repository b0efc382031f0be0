package dispatch

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// LoanNeed is what a VM with backlog asks of its peers.
type LoanNeed struct {
	// Tasks counts the waiting tasks for which no slot is free.
	Tasks int
	// Wait is the projected wait of the last of them without a loan.
	Wait clock.Millis
	// UrgentTasks counts the waiting tasks of rank 0, UrgentWait is their projected wait.
	UrgentTasks int
	UrgentWait  clock.Millis
	// Slots counts the slots that the VM may use already.
	Slots datacentre.Slots
	// AskedPeers counts the peers that were asked at the same time.
	AskedPeers int
}

// WorthLending reports whether the wait saved exceeds the cost of the loan: the request
// and the grant cross the link once each before the first task can start.
func (n LoanNeed) WorthLending(oneWay clock.Millis) bool {
	return n.Tasks > 0 && n.Wait > 2*oneWay
}

// slotsToLevel returns how many of a lender's slots give both VMs the same wait, divided
// by the number of peers that were asked.
func (n LoanNeed) slotsToLevel(work slotMillis, total datacentre.Slots) datacentre.Slots {
	theirs := slotMillis(n.Wait) * slotMillis(max(n.Slots, 1))
	level := (theirs*slotMillis(total) - work*slotMillis(n.Slots)) / (theirs + work)
	return min(datacentre.Slots(level)/datacentre.Slots(max(n.AskedPeers, 1)), datacentre.Slots(n.Tasks))
}

// urgentSlots returns how many of a lender's slots go to a peer's urgent tasks.
func (n LoanNeed) urgentSlots(total datacentre.Slots) datacentre.Slots {
	asked := datacentre.Slots(max(n.AskedPeers, 1))
	return min(total/urgentLoanPart, (datacentre.Slots(n.UrgentTasks)+asked-1)/asked)
}
