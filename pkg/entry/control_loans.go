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
	// unknownDelay is assumed for a link whose delay has not been measured.
	unknownDelay = 5 * clock.Millis(1)
	// localDelay is an upper bound on the delay of links inside a data centre.
	localDelay = clock.Millis(1)
	// lenderSearchInterval limits how often this VM searches for lenders, since a search iterates
	// over all VMs.
	lenderSearchInterval = 10 * clock.Millis(1)
)

// loanState is the loan state of this VM, as lender and as borrower.
type loanState struct {
	lent     *loan.LentLoans
	borrowed *loan.BorrowedLoans
	// planner decides which peers to ask, from the slots that they report as lendable.
	planner *dispatch.LoanPlanner
	// remoteEndpoints are the borrowed endpoints of other data centres; one is removed when
	// none of its slots is borrowed or in use.
	remoteEndpoints map[datacentre.EndpointID]struct{}
	inFlight        map[vm.Incarnation]bool
	searchedAt      clock.Millis
}

func newLoanState(self vm.Incarnation, maxTaskDuration clock.Millis) *loanState {
	config := loan.Config{MaxTaskDuration: maxTaskDuration}
	return &loanState{
		lent:            loan.NewLentLoans(config),
		borrowed:        loan.NewBorrowedLoans(self, config),
		planner:         dispatch.NewLoanPlanner(),
		remoteEndpoints: make(map[datacentre.EndpointID]struct{}),
		inFlight:        make(map[vm.Incarnation]bool),
	}
}

// handleLoanRequested lends the slots that the scheduler offers. While this VM has queued
// tasks of its own it neither lends nor renews.
func (c *Control) handleLoanRequested(now clock.Millis, e LoanRequested) {
	var loans []loan.Loan
	if c.scheduler.Queued() == 0 {
		loans = c.loans.lent.Renew(now, e.Request)
	}
	var offers []loan.Offer
	for _, l := range c.scheduler.Offer(e.Request.Need, c.delayTo(e.Request.ID.Borrower)) {
		offers = append(offers, loan.Offer{Endpoint: c.endpoints[l.Endpoint], Slots: l.Slots})
	}
	loans = append(loans, c.loans.lent.Lend(now, e.Request.ID, offers)...)
	c.assignSlots(now)
	grant := loan.Grant{Loans: loans, Lendable: c.scheduler.SlotReport().Lendable}
	c.emit(ReplyTo{Waiter: e.Waiter, Reply: LoansGranted{Grant: grant}})
}

func (c *Control) handleLoansReturned(now clock.Millis, e LoansReturned) {
	own := slices.DeleteFunc(slices.Clone(e.Returns), func(r loan.Return) bool { return r.Loan.Request.Borrower != e.Borrower })
	c.loans.lent.RecordReturns(own)
	c.assignSlots(now)
	c.emit(ReplyTo{Waiter: e.Waiter, Reply: LoanReturnsHandled{}})
}

// requestLoans renews loans and asks peers for slots while tasks wait for one.
func (c *Control) requestLoans(now clock.Millis) {
	l := c.loans
	need := c.scheduler.LoanNeed(now)
	if need.Tasks == 0 || now-l.searchedAt < lenderSearchInterval {
		return
	}
	l.searchedAt = now
	for _, lender := range l.borrowed.LendersToRenew(now) {
		c.requestLoan(now, lender, dispatch.LoanNeed{})
	}
	local, remote := c.lenders(now, need)
	requests := l.planner.Plan(now, need, append(local, remote...))
	if len(requests) == 0 {
		requests = l.planner.PlanUnreported(now, need, remote)
	}
	for _, r := range requests {
		c.requestLoan(now, r.Peer, r.Need)
	}
}

func (c *Control) requestLoan(now clock.Millis, lender vm.Incarnation, need dispatch.LoanNeed) {
	l := c.loans
	to, ok := c.roster.Find(lender)
	if !ok || l.inFlight[lender] {
		return
	}
	l.inFlight[lender] = true
	c.emit(RequestLoan{To: to, Request: l.borrowed.NextRequest(now, lender, need), RequestedAt: now})
}

// lenders returns the peers that may be asked for slots: those of the data centre, and the
// delegates of the data centres whose delay is low enough for the need.
func (c *Control) lenders(now clock.Millis, need dispatch.LoanNeed) (local, remote []vm.Incarnation) {
	l := c.loans
	for _, v := range c.roster.VMs() {
		if v.DataCentre == c.config.DataCentre && v.Incarnation != c.config.Self && v.Status == vm.Alive && !l.inFlight[v.Incarnation] {
			local = append(local, v.Incarnation)
		}
	}
	for _, dc := range c.roster.DataCentres() {
		dcLink, ok := c.peers.links.Find(link.DataCentre{ID: dc})
		if dc == c.config.DataCentre || !ok || dcLink.State(now) != link.Reachable || !need.WorthLending(c.dataCentreDelay(dc)) {
			continue
		}
		for _, v := range c.roster.Delegates(now, dc, c.config.DataCentre) {
			if v.Status == vm.Alive && !l.inFlight[v.Incarnation] {
				remote = append(remote, v.Incarnation)
			}
		}
	}
	return local, remote
}

