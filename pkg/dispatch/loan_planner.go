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
	// leastLoanWait is the shortest wait for which peers are asked. It is more than the way
	// there and back: slots that become free here in a few milliseconds make most answers
	// useless.
	leastLoanWait = 5 * clock.Millis(1)
	// Below this wait the backlog is gone before promised slots are free.
	leastPromiseWait = 100 * clock.Millis(1)
	// One request is under way to a peer at a time; without an answer it counts as lost.
	loanRequestTimeout = clock.Second
	// unheardAtOnce bounds the peers that are asked at once without knowing their slots; each
	// may have nothing to lend.
	unheardAtOnce = 3
)

// LoanPlanner decides which peers to ask for slots, and for how many.
type LoanPlanner struct {
	peers map[vm.Incarnation]*loanPeer
}

type loanPeer struct {
	slots SlotReport
	// heard says that the peer tells of its slots without being asked.
	heard     bool
	notBefore clock.Millis
	pause     clock.Millis
}

// NewLoanPlanner returns a plan that knows no peers.
func NewLoanPlanner() *LoanPlanner {
	return &LoanPlanner{peers: make(map[vm.Incarnation]*loanPeer)}
}

// RecordReport takes what a peer has told.
func (r *LoanPlanner) RecordReport(peer vm.Incarnation, slots SlotReport) {
	p := r.peer(peer)
	p.slots, p.heard = slots, true
}

func (r *LoanPlanner) peer(id vm.Incarnation) *loanPeer {
	p, ok := r.peers[id]
	if !ok {
		p = &loanPeer{}
		r.peers[id] = p
	}
	return p
}

// Borrowable is the number of slots that peers would lend, as far as they have told.
func (r *LoanPlanner) Borrowable() datacentre.Slots {
	sum := datacentre.Slots(0)
	for _, p := range r.peers {
		sum += p.slots.Lendable
	}
	return sum
}

// PeerLoad sums up what the peers have told.
func (r *LoanPlanner) PeerLoad() PeerLoad {
	var l PeerLoad
	for _, p := range r.peers {
		l.Slots += p.slots.Slots
		l.work += slotMillis(p.slots.Wait) * slotMillis(p.slots.Slots)
		if p.slots.UrgentWait < leastPromiseWait {
			l.UrgentSlots += p.slots.Slots / urgentLoanPart
		}
	}
	return l
}

// Plan splits the need between the peers, in the given order. Peers with idle slots are
// asked for as many as they have. For the rest, peers with a shorter wait are asked for a
// promise.
func (r *LoanPlanner) Plan(now clock.Millis, need LoanNeed, peers []vm.Incarnation) []LoanRequest {
	if need.Wait < leastLoanWait {
		return nil
	}
	requests, left := r.askIdle(now, need, peers)
	if left <= 0 || max(need.Wait, need.UrgentWait) < leastPromiseWait {
		return requests
	}
	first := len(requests)
	for _, id := range peers {
		p := r.peer(id)
		if now >= p.notBefore && p.slots.promises(need) {
			requests = append(requests, LoanRequest{Peer: id})
			p.notBefore = now + loanRequestTimeout
		}
	}
	asked := len(requests) - first
	for i := range requests[first:] {
		n := need
		n.Tasks, n.AskedPeers = (left+asked-1)/asked, asked
		requests[first+i].Need = n
	}
	return requests
}

// PlanUnreported asks peers that never tell of their slots, for the whole need each. Those of
// another data centre send heartbeats to some of its VMs only.
func (r *LoanPlanner) PlanUnreported(now clock.Millis, need LoanNeed, peers []vm.Incarnation) []LoanRequest {
	if need.Wait < leastLoanWait {
		return nil
	}
	need.AskedPeers = 1
	var requests []LoanRequest
	for _, id := range peers {
		p := r.peer(id)
		if p.heard || now < p.notBefore || len(requests) == unheardAtOnce {
			continue
		}
		p.notBefore = now + loanRequestTimeout
		requests = append(requests, LoanRequest{Peer: id, Need: need})
	}
	return requests
}

func (r *LoanPlanner) askIdle(now clock.Millis, need LoanNeed, peers []vm.Incarnation) (requests []LoanRequest, left int) {
	left = need.Tasks
	for left > 0 {
		id, p := r.mostIdle(now, peers)
		if p == nil {
			break
		}
		n := need
		n.Tasks, n.AskedPeers = min(left, int(p.slots.Lendable)), 1
		left -= n.Tasks
		p.notBefore = now + loanRequestTimeout
		requests = append(requests, LoanRequest{Peer: id, Need: n})
	}
	return requests, left
}

// mostIdle returns the peer with the most slots to lend. Those with few have probably
// used them by the time the request arrives.
func (r *LoanPlanner) mostIdle(now clock.Millis, peers []vm.Incarnation) (vm.Incarnation, *loanPeer) {
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

// RecordAnswer takes the answer of a peer: the slots that it has lent or promised, and what
// it has left.
func (r *LoanPlanner) RecordAnswer(now clock.Millis, peer vm.Incarnation, granted datacentre.Slots, left SlotReport) {
	p := r.peer(peer)
	p.slots = left
	if granted > 0 {
		p.pause, p.notBefore = 0, now
		return
	}
	p.pause = min(max(2*p.pause, firstLoanPause), lastLoanPause)
	p.notBefore = now + p.pause
}

// Remove drops the peers that are gone.
func (r *LoanPlanner) Remove(gone func(vm.Incarnation) bool) {
	for id := range r.peers {
		if gone(id) {
			delete(r.peers, id)
		}
	}
}
