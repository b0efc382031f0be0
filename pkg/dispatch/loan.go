package dispatch

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// SlotLoan is a number of slots of one endpoint that the home VM lends to a peer.
type SlotLoan struct {
	Endpoint datacentre.EndpointID
	Slots    datacentre.Slots
}

// LoanNeed is what a VM with backlog asks of its peers.
type LoanNeed struct {
	// Tasks counts the waiting tasks for which no slot is free.
	Tasks int
	// Wait is the projected wait of the last of them without a loan.
	Wait clock.Millis
}

// WorthLending reports whether the wait saved exceeds the cost of the loan: the request
// and the grant cross the link once each before the first task can start.
func (n LoanNeed) WorthLending(oneWay clock.Millis) bool {
	return n.Tasks > 0 && n.Wait > 2*oneWay
}

// loanable returns how many of the idle slots may be lent. An eighth of all slots stays
// as a reserve, since the next arrival at the lender would otherwise wait for a return.
func loanable(idle, total datacentre.Slots) datacentre.Slots {
	return max(idle-(total+7)/8, 0)
}
