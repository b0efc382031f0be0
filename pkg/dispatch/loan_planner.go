package dispatch

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

const (
	// A peer that granted nothing is asked again after an exponential backoff between these
	// bounds, since each request without a grant is a wasted message.
	minRequestBackoff = 20 * clock.Millis(1)
	maxRequestBackoff = 640 * clock.Millis(1)
	// minLoanWait is the shortest wait for which peers are asked. It is longer than the round
	// trip: on a shorter wait, own slots usually become free before the answer is of use.
	minLoanWait = 5 * clock.Millis(1)
	// minDeferredLoanWait is the shortest wait for which deferred loans are requested. Below
	// it, the backlog is done before deferred slots become free.
	minDeferredLoanWait = 100 * clock.Millis(1)
	// loanRequestTimeout is how long a request blocks further requests to the same peer.
	// After that it is assumed lost.
	loanRequestTimeout = clock.Second
	// maxUnreportedRequests bounds the requests of one plan to peers that report no slots,
	// since each of them may have nothing to lend.
	maxUnreportedRequests = 3
)

// LoanPlanner decides which peers to ask for slots, and for how many.
type LoanPlanner struct {
	peers map[vm.Incarnation]*loanPeer
}

type loanPeer struct {
	report SlotReport
	// reported is true if the peer has sent a slot report on its own.
	reported  bool
	notBefore clock.Millis
	backoff   clock.Millis
}

// NewLoanPlanner returns a planner without slot reports.
func NewLoanPlanner() *LoanPlanner {
	return &LoanPlanner{peers: make(map[vm.Incarnation]*loanPeer)}
}

// RecordReport stores a peer's slot report.
func (lp *LoanPlanner) RecordReport(peer vm.Incarnation, report SlotReport) {
	p := lp.peer(peer)
	p.report, p.reported = report, true
}

func (lp *LoanPlanner) peer(id vm.Incarnation) *loanPeer {
	p, ok := lp.peers[id]
	if !ok {
		p = &loanPeer{}
		lp.peers[id] = p
	}
	return p
}

// Borrowable returns the number of slots that peers would lend according to their reports.
func (lp *LoanPlanner) Borrowable() datacentre.Slots {
	sum := datacentre.Slots(0)
	for _, p := range lp.peers {
		sum += p.report.Lendable
	}
	return sum
}

// PeerLoad returns the sum of the peers' reports.
func (lp *LoanPlanner) PeerLoad() PeerLoad {
	var l PeerLoad
	for _, p := range lp.peers {
		l.Slots += p.report.Slots
		l.work += slotMillis(p.report.Wait) * slotMillis(p.report.Slots)
		if p.report.UrgentWait < minDeferredLoanWait {
			l.UrgentSlots += p.report.Slots / urgentLoanDivisor
		}
	}
	return l
}

// Plan splits the need into requests to peers. Peers with idle slots are asked for as many
// as they have. For the remaining need, peers with a shorter wait are asked for deferred
// loans.
func (lp *LoanPlanner) Plan(now clock.Millis, need LoanNeed, peers []vm.Incarnation) []LoanRequest {
	if need.Wait < minLoanWait {
		return nil
	}
	requests, left := lp.requestIdleSlots(now, need, peers)
	if left <= 0 || max(need.Wait, need.UrgentWait) < minDeferredLoanWait {
		return requests
	}
	first := len(requests)
	for _, id := range peers {
		p := lp.peer(id)
		if now >= p.notBefore && p.report.mayDefer(need) {
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

// PlanUnreported asks peers without a slot report, each for the whole need. Peers in other
// data centres send heartbeats to only some VMs of this one, so most VMs have no report of
// theirs.
func (lp *LoanPlanner) PlanUnreported(now clock.Millis, need LoanNeed, peers []vm.Incarnation) []LoanRequest {
	if need.Wait < minLoanWait {
		return nil
	}
	need.AskedPeers = 1
	var requests []LoanRequest
	for _, id := range peers {
		p := lp.peer(id)
		if p.reported || now < p.notBefore || len(requests) == maxUnreportedRequests {
			continue
		}
		p.notBefore = now + loanRequestTimeout
		requests = append(requests, LoanRequest{Peer: id, Need: need})
	}
	return requests
}

func (lp *LoanPlanner) requestIdleSlots(now clock.Millis, need LoanNeed, peers []vm.Incarnation) (requests []LoanRequest, left int) {
	left = need.Tasks
	for left > 0 {
		id, p := lp.mostIdle(now, peers)
		if p == nil {
			break
		}
		n := need
		n.Tasks, n.AskedPeers = min(left, int(p.report.Lendable)), 1
		left -= n.Tasks
		p.notBefore = now + loanRequestTimeout
		requests = append(requests, LoanRequest{Peer: id, Need: n})
	}
	return requests, left
}

// mostIdle returns the peer with the most slots to lend. A peer with few has probably used
// them by the time the request arrives.
func (lp *LoanPlanner) mostIdle(now clock.Millis, peers []vm.Incarnation) (vm.Incarnation, *loanPeer) {
	var best *loanPeer
	var bestID vm.Incarnation
	for _, id := range peers {
		p := lp.peer(id)
		if now < p.notBefore || p.report.Lendable <= 0 {
			continue
		}
		if best == nil || p.report.Lendable > best.report.Lendable {
			bestID, best = id, p
		}
	}
	return bestID, best
}

// RecordAnswer records a peer's answer: the slots that it has lent or deferred, and its slot
// report after that.
func (lp *LoanPlanner) RecordAnswer(now clock.Millis, peer vm.Incarnation, granted datacentre.Slots, report SlotReport) {
	p := lp.peer(peer)
	p.report = report
	if granted > 0 {
		p.backoff, p.notBefore = 0, now
		return
	}
	p.backoff = min(max(2*p.backoff, minRequestBackoff), maxRequestBackoff)
	p.notBefore = now + p.backoff
}

// Remove removes the state of the peers for which match returns true.
func (lp *LoanPlanner) Remove(match func(vm.Incarnation) bool) {
	for id := range lp.peers {
		if match(id) {
			delete(lp.peers, id)
		}
	}
}
