package measure

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
)

func (c *cluster) requestLoans(v *entryVM) {
	now := c.simulation.queue.now.schedulerTime()
	for _, r := range v.loans.Plan(now, v.scheduler.LoanNeed(now), v.peers) {
		peer := c.byIncarnation[r.Peer]
		c.simulation.queue.schedule(c.delay(v, peer), loanRequested{from: v, to: peer, need: r.Need})
	}
}

func (c *cluster) lend(e loanRequested) {
	now := c.simulation.queue.now.schedulerTime()
	delay := c.delay(e.from, e.to)
	oneWay := clock.Millis((delay + 999) / 1000)
	granted := loanGranted{from: e.to, to: e.from, answer: true}
	granted.loans = e.to.scheduler.Lend(now, e.need, oneWay)
	if len(granted.loans) == 0 {
		granted.deferred = e.to.scheduler.DeferLoan(now, e.from.vm.Incarnation, e.need, oneWay)
	}
	if len(granted.loans) == 0 && granted.deferred == 0 {
		c.simulation.wasted++
	}
	granted.slotsLeft = e.to.scheduler.SlotReport()
	c.simulation.queue.schedule(delay, granted)
}

// sendDeferredLoans sends the deferred loans for which slots have become free.
func (c *cluster) sendDeferredLoans(v *entryVM) {
	for {
		peer, loan, ok := v.scheduler.NextDeferredLoan(c.simulation.queue.now.schedulerTime())
		if !ok {
			return
		}
		to := c.byIncarnation[peer]
		c.simulation.queue.schedule(c.delay(v, to), loanGranted{from: v, to: to, loans: []dispatch.SlotLoan{loan}})
	}
}

func (c *cluster) borrow(e loanGranted) {
	now := c.simulation.queue.now.schedulerTime()
	granted := e.deferred
	for _, l := range e.loans {
		granted += l.Slots
		e.to.lenders[l.Endpoint] = e.from
		e.to.scheduler.Borrow(now, l)
		c.simulation.queue.schedule(loanDuration, loanExpires{lender: e.from, borrower: e.to, loan: l})
	}
	if e.answer {
		e.to.loans.RecordAnswer(now, e.from.vm.Incarnation, granted, e.slotsLeft)
	}
	e.to.updatePeerLoad()
	c.startTasks(e.to)
}

// expire returns the free slots of an expired loan to the lender. Slots with running tasks are
// returned one by one as the tasks end.
func (c *cluster) expire(e loanExpires) {
	returned, _ := e.borrower.scheduler.ExpireLoan(c.simulation.queue.now.schedulerTime(), e.loan)
	if returned > 0 {
		c.returnLoan(e.borrower, dispatch.SlotLoan{Endpoint: e.loan.Endpoint, Slots: returned})
	}
}

func (c *cluster) returnLoan(from *entryVM, l dispatch.SlotLoan) {
	to := from.lenders[l.Endpoint]
	c.simulation.queue.schedule(c.delay(from, to), loanReturned{to: to, loan: l})
}
