package entry

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/loan"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// LoanRequested carries a peer's request for slots. Reply: LoansGranted.
type LoanRequested struct {
	Waiter  WaiterID
	Request loan.Request
}

// LoanAnswered reports a lender's answer to a loan request.
type LoanAnswered struct {
	Lender      vm.Incarnation
	Request     loan.RequestID
	RequestedAt clock.Millis
	Grant       loan.Grant
}

// LoanFailed reports that a loan request was not answered; it may have been granted.
type LoanFailed struct {
	Lender  vm.Incarnation
	Request loan.RequestID
}

// LoansReturned carries the loans that a peer returns. Reply: LoanReturnsHandled.
type LoansReturned struct {
	Waiter   WaiterID
	Borrower vm.Incarnation
	Returns  []loan.Return
}

// LoansAcknowledged reports that a lender has received returns.
type LoansAcknowledged struct{ Returns []loan.Return }

func (LoanRequested) isEvent()     {}
func (LoanAnswered) isEvent()      {}
func (LoanFailed) isEvent()        {}
func (LoansReturned) isEvent()     {}
func (LoansAcknowledged) isEvent() {}

// RequestLoan asks a peer for slots. It completes with LoanAnswered or LoanFailed.
type RequestLoan struct {
	To          vm.VM
	Request     loan.Request
	RequestedAt clock.Millis
}

// ReturnLoans returns borrowed slots to their lender. It completes with LoansAcknowledged; on
// failure there is no event and the returns are sent again.
type ReturnLoans struct {
	To      vm.VM
	Returns []loan.Return
}

func (RequestLoan) isAction() {}
func (ReturnLoans) isAction() {}

// LoansGranted carries the loans granted for a request.
type LoansGranted struct{ Grant loan.Grant }

// LoanReturnsHandled confirms that returns were handled.
type LoanReturnsHandled struct{}

func (LoansGranted) isReply()       {}
func (LoanReturnsHandled) isReply() {}
