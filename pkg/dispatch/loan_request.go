package dispatch

import "github.com/sequoiacart/sequoiacart/pkg/vm"

// LoanRequest is a request for slots to one peer.
type LoanRequest struct {
	Peer vm.Incarnation
	Need LoanNeed
}
