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

// Promise decides on a peer's request when Lend grants nothing because tasks wait here
// too. It returns the number of slots that will be lent as they become free, so that
// both VMs have the same wait; NextGrant hands them out. VMs differ in size and in the
// number of their endpoints, but not in the jobs that a load balancer sends them.
func (s *Scheduler) Promise(now clock.Millis, peer vm.Incarnation, need LoanNeed, oneWay clock.Millis) datacentre.Slots {
	own := LoanNeed{Wait: clock.Millis(s.work / slotMillis(max(s.placement.total, 1)))}
	if s.waiting == 0 || !need.WorthLending(oneWay) || need.Wait < own.Wait*promiseWaitHalves/2+2*oneWay {
		return 0
	}
	slots := need.slotsToLevel(s.work, s.placement.total)
	if slots > 0 {
		s.promises = append(s.promises, promise{peer: peer, slots: slots, until: now + promiseSpan})
	}
	return slots
}

// slotsToLevel returns how many of a lender's slots give both VMs the same wait, divided
// by the number of peers that were asked.
func (n LoanNeed) slotsToLevel(work slotMillis, total datacentre.Slots) datacentre.Slots {
	theirs := slotMillis(n.Wait) * slotMillis(max(n.Slots, 1))
	level := (theirs*slotMillis(total) - work*slotMillis(n.Slots)) / (theirs + work)
	return min(datacentre.Slots(level)/datacentre.Slots(max(n.Asked, 1)), datacentre.Slots(n.Tasks))
}

// NextGrant turns a free slot into a loan that was promised. Call it before Next.
func (s *Scheduler) NextGrant(now clock.Millis) (vm.Incarnation, SlotLoan, bool) {
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
