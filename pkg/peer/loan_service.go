package peer

import (
	"context"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/entry"
	"github.com/sequoiacart/sequoiacart/pkg/loan"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// loanService lends slots to peers.
type loanService struct {
	handler Handler
}

// Request handles a loan request.
func (l *loanService) Request(request LoanRequest, reply *LoanReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), entry.HeartbeatTimeout.Duration())
	defer cancel()
	granted, err := l.handler.HandleLoanRequest(ctx, decodeLoanRequest(request))
	if err != nil {
		return errors.Trace(err)
	}
	*reply = encodeGrant(granted)
	return nil
}

// Return handles the return of loans.
func (l *loanService) Return(request ReturnRequest, reply *ReturnReply) error {
	returns := make([]loan.Return, len(request.Returns))
	for i, r := range request.Returns {
		returns[i] = loan.Return{Loan: decodeLoanID(r.Loan), Held: datacentre.Slots(r.Held)}
	}
	ctx, cancel := context.WithTimeout(context.Background(), entry.HeartbeatTimeout.Duration())
	defer cancel()
	if err := l.handler.HandleLoanReturns(ctx, vm.Incarnation(request.Borrower), returns); err != nil {
		return errors.Trace(err)
	}
	reply.Handled = true
	return nil
}

// RequestLoan requests slots from a peer.
func (c *Client) RequestLoan(ctx context.Context, lender vm.VM, r loan.Request) (loan.Grant, error) {
	var reply LoanReply
	if err := c.call(ctx, lender, "Loan.Request", encodeLoanRequest(r), &reply); err != nil {
		return loan.Grant{}, errors.Trace(err)
	}
	return decodeGrant(reply), nil
}

// ReturnLoans returns slots to a peer.
func (c *Client) ReturnLoans(ctx context.Context, lender vm.VM, borrower vm.Incarnation, returns []loan.Return) error {
	request := ReturnRequest{Borrower: string(borrower)}
	for _, r := range returns {
		request.Returns = append(request.Returns, WireReturn{Loan: encodeLoanID(r.Loan), Held: int(r.Held)})
	}
	var reply ReturnReply
	return errors.Trace(c.call(ctx, lender, "Loan.Return", request, &reply))
}
