package dispatch

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

const (
	// A VM with a backlog lends only to a peer whose wait is longer by at least this factor,
	// in halves. With a smaller one, slots would move back and forth between VMs with equal
	// backlogs.
	minWaitRatioHalves = 3
	// A VM with a shorter urgent wait lends up to a quarter of its slots to a peer with
	// urgent tasks, since one urgent job can exceed all slots of its VM.
	urgentLoanDivisor = 4
	// deferredLoanTimeout is how long a deferred loan is pending. After that the peer asks
	// again.
	deferredLoanTimeout = 200 * clock.Millis(1)
)

// deferredLoan is a number of slots that a peer is granted as they become free.
type deferredLoan struct {
	peer      vm.Incarnation
	slots     datacentre.Slots
	expiresAt clock.Millis
}

// DeferLoan decides on a peer's request if Lend grants nothing because tasks wait on this VM
// too. It returns the number of slots that will be lent as they become free, so that both
// VMs have the same wait; NextDeferredLoan grants them. This is needed because VMs differ
// in size and in their number of endpoints, while a load balancer sends all of them the
// same number of jobs.
func (s *Scheduler) DeferLoan(now clock.Millis, peer vm.Incarnation, need LoanNeed, oneWay clock.Millis) datacentre.Slots {
	if s.waiting == 0 || !need.WorthLending(oneWay) {
		return 0
	}
	slots := datacentre.Slots(0)
	if need.Wait > s.projectedWait(s.work)*minWaitRatioHalves/2+2*oneWay {
		slots = need.slotsToBalance(s.work, s.placement.total)
	}
	if need.UrgentWait > max(s.projectedWait(s.urgentWork)*minWaitRatioHalves/2, minDeferredLoanWait) {
		slots = max(slots, need.urgentSlots(s.placement.total))
	}
	if slots > 0 {
		s.deferredLoans = append(s.deferredLoans, deferredLoan{peer: peer, slots: slots, expiresAt: now + deferredLoanTimeout})
	}
	return slots
}

// NextDeferredLoan lends free slots to the first peer with a deferred loan. Call it before
// Next, which would use these slots for tasks of this VM.
func (s *Scheduler) NextDeferredLoan(now clock.Millis) (vm.Incarnation, SlotLoan, bool) {
	for len(s.deferredLoans) > 0 && s.placement.free > 0 {
		d := &s.deferredLoans[0]
		if d.expiresAt < now || d.slots <= 0 {
			s.deferredLoans = s.deferredLoans[1:]
			continue
		}
		loans := s.lendSlots(d.slots)
		if len(loans) == 0 {
			return "", SlotLoan{}, false
		}
		d.slots -= loans[0].Slots
		return d.peer, loans[0], true
	}
	return "", SlotLoan{}, false
}
