// Package loan tracks the slots that home VMs lend to peers with a backlog, as lender and as
// borrower.
package loan

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// Term is how long a borrower may start tasks on borrowed slots without a renewal.
const Term = 2 * clock.Second

// Sequence numbers the requests of one borrower.
type Sequence uint64

// RequestID identifies a request. The borrower assigns it, so that it can return the loans
// of a request whose answer was lost.
type RequestID struct {
	Borrower vm.Incarnation
	Sequence Sequence
}

// ID identifies a loan.
type ID struct {
	Request  RequestID
	Endpoint datacentre.EndpointID
}

// Loan is a number of slots of an endpoint that the borrower may use.
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
	// Lendable is the number of slots that the lender would lend in addition.
	Lendable datacentre.Slots
}

// Return reports to the lender how many slots of a loan running tasks still occupy; the
// others are returned. An empty endpoint in the loan's ID stands for all loans of the
// request.
type Return struct {
	Loan ID
	Held datacentre.Slots
}
