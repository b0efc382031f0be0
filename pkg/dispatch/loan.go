package dispatch

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// SlotLoan is a number of slots of one endpoint that the home VM lends to a peer.
type SlotLoan struct {
	Endpoint datacentre.EndpointID
	Slots    datacentre.Slots
}

// lendableSlots returns how many of the idle slots may be lent. An eighth of all slots is
// kept in reserve; otherwise the lender's next task would wait for a return.
func lendableSlots(idle, total datacentre.Slots) datacentre.Slots {
	return max(idle-(total+7)/8, 0)
}

// LoanNeed returns this VM's current need for borrowed slots.
func (s *Scheduler) LoanNeed(_ clock.Millis) LoanNeed {
	tasks := s.waiting - int(s.placement.free)
	if tasks <= 0 {
		return LoanNeed{}
	}
	return LoanNeed{
		Tasks:       tasks,
		Wait:        s.projectedWait(s.work),
		UrgentTasks: s.urgentTasks,
		UrgentWait:  s.projectedWait(s.urgentWork),
		Slots:       s.placement.total,
	}
}

// Offer returns the loans to grant on a peer's request. Only own slots are lent, not
// borrowed ones. It changes no state: the caller records the loans with their terms and
// sets the remaining slots with SetSlots.
func (s *Scheduler) Offer(need LoanNeed, oneWay clock.Millis) []SlotLoan {
	if !need.WorthLending(oneWay) || s.waiting > 0 {
		return nil
	}
	left := min(lendableSlots(s.placement.free, s.placement.total), datacentre.Slots(need.Tasks))
	var loans []SlotLoan
	for _, ep := range s.endpointList {
		n := min(ep.lendable(), left)
		if n <= 0 {
			continue
		}
		left -= n
		loans = append(loans, SlotLoan{Endpoint: ep.id, Slots: n})
	}
	return loans
}

// Lend grants the loans that Offer returns. This VM doesn't use their slots until Reclaim.
func (s *Scheduler) Lend(_ clock.Millis, need LoanNeed, oneWay clock.Millis) []SlotLoan {
	loans := s.Offer(need, oneWay)
	for _, l := range loans {
		ep := s.endpoint(l.Endpoint)
		s.placement.beginChange(ep)
		ep.lent += l.Slots
		s.placement.endChange(ep)
	}
	return loans
}

// lendSlots lends free own slots of one endpoint, at most limit.
func (s *Scheduler) lendSlots(limit datacentre.Slots) []SlotLoan {
	for _, ep := range s.endpointList {
		n := min(ep.lendable(), limit)
		if n <= 0 {
			continue
		}
		s.placement.beginChange(ep)
		ep.lent += n
		s.placement.endChange(ep)
		return []SlotLoan{{Endpoint: ep.id, Slots: n}}
	}
	return nil
}

// Reclaim takes lent slots back when the peer has returned them or the loan has expired.
func (s *Scheduler) Reclaim(_ clock.Millis, l SlotLoan) {
	ep := s.endpoint(l.Endpoint)
	s.placement.beginChange(ep)
	ep.lent = max(ep.lent-l.Slots, 0)
	s.placement.endChange(ep)
}

// Borrow adds slots that a peer has lent to this VM.
func (s *Scheduler) Borrow(_ clock.Millis, l SlotLoan) {
	ep := s.endpoint(l.Endpoint)
	s.placement.beginChange(ep)
	ep.borrowed += l.Slots
	s.placement.endChange(ep)
}

// SetBorrowed sets how many slots of an endpoint are borrowed. It replaces Borrow and
// ExpireLoan for callers that track the terms of loans themselves.
func (s *Scheduler) SetBorrowed(_ clock.Millis, e datacentre.EndpointID, slots datacentre.Slots) {
	ep := s.endpoint(e)
	if ep.borrowed == slots {
		return
	}
	s.placement.beginChange(ep)
	ep.borrowed = slots
	s.placement.endChange(ep)
}

// ExpireLoan removes those borrowed slots of an expired loan that are still borrowed.
// Running tasks are not affected: the returned slots can go back to the lender now, and
// those in use are delivered by NextReturn as their tasks end.
func (s *Scheduler) ExpireLoan(_ clock.Millis, l SlotLoan) (returned, inUse datacentre.Slots) {
	ep := s.endpoint(l.Endpoint)
	s.placement.beginChange(ep)
	taken := min(l.Slots, ep.borrowed)
	returned = min(taken, max(ep.capacity()-ep.used, 0))
	inUse = taken - returned
	ep.borrowed -= taken
	ep.used -= inUse
	ep.expired += inUse
	s.placement.endChange(ep)
	return returned, inUse
}

// ReturnIdle removes and returns the idle borrowed slots. While tasks wait, it returns
// none.
func (s *Scheduler) ReturnIdle(_ clock.Millis) []SlotLoan {
	if s.waiting > 0 {
		return nil
	}
	var loans []SlotLoan
	for _, ep := range s.endpointList {
		n := min(ep.borrowed, ep.capacity()-ep.used)
		if n <= 0 {
			continue
		}
		s.placement.beginChange(ep)
		ep.borrowed -= n
		s.placement.endChange(ep)
		loans = append(loans, SlotLoan{Endpoint: ep.id, Slots: n})
	}
	return loans
}

// SlotReport returns the slot report for peers.
func (s *Scheduler) SlotReport() SlotReport {
	r := SlotReport{
		Slots:      s.placement.total,
		Wait:       s.projectedWait(s.work),
		UrgentWait: s.projectedWait(s.urgentWork),
	}
	if s.waiting == 0 {
		r.Lendable = lendableSlots(s.placement.free, s.placement.total)
	}
	return r
}

// projectedWait returns the time that all slots together need for the work.
func (s *Scheduler) projectedWait(work slotMillis) clock.Millis {
	return clock.Millis(work / slotMillis(max(s.placement.total, 1)))
}

// SetBorrowable sets how many idle slots peers would lend, for the projection in Admit.
func (s *Scheduler) SetBorrowable(slots datacentre.Slots) {
	s.borrowable = slots
}

// SetPeerLoad sets the load that peers have reported, for the projection in Admit. Call it
// only if DeferLoan and NextDeferredLoan are used: the projection assumes that deferred
// loans equalise the waits of all VMs.
func (s *Scheduler) SetPeerLoad(l PeerLoad) {
	s.peerLoad = l
}

// NextReturn returns and removes a slot of an expired loan whose task has ended, if there
// is one.
func (s *Scheduler) NextReturn() (SlotLoan, bool) {
	n := len(s.returns)
	if n == 0 {
		return SlotLoan{}, false
	}
	l := s.returns[n-1]
	s.returns = s.returns[:n-1]
	return l, true
}
