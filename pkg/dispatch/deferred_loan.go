package dispatch

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

const (
	// A VM with backlog gives up slots only to a peer whose wait is this much longer, in
	// halves; otherwise slots would go back and forth between VMs with equal backlog.
	promiseWaitHalves = 3
	// A peer with urgent tasks gets up to a quarter of the slots of a VM that has fewer. An
	// urgent job can be larger than all slots of its VM.
	urgentLoanPart = 4
	// promiseSpan is the time within which a promise can become loans. The peer asks again
	// after that.
	promiseSpan = 200 * clock.Millis(1)
)

// promise is a number of slots that a peer gets as they become free.
type promise struct {
	peer  vm.Incarnation
	slots datacentre.Slots
	until clock.Millis
}

// DeferLoan decides on a peer's request when Lend grants nothing because tasks wait here
// too. It returns the number of slots that will be lent as they become free, so that
// both VMs have the same wait; NextDeferredLoan hands them out. VMs differ in size and in the
// number of their endpoints, but not in the jobs that a load balancer sends them.
func (s *Scheduler) DeferLoan(now clock.Millis, peer vm.Incarnation, need LoanNeed, oneWay clock.Millis) datacentre.Slots {
	if s.waiting == 0 || !need.WorthLending(oneWay) {
		return 0
	}
	slots := datacentre.Slots(0)
	if need.Wait > s.projectedWait(s.work)*promiseWaitHalves/2+2*oneWay {
		slots = need.slotsToLevel(s.work, s.placement.total)
	}
	if need.UrgentWait > max(s.projectedWait(s.urgentWork)*promiseWaitHalves/2, leastPromiseWait) {
		slots = max(slots, need.urgentSlots(s.placement.total))
	}
	if slots > 0 {
		s.promises = append(s.promises, promise{peer: peer, slots: slots, until: now + promiseSpan})
	}
	return slots
}

// NextDeferredLoan turns a free slot into a loan that was promised. Call it before Next.
func (s *Scheduler) NextDeferredLoan(now clock.Millis) (vm.Incarnation, SlotLoan, bool) {
	for len(s.promises) > 0 && s.placement.free > 0 {
		p := &s.promises[0]
		if p.until < now || p.slots <= 0 {
			s.promises = s.promises[1:]
			continue
		}
		loans := s.lendFree(p.slots)
		if len(loans) == 0 {
			return "", SlotLoan{}, false
		}
		p.slots -= loans[0].Slots
		return p.peer, loans[0], true
	}
	return "", SlotLoan{}, false
}
