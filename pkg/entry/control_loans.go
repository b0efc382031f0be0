package entry

import (
	"slices"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
	"github.com/sequoiacart/sequoiacart/pkg/link"
	"github.com/sequoiacart/sequoiacart/pkg/loan"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

const (
	// unknownDelay stands for the delay of a link that this VM has not measured.
	unknownDelay = 5 * clock.Millis(1)
	// localDelay bounds the delay of links inside a data centre.
	localDelay = clock.Millis(1)
	// lookEvery bounds the searches for lenders, each of which goes over all VMs.
	lookEvery = 10 * clock.Millis(1)
)

// lending is what the control state holds of loans, on both sides.
type lending struct {
	book       *loan.LentLoans
	borrowings *loan.BorrowedLoans
	// requests decides whom to ask, from what peers say that they could lend.
	requests *dispatch.LoanPlanner
	// foreign are the endpoints of other data centres that are or were borrowed.
	foreign  map[datacentre.EndpointID]struct{}
	underWay map[vm.Incarnation]bool
	lookedAt clock.Millis
}

func newLending(self vm.Incarnation, taskSpan clock.Millis) *lending {
	config := loan.Config{MaxTaskDuration: taskSpan}
	return &lending{
		book:       loan.NewLentLoans(config),
		borrowings: loan.NewBorrowedLoans(self, config),
		requests:   dispatch.NewLoanPlanner(),
		foreign:    make(map[datacentre.EndpointID]struct{}),
		underWay:   make(map[vm.Incarnation]bool),
	}
}

// loanRequested lends what the scheduler offers. With a backlog of its own this VM neither
// lends nor renews.
func (c *Control) loanRequested(now clock.Millis, e LoanRequested) {
	var loans []loan.Loan
	if c.scheduler.Queued() == 0 {
		loans = c.lending.book.Renew(now, e.Request)
	}
	var offers []loan.Offer
	for _, l := range c.scheduler.Offer(e.Request.Need, c.delayTo(e.Request.ID.Borrower)) {
		offers = append(offers, loan.Offer{Endpoint: c.endpoints[l.Endpoint], Slots: l.Slots})
	}
	loans = append(loans, c.lending.book.Lend(now, e.Request.ID, offers)...)
	c.assignHomes(now)
	granted := loan.Grant{Loans: loans, Lendable: c.scheduler.SlotReport().Lendable}
	c.do(ReplyTo{Waiter: e.Waiter, Reply: LoansGranted{Grant: granted}})
}

func (c *Control) loansReturned(now clock.Millis, e LoansReturned) {
	own := slices.DeleteFunc(slices.Clone(e.Returns), func(r loan.Return) bool { return r.Loan.Request.Borrower != e.Borrower })
	c.lending.book.RecordReturns(own)
	c.assignHomes(now)
	c.do(ReplyTo{Waiter: e.Waiter, Reply: LoanReturnsHandled{}})
}

// askForLoans renews loans and asks peers for slots while tasks wait for one.
func (c *Control) askForLoans(now clock.Millis) {
	l := c.lending
	need := c.scheduler.LoanNeed(now)
	if need.Tasks == 0 || now-l.lookedAt < lookEvery {
		return
	}
	l.lookedAt = now
	for _, lender := range l.borrowings.LendersToRenew(now) {
		c.ask(now, lender, dispatch.LoanNeed{})
	}
	near, far := c.lenders(now, need)
	requests := l.requests.Plan(now, need, append(near, far...))
	if len(requests) == 0 {
		requests = l.requests.PlanUnreported(now, need, far)
	}
	for _, r := range requests {
		c.ask(now, r.Peer, r.Need)
	}
}

func (c *Control) ask(now clock.Millis, lender vm.Incarnation, need dispatch.LoanNeed) {
	l := c.lending
	to, ok := c.roster.Find(lender)
	if !ok || l.underWay[lender] {
		return
	}
	l.underWay[lender] = true
	c.do(RequestLoan{To: to, Request: l.borrowings.NextRequest(now, lender, need), RequestedAt: now})
}

// lenders returns the peers that may be asked: those of the data centre, and delegates of
// the data centres that are near enough for the need.
func (c *Control) lenders(now clock.Millis, need dispatch.LoanNeed) (near, far []vm.Incarnation) {
	l := c.lending
	for _, v := range c.roster.VMs() {
		if v.DataCentre == c.config.DataCentre && v.Incarnation != c.config.Self && v.Status == vm.Alive && !l.underWay[v.Incarnation] {
			near = append(near, v.Incarnation)
		}
	}
	for _, dc := range c.roster.DataCentres() {
		dataCentre, ok := c.neighbours.links.Find(link.DataCentre{ID: dc})
		if dc == c.config.DataCentre || !ok || dataCentre.State(now) != link.Reachable || !need.WorthLending(c.dataCentreDelay(dc)) {
			continue
		}
		for _, v := range c.roster.Delegates(now, dc, c.config.DataCentre) {
			if v.Status == vm.Alive && !l.underWay[v.Incarnation] {
				far = append(far, v.Incarnation)
			}
		}
	}
	return near, far
}

// delayTo returns the delay of the link to a peer, one way.
func (c *Control) delayTo(peer vm.Incarnation) clock.Millis {
	v, ok := c.roster.Find(peer)
	if !ok {
		return unknownDelay
	}
	return c.dataCentreDelay(v.DataCentre)
}

func (c *Control) dataCentreDelay(dc datacentre.ID) clock.Millis {
	if dc == c.config.DataCentre {
		return localDelay
	}
	dataCentre, ok := c.neighbours.links.Find(link.DataCentre{ID: dc})
	if !ok || dataCentre.Delay <= 0 {
		return unknownDelay
	}
	return dataCentre.Delay.Millis()
}

func (c *Control) loanAnswered(now clock.Millis, e LoanAnswered) {
	l := c.lending
	delete(l.underWay, e.Lender)
	granted := datacentre.Slots(0)
	for _, lent := range e.Grant.Loans {
		granted += lent.Slots
	}
	l.requests.RecordAnswer(now, e.Lender, granted, dispatch.SlotReport{Lendable: e.Grant.Lendable})
	if granted == 0 {
		return
	}
	l.borrowings.RecordGrant(now, e.RequestedAt, e.Lender, e.Request, e.Grant.Loans)
	for _, borrowed := range l.borrowings.Endpoints() {
		if borrowed.ID == "" || borrowed.DataCentre == c.config.DataCentre {
			continue
		}
		c.endpoints[borrowed.ID] = borrowed
		l.foreign[borrowed.ID] = struct{}{}
	}
	c.assignHomes(now)
}

func (c *Control) loanFailed(now clock.Millis, e LoanFailed) {
	delete(c.lending.underWay, e.Lender)
	c.lending.borrowings.ReturnUnanswered(now, e.Lender, e.Request)
	c.lending.requests.RecordAnswer(now, e.Lender, 0, dispatch.SlotReport{})
}

// passLoans ends terms and returns slots.
func (c *Control) passLoans(now clock.Millis) {
	l := c.lending
	if l.book.Expire(now) {
		c.assignHomes(now)
	}
	due := l.borrowings.DueReturns(now, func(e datacentre.EndpointID) datacentre.Slots {
		if c.keptForRemoved(now, e) > 0 {
			return c.scheduler.InUse(e)
		}
		return max(0, c.scheduler.InUse(e)-c.ownSlots(c.endpoints[e]))
	})
	for lender, returns := range due {
		if to, ok := c.roster.Find(lender); ok {
			c.do(ReturnLoans{To: to, Returns: returns})
		}
	}
	c.assignChanging(now)
	c.dropForeignEndpoints(now)
	l.requests.Remove(func(i vm.Incarnation) bool {
		v, ok := c.roster.Find(i)
		return !ok || v.Status != vm.Alive
	})
	// Lent slots come back within a term of the first backlog, since it ends the renewals.
	c.scheduler.SetBorrowable(l.requests.Borrowable() + l.book.Total())
}

// assignChanging looks again at the endpoints whose slots change with time alone.
func (c *Control) assignChanging(now clock.Millis) {
	for _, borrowed := range c.lending.borrowings.Endpoints() {
		if ep, ok := c.endpoints[borrowed.ID]; ok {
			c.assign(now, ep)
		}
	}
	for _, id := range c.ceilings.Endpoints() {
		ep, ok := c.endpoints[id]
		if !ok {
			c.ceilings.Remove(id)
			continue
		}
		c.assign(now, ep)
	}
}

// dropForeignEndpoints forgets the endpoints of other data centres that are no longer
// borrowed.
func (c *Control) dropForeignEndpoints(now clock.Millis) {
	if len(c.lending.foreign) == 0 {
		return
	}
	borrowed := c.lending.borrowings.Endpoints()
	for id := range c.lending.foreign {
		open := slices.ContainsFunc(borrowed, func(b datacentre.Endpoint) bool { return b.ID == id })
		if open || c.scheduler.InUse(id) > 0 {
			continue
		}
		delete(c.lending.foreign, id)
		c.drains.Remove(id)
		delete(c.endpoints, id)
		c.grant(now, id, 0, 0)
		delete(c.granted, id)
	}
}

// stopLateStarts takes back the sends to endpoints that this VM lost while the witness
// was recording the start: a lender counts on no start after the term of its loan.
func (c *Control) stopLateStarts(now clock.Millis) {
	var late []RunAttempt
	c.actions = slices.DeleteFunc(c.actions, func(a Action) bool {
		run, ok := a.(RunAttempt)
		if !ok || c.mayStart(now, run.Start.Endpoint) {
			return false
		}
		late = append(late, run)
		return true
	})
	for _, run := range late {
		c.attemptEnded(now, AttemptEnded{Attempt: run.Attempt, Start: run.Start, Result: contract.NotStarted{Cause: contract.EndpointUnreachable}})
	}
}

func (c *Control) mayStart(now clock.Millis, e datacentre.EndpointID) bool {
	ep, ok := c.endpoints[e]
	return ok && (c.homeSlots(ep) > 0 || c.lending.borrowings.Usable(now, e) > 0)
}
