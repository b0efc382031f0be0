package dispatch

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

const (
	// A peer that had nothing to lend is asked again after a pause that doubles from the
	// first to the last; a useless request costs a message of the waste budget.
	firstLoanPause = 20 * clock.Millis(1)
	lastLoanPause  = 640 * clock.Millis(1)
	// One request is under way to a peer at a time; without an answer it counts as lost.
	loanRequestTimeout = clock.Second
)

// LoanRequest is what one peer is asked for.
type LoanRequest struct {
	Peer vm.Incarnation
	Need LoanNeed
}

// LoanRequests decides which peers to ask for slots, and for how many.
type LoanRequests struct {
	peers map[vm.Incarnation]*loanPeer
}

type loanPeer struct {
	notBefore clock.Millis
	pause     clock.Millis
}

// NewLoanRequests returns a plan that has asked nobody yet.
func NewLoanRequests() *LoanRequests {
	return &LoanRequests{peers: make(map[vm.Incarnation]*loanPeer)}
}

// Plan splits the need between the peers that may be asked now, in the given order.
func (r *LoanRequests) Plan(now clock.Millis, need LoanNeed, peers []vm.Incarnation) []LoanRequest {
	if need.Tasks <= 0 {
		return nil
	}
	var asked []*loanPeer
	var requests []LoanRequest
	for _, id := range peers {
		p, ok := r.peers[id]
		if !ok {
			p = &loanPeer{}
			r.peers[id] = p
		}
		if now >= p.notBefore && len(asked) < need.Tasks {
			asked = append(asked, p)
			requests = append(requests, LoanRequest{Peer: id})
		}
	}
	for i, p := range asked {
		p.notBefore = now + loanRequestTimeout
		requests[i].Need = need
		requests[i].Need.Tasks = (need.Tasks + len(asked) - 1) / len(asked)
		requests[i].Need.Asked = len(asked)
	}
	return requests
}

// Answered takes the number of slots that a peer has lent.
func (r *LoanRequests) Answered(now clock.Millis, peer vm.Incarnation, loans []SlotLoan) {
	p, ok := r.peers[peer]
	if !ok {
		return
	}
	if len(loans) > 0 {
		p.pause, p.notBefore = 0, now
		return
	}
	p.pause = min(max(2*p.pause, firstLoanPause), lastLoanPause)
	p.notBefore = now + p.pause
}

// Forget drops a peer that has left the roster.
func (r *LoanRequests) Forget(peer vm.Incarnation) {
	delete(r.peers, peer)
}
