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

// loanable returns how many of the idle slots may be lent. An eighth of all slots stays
// as a reserve, since the next arrival at the lender would otherwise wait for a return.
func loanable(idle, total datacentre.Slots) datacentre.Slots {
	return max(idle-(total+7)/8, 0)
}

// LoanNeed returns what this VM would borrow from peers.
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

// Offer decides on a peer's request. Only own slots are lent, never borrowed ones. It
// changes nothing: the daemon books the loans with their terms and sets the slots that are
// left.
func (s *Scheduler) Offer(need LoanNeed, oneWay clock.Millis) []SlotLoan {
	if !need.WorthLending(oneWay) || s.waiting > 0 {
		return nil
	}
	left := min(loanable(s.placement.free, s.placement.total), datacentre.Slots(need.Tasks))
	var loans []SlotLoan
	for _, m := range s.all {
		n := min(m.lendable(), left)
		if n <= 0 {
			continue
		}
		left -= n
		loans = append(loans, SlotLoan{Endpoint: m.id, Slots: n})
	}
	return loans
}

// Lend makes the loans of Offer and takes their slots away from this VM until Reclaim.
func (s *Scheduler) Lend(_ clock.Millis, need LoanNeed, oneWay clock.Millis) []SlotLoan {
	loans := s.Offer(need, oneWay)
	for _, l := range loans {
		m := s.endpoint(l.Endpoint)
		s.placement.before(m)
		m.lent += l.Slots
		s.placement.after(m)
	}
	return loans
}

// lendFree lends free own slots of one endpoint, up to left.
func (s *Scheduler) lendFree(left datacentre.Slots) []SlotLoan {
	for _, m := range s.all {
		n := min(m.lendable(), left)
		if n <= 0 {
			continue
		}
		s.placement.before(m)
		m.lent += n
		s.placement.after(m)
		return []SlotLoan{{Endpoint: m.id, Slots: n}}
	}
	return nil
}

// Reclaim takes lent slots back, when the peer returns them or the lease has expired.
func (s *Scheduler) Reclaim(_ clock.Millis, l SlotLoan) {
	m := s.endpoint(l.Endpoint)
	s.placement.before(m)
	m.lent = max(m.lent-l.Slots, 0)
	s.placement.after(m)
}

// Borrow adds slots that a peer has lent.
func (s *Scheduler) Borrow(_ clock.Millis, l SlotLoan) {
	m := s.endpoint(l.Endpoint)
	s.placement.before(m)
	m.borrowed += l.Slots
	s.placement.after(m)
}

// SetBorrowed sets how many slots of an endpoint are borrowed, in place of Borrow and
// ExpireLoan, for a caller that keeps the terms of loans itself.
func (s *Scheduler) SetBorrowed(_ clock.Millis, e datacentre.EndpointID, slots datacentre.Slots) {
	m := s.endpoint(e)
	if m.borrowed == slots {
		return
	}
	s.placement.before(m)
	m.borrowed = slots
	s.placement.after(m)
}

// ExpireLoan takes borrowed slots away when the lease has expired, as far as they are still
// borrowed. Tasks that run there are not affected: the returned slots can go back to the
// lender now, those in use come out of NextReturn as tasks end.
func (s *Scheduler) ExpireLoan(_ clock.Millis, l SlotLoan) (returned, inUse datacentre.Slots) {
	m := s.endpoint(l.Endpoint)
	s.placement.before(m)
	taken := min(l.Slots, m.borrowed)
	returned = min(taken, max(m.capacity()-m.used, 0))
	inUse = taken - returned
	m.borrowed -= taken
	m.used -= inUse
	m.overdue += inUse
	s.placement.after(m)
	return returned, inUse
}

// ReturnIdle takes away the borrowed slots that are idle, and returns them. While tasks
// wait it returns none.
func (s *Scheduler) ReturnIdle(_ clock.Millis) []SlotLoan {
	if s.waiting > 0 {
		return nil
	}
	var loans []SlotLoan
	for _, m := range s.all {
		n := min(m.borrowed, m.capacity()-m.used)
		if n <= 0 {
			continue
		}
		s.placement.before(m)
		m.borrowed -= n
		s.placement.after(m)
		loans = append(loans, SlotLoan{Endpoint: m.id, Slots: n})
	}
	return loans
}

// SlotReport returns what to tell peers about loans.
func (s *Scheduler) SlotReport() SlotReport {
	p := SlotReport{
		Slots:      s.placement.total,
		Wait:       s.projectedWait(s.work),
		UrgentWait: s.projectedWait(s.urgentWork),
	}
	if s.waiting == 0 {
		p.Lendable = loanable(s.placement.free, s.placement.total)
	}
	return p
}

// projectedWait is the time in which all slots do the work.
func (s *Scheduler) projectedWait(work slotMillis) clock.Millis {
	return clock.Millis(work / slotMillis(max(s.placement.total, 1)))
}

// SetBorrowable sets how many slots peers would lend for any work, for the projection at
// Admit.
func (s *Scheduler) SetBorrowable(slots datacentre.Slots) {
	s.borrowable = slots
}

// SetPeerLoad sets what peers have told of their load, for the projection at Admit. Call
// it only where DeferLoan and NextDeferredLoan level the waits of VMs; the projection counts on it.
func (s *Scheduler) SetPeerLoad(l PeerLoad) {
	s.peersLoad = l
}

// NextReturn returns a slot of an expired loan whose task has ended since the last call.
func (s *Scheduler) NextReturn() (SlotLoan, bool) {
	n := len(s.returns)
	if n == 0 {
		return SlotLoan{}, false
	}
	l := s.returns[n-1]
	s.returns = s.returns[:n-1]
	return l, true
}
