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

// LoanNeed is what a VM with backlog asks of its peers.
type LoanNeed struct {
	// Tasks counts the waiting tasks for which no slot is free.
	Tasks int
	// Wait is the projected wait of the last of them without a loan.
	Wait clock.Millis
	// Slots counts the slots that the VM may use already.
	Slots datacentre.Slots
	// Asked counts the peers that were asked at the same time.
	Asked int
}

// WorthLending reports whether the wait saved exceeds the cost of the loan: the request
// and the grant cross the link once each before the first task can start.
func (n LoanNeed) WorthLending(oneWay clock.Millis) bool {
	return n.Tasks > 0 && n.Wait > 2*oneWay
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
		Tasks: tasks,
		Wait:  clock.Millis(s.work / slotMillis(max(s.placement.total, 1))),
		Slots: s.placement.total,
	}
}

// Lend decides on a peer's request and takes the granted slots away from this VM until
// Reclaim. Only own slots are lent, never borrowed ones.
func (s *Scheduler) Lend(_ clock.Millis, need LoanNeed, oneWay clock.Millis) []SlotLoan {
	if !need.WorthLending(oneWay) || s.waiting > 0 {
		return nil
	}
	left := min(loanable(s.placement.free, s.placement.total), datacentre.Slots(need.Tasks))
	var loans []SlotLoan
	for left > 0 {
		more := s.lendFree(left)
		if len(more) == 0 {
			break
		}
		left -= more[0].Slots
		loans = append(loans, more...)
	}
	return loans
}

// lendFree lends free own slots of one endpoint, up to left.
func (s *Scheduler) lendFree(left datacentre.Slots) []SlotLoan {
	for _, m := range s.all {
		if m.standing != trusted {
			continue
		}
		n := min(m.free(), m.owned-m.lent, left)
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
	m := s.machine(l.Endpoint)
	s.placement.before(m)
	m.lent = max(m.lent-l.Slots, 0)
	s.placement.after(m)
}

// Borrow adds slots that a peer has lent.
func (s *Scheduler) Borrow(_ clock.Millis, l SlotLoan) {
	m := s.machine(l.Endpoint)
	s.placement.before(m)
	m.borrowed += l.Slots
	s.placement.after(m)
}

// GiveBack takes borrowed slots away when the lease has expired, as far as they are still
// borrowed. Tasks that run there are not affected: inUse of the slots can go back to the
// lender only as tasks end, the returned ones now.
func (s *Scheduler) GiveBack(_ clock.Millis, l SlotLoan) (returned, inUse datacentre.Slots) {
	m := s.machine(l.Endpoint)
	taken := min(l.Slots, m.borrowed)
	idle := max(m.capacity()-m.used, 0)
	s.placement.before(m)
	m.borrowed -= taken
	s.placement.after(m)
	returned = min(taken, idle)
	return returned, taken - returned
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

// PeerSlots returns what to tell peers about loans.
func (s *Scheduler) PeerSlots() PeerSlots {
	p := PeerSlots{Wait: clock.Millis(s.work / slotMillis(max(s.placement.total, 1)))}
	if s.waiting == 0 {
		p.Lendable = loanable(s.placement.free, s.placement.total)
	}
	return p
}

// SetBorrowable sets how many slots peers would lend, for the projection at Admit.
func (s *Scheduler) SetBorrowable(slots datacentre.Slots) {
	s.borrowable = slots
}

// Slots returns the number of slots that this VM may use now.
func (s *Scheduler) Slots() datacentre.Slots {
	return s.placement.total
}
