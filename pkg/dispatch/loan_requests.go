package dispatch

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

const (
	// A peer that had nothing to lend is asked again after a pause that doubles from the
	// first to the last; a useless request costs a message of the waste budget.
	firstLoanPause = 20 * clock.Millis(1)
	lastLoanPause  = 640 * clock.Millis(1)
	// Below this wait the backlog is gone before promised slots are free.
	leastPromiseWait = 100 * clock.Millis(1)
	// One request is under way to a peer at a time; without an answer it counts as lost.
	loanRequestTimeout = clock.Second
)

// PeerSlots is what a VM tells its peers with heartbeats and with answers to loan
// requests, so that they ask where there is something to lend.
type PeerSlots struct {
	// Lendable counts the slots that the VM would lend now.
	Lendable datacentre.Slots
	// Wait is the projected wait of the last task in its queue.
	Wait clock.Millis
}

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
	slots     PeerSlots
	notBefore clock.Millis
	pause     clock.Millis
}

// NewLoanRequests returns a plan that knows no peers.
func NewLoanRequests() *LoanRequests {
	return &LoanRequests{peers: make(map[vm.Incarnation]*loanPeer)}
}

// Learn takes what a peer has told.
func (r *LoanRequests) Learn(peer vm.Incarnation, slots PeerSlots) {
	r.peer(peer).slots = slots
}

func (r *LoanRequests) peer(id vm.Incarnation) *loanPeer {
	p, ok := r.peers[id]
	if !ok {
		p = &loanPeer{}
		r.peers[id] = p
	}
	return p
}

// Borrowable is the number of slots that peers would lend, as far as they have told.
func (r *LoanRequests) Borrowable() datacentre.Slots {
	sum := datacentre.Slots(0)
	for _, p := range r.peers {
		sum += p.slots.Lendable
	}
	return sum
}

// Plan splits the need between the peers, in the given order. Peers with idle slots are
// asked for as many as they have. For the rest, peers with a shorter wait are asked for a
// promise.
func (r *LoanRequests) Plan(now clock.Millis, need LoanNeed, peers []vm.Incarnation) []LoanRequest {
	requests, left := r.askIdle(now, need, peers)
	if left <= 0 || need.Wait < leastPromiseWait {
		return requests
	}
	first := len(requests)
	for _, id := range peers {
		p := r.peer(id)
		if now >= p.notBefore && p.slots.Wait > 0 && need.Wait > p.slots.Wait*promiseWaitHalves/2 {
			requests = append(requests, LoanRequest{Peer: id})
			p.notBefore = now + loanRequestTimeout
		}
	}
	asked := len(requests) - first
	for i := range requests[first:] {
		n := need
		n.Tasks, n.Asked = (left+asked-1)/asked, asked
		requests[first+i].Need = n
	}
	return requests
}

func (r *LoanRequests) askIdle(now clock.Millis, need LoanNeed, peers []vm.Incarnation) (requests []LoanRequest, left int) {
	left = need.Tasks
	for left > 0 {
		id, p := r.mostIdle(now, peers)
		if p == nil {
			break
		}
		n := need
		n.Tasks, n.Asked = min(left, int(p.slots.Lendable)), 1
		left -= n.Tasks
		p.notBefore = now + loanRequestTimeout
		requests = append(requests, LoanRequest{Peer: id, Need: n})
	}
	return requests, left
}

// mostIdle returns the peer with the most slots to lend. Those with few have probably
// used them by the time the request arrives.
func (r *LoanRequests) mostIdle(now clock.Millis, peers []vm.Incarnation) (vm.Incarnation, *loanPeer) {
	var best *loanPeer
	var name vm.Incarnation
	for _, id := range peers {
		p := r.peer(id)
		if now < p.notBefore || p.slots.Lendable <= 0 {
			continue
		}
		if best == nil || p.slots.Lendable > best.slots.Lendable {
			name, best = id, p
		}
	}
	return name, best
}

// Answered takes the answer of a peer: the slots that it has lent or promised, and what
// it has left.
func (r *LoanRequests) Answered(now clock.Millis, peer vm.Incarnation, granted datacentre.Slots, left PeerSlots) {
	p := r.peer(peer)
	p.slots = left
	if granted > 0 {
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
