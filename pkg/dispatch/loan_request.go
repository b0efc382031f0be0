package dispatch

import "github.com/sequoiacart/sequoiacart/pkg/vm"

// LoanRequest is what one peer is asked for.
type LoanRequest struct {
	Peer vm.Incarnation
	Need LoanNeed
}