// delayTo returns the one-way delay of the link to a peer.
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
	dcLink, ok := c.peers.links.Find(link.DataCentre{ID: dc})
	if !ok || dcLink.Delay <= 0 {
		return unknownDelay
	}
	return dcLink.Delay.Millis()
}

func (c *Control) handleLoanAnswered(now clock.Millis, e LoanAnswered) {
	l := c.loans
	delete(l.inFlight, e.Lender)
	granted := datacentre.Slots(0)
	for _, lent := range e.Grant.Loans {
		granted += lent.Slots
	}
	l.planner.RecordAnswer(now, e.Lender, granted, dispatch.SlotReport{Lendable: e.Grant.Lendable})
	if granted == 0 {
		return
	}
	l.borrowed.RecordGrant(now, e.RequestedAt, e.Lender, e.Request, e.Grant.Loans)
	for _, borrowed := range l.borrowed.Endpoints() {
		if borrowed.ID == "" || borrowed.DataCentre == c.config.DataCentre {
			continue
		}
		c.endpoints[borrowed.ID] = borrowed
		l.remoteEndpoints[borrowed.ID] = struct{}{}
	}
	c.assignSlots(now)
}

func (c *Control) handleLoanFailed(now clock.Millis, e LoanFailed) {
	delete(c.loans.inFlight, e.Lender)
	c.loans.borrowed.ReturnUnanswered(now, e.Lender, e.Request)
	c.loans.planner.RecordAnswer(now, e.Lender, 0, dispatch.SlotReport{})
}

// updateLoans expires loans and returns borrowed slots that are due.
func (c *Control) updateLoans(now clock.Millis) {
	l := c.loans
	if l.lent.Expire(now) {
		c.assignSlots(now)
	}
	due := l.borrowed.DueReturns(now, func(e datacentre.EndpointID) datacentre.Slots {
		if c.slotsHeldForRemoved(now, e) > 0 {
			return c.scheduler.InUse(e)
		}
		return max(0, c.scheduler.InUse(e)-c.ownSlots(c.endpoints[e]))
	})
	for lender, returns := range due {
		if to, ok := c.roster.Find(lender); ok {
			c.emit(ReturnLoans{To: to, Returns: returns})
		}
	}
	c.assignTimeDependentSlots(now)
	c.removeUnborrowedEndpoints(now)
	l.planner.Remove(func(i vm.Incarnation) bool {
		v, ok := c.roster.Find(i)
		return !ok || v.Status != vm.Alive
	})
	// Lent slots come back within one loan term once tasks are queued here, since loans are not
	// renewed from then on.
	c.scheduler.SetBorrowable(l.planner.Borrowable() + l.lent.Total())
}

// assignTimeDependentSlots updates the endpoints whose slots change as time passes.
func (c *Control) assignTimeDependentSlots(now clock.Millis) {
	for _, borrowed := range c.loans.borrowed.Endpoints() {
		if ep, ok := c.endpoints[borrowed.ID]; ok {
			c.assignEndpoint(now, ep)
		}
	}
	for _, id := range c.slotLimits.Endpoints() {
		ep, ok := c.endpoints[id]
		if !ok {
			c.slotLimits.Remove(id)
			continue
		}
		c.assignEndpoint(now, ep)
	}
}

// removeUnborrowedEndpoints removes the endpoints of other data centres that are no longer
// borrowed.
func (c *Control) removeUnborrowedEndpoints(now clock.Millis) {
	if len(c.loans.remoteEndpoints) == 0 {
		return
	}
	borrowed := c.loans.borrowed.Endpoints()
	for id := range c.loans.remoteEndpoints {
		open := slices.ContainsFunc(borrowed, func(b datacentre.Endpoint) bool { return b.ID == id })
		if open || c.scheduler.InUse(id) > 0 {
			continue
		}
		delete(c.loans.remoteEndpoints, id)
		c.drains.Remove(id)
		delete(c.endpoints, id)
		c.setSlots(now, id, 0, 0)
		delete(c.assignedSlots, id)
	}
}

// cancelLateStarts cancels sends to endpoints that this VM lost while the witness was
// recording the start: a lender relies on no task starting after the loan has expired.
func (c *Control) cancelLateStarts(now clock.Millis) {
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
		c.handleAttemptEnded(now, AttemptEnded{Attempt: run.Attempt, Start: run.Start, Result: contract.NotStarted{Cause: contract.EndpointUnreachable}})
	}
}

func (c *Control) mayStart(now clock.Millis, e datacentre.EndpointID) bool {
	ep, ok := c.endpoints[e]
	return ok && (c.homeSlots(ep) > 0 || c.loans.borrowed.Usable(now, e) > 0)
}
