package measure

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
)

func (c *cluster) askForLoans(v *entryVM) {
	now := c.simulation.agenda.now.millis()
	for _, r := range v.loans.Plan(now, v.scheduler.LoanNeed(now), v.peers) {
		peer := c.byName[r.Peer]
		c.simulation.agenda.after(c.delay(v, peer), loanAsked{from: v, to: peer, need: r.Need})
	}
}

func (c *cluster) lend(e loanAsked) {
	now := c.simulation.agenda.now.millis()
	delay := c.delay(e.from, e.to)
	oneWay := clock.Millis((delay + 999) / 1000)
	granted := loanGranted{from: e.to, to: e.from, answer: true}
	granted.loans = e.to.scheduler.Lend(now, e.need, oneWay)
	if len(granted.loans) == 0 {
		granted.promised = e.to.scheduler.DeferLoan(now, e.from.vm.Incarnation, e.need, oneWay)
	}
	if len(granted.loans) == 0 && granted.promised == 0 {
		c.simulation.wasted++
	}
	granted.left = e.to.scheduler.SlotReport()
	c.simulation.agenda.after(delay, granted)
}

// grantPromised sends the deferred loans for which slots have become free.
func (c *cluster) grantPromised(v *entryVM) {
	for {
		peer, loan, ok := v.scheduler.NextDeferredLoan(c.simulation.agenda.now.millis())
		if !ok {
			return
		}
		to := c.byName[peer]
		c.simulation.agenda.after(c.delay(v, to), loanGranted{from: v, to: to, loans: []dispatch.SlotLoan{loan}})
	}
}

func (c *cluster) borrow(e loanGranted) {
	now := c.simulation.agenda.now.millis()
	granted := e.promised
	for _, l := range e.loans {
		granted += l.Slots
		e.to.lenders[l.Endpoint] = e.from
		e.to.scheduler.Borrow(now, l)
		c.simulation.agenda.after(loanLease, loanExpires{lender: e.from, borrower: e.to, loan: l})
	}
	if e.answer {
		e.to.loans.RecordAnswer(now, e.from.vm.Incarnation, granted, e.left)
	}
	e.to.learnLoad()
	c.startTasks(e.to)
}

// expire returns the free slots of an expired loan to the lender. Slots with running tasks are
// returned one by one as the tasks end.
func (c *cluster) expire(e loanExpires) {
	returned, _ := e.borrower.scheduler.ExpireLoan(c.simulation.agenda.now.millis(), e.loan)
	if returned > 0 {
		c.sendBack(e.borrower, dispatch.SlotLoan{Endpoint: e.loan.Endpoint, Slots: returned})
	}
}

func (c *cluster) sendBack(from *entryVM, l dispatch.SlotLoan) {
	to := from.lenders[l.Endpoint]
	c.simulation.agenda.after(c.delay(from, to), loanReturned{to: to, loan: l})
}
