// Package loan keeps the books of slots that home VMs lend to peers with backlog.
package loan

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// Term is how long a borrower may start tasks on borrowed slots.
const Term = 2 * clock.Second

// Sequence numbers the requests of one borrower.
type Sequence uint64

// RequestID names a request. The borrower chooses it, so that it can disclaim the loans
// of a request whose answer was lost.
type RequestID struct {
	Borrower vm.Incarnation
	Sequence Sequence
}

// ID names a loan.
type ID struct {
	Request  RequestID
	Endpoint datacentre.EndpointID
}

// Loan is a number of slots of an endpoint that a peer may use.
type Loan struct {
	ID       ID
	Endpoint datacentre.Endpoint
	Slots    datacentre.Slots
}

// Request asks for slots and for the renewal of loans.
type Request struct {
	ID       RequestID
	Need     dispatch.LoanNeed
	Renewals []ID
}

// Grant is the answer to a request.
type Grant struct {
	Loans []Loan
	// Lendable counts the slots that the lender would still lend.
	Lendable datacentre.Slots
}

// Return tells a lender how many slots of a loan are still held by running tasks. An
// endpoint left empty stands for all loans of the request.
type Return struct {
	Loan ID
	Held datacentre.Slots
}
