package entry

import (
	"context"

	"github.com/sequoiacart/sequoiacart/pkg/loan"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// LoanCaller borrows slots from peers and returns them.
type LoanCaller interface {
	RequestLoan(ctx context.Context, lender vm.VM, r loan.Request) (loan.Grant, error)
	ReturnLoans(ctx context.Context, lender vm.VM, borrower vm.Incarnation, returns []loan.Return) error
}

func (t *Traffic) requestLoan(a RequestLoan) {
	ctx, cancel := context.WithTimeout(context.Background(), t.config.PeerTimeout.Duration())
	defer cancel()
	grant, err := t.config.Loans.RequestLoan(ctx, a.To, a.Request)
	if err != nil {
		t.loop.Post(context.Background(), LoanFailed{Lender: a.To.Incarnation, Request: a.Request.ID})
		return
	}
	t.loop.Post(context.Background(), LoanAnswered{
		Lender: a.To.Incarnation, Request: a.Request.ID, RequestedAt: a.RequestedAt, Grant: grant,
	})
}

func (t *Traffic) returnLoans(a ReturnLoans) {
	ctx, cancel := context.WithTimeout(context.Background(), t.config.PeerTimeout.Duration())
	defer cancel()
	if err := t.config.Loans.ReturnLoans(ctx, a.To, t.config.Self, a.Returns); err != nil {
		return
	}
	t.loop.Post(context.Background(), LoansAcknowledged{Returns: a.Returns})
}
