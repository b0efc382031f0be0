package entry

import (
	"cmp"
	"slices"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/link"
	"github.com/sequoiacart/sequoiacart/pkg/loan"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

const (
	// askAgain is how long a peer that lent nothing is left alone.
	askAgain = 200 * clock.Millis(1)
	// askZoneAgain is the same for peers of other data centres, whose idle slots this VM
	// does not hear of.
	askZoneAgain = clock.Second
	// idleReportSpan is how long a peer's word on its idle slots is good.
	idleReportSpan = clock.Second
	// unknownDelay stands for the delay of a link that this VM has not measured.
	unknownDelay = 5 * clock.Millis(1)
	// lookEvery bounds the searches for lenders, each of which goes over all VMs.
	lookEvery = 10 * clock.Millis(1)
	// lendersAtOnce bounds the requests under way.
	lendersAtOnce = 3
)

// lending is what the control state holds of loans, on both sides.
type lending struct {
	book       *loan.Book
	borrowings *loan.Borrowings
	// idle is what peers say that they could lend.
	idle map[vm.Incarnation]idleReport
	// foreign are the endpoints of other data centres that are or were borrowed.
	foreign map[datacentre.EndpointID]struct{}
	// underWay are the requests under way, and when a peer may be asked again.
	underWay map[vm.Incarnation]bool
	askAfter map[vm.Incarnation]clock.Millis
	// backlogAt is when tasks began to wait; zero says that none wait.
	backlogAt clock.Millis
	lookedAt  clock.Millis
}

type idleReport struct {
	slots datacentre.Slots
	at    clock.Millis
}

func newLending(self vm.Incarnation, taskSpan clock.Millis) *lending {
	config := loan.BookConfig{TaskSpan: taskSpan}
	return &lending{
		book:       loan.NewBook(config),
		borrowings: loan.NewBorrowings(self, config),
		idle:       make(map[vm.Incarnation]idleReport),
		foreign:    make(map[datacentre.EndpointID]struct{}),
		underWay:   make(map[vm.Incarnation]bool),
		askAfter:   make(map[vm.Incarnation]clock.Millis),
	}
}

// loanRequested lends what this VM does not need. With a backlog of its own it neither
// lends nor renews.
func (c *Control) loanRequested(now clock.Millis, e LoanRequested) {
	loans := c.lending.book.Grant(now, e.Request, c.scheduler.Queued() == 0, c.idleSlots())
	c.assignHomes(now)
	c.do(ReplyTo{Waiter: e.Waiter, Reply: LoansGranted{Loans: loans}})
}

func (c *Control) loansReturned(now clock.Millis, e LoansReturned) {
	own := slices.DeleteFunc(slices.Clone(e.Returns), func(r loan.Return) bool { return r.Loan.Request.Borrower != e.Borrower })
	c.lending.book.Returned(own)
	c.assignHomes(now)
	c.do(ReplyTo{Waiter: e.Waiter, Reply: LoansTakenBack{}})
}

// idleSlots returns the slots of this VM's own endpoints that nobody uses.
func (c *Control) idleSlots() []loan.Idle {
	if c.scheduler.Queued() > 0 {
		return nil
	}
	var idle []loan.Idle
	for id, ep := range c.endpoints {
		own := c.homeSlots(ep) - c.lending.book.Out(id)
		free := min(own, c.granted[id]) - c.scheduler.InUse(id)
		if free > 0 && !c.drains.Draining(id) {
			idle = append(idle, loan.Idle{Endpoint: ep, Free: free})
		}
	}
	return idle
}

func (c *Control) idleTotal() datacentre.Slots {
	total := datacentre.Slots(0)
	for _, i := range c.idleSlots() {
		total += i.Free
	}
	return total
}

// askForLoans asks peers for slots while tasks wait for one.
func (c *Control) askForLoans(now clock.Millis) {
	l := c.lending
	backlog := c.scheduler.Queued()
	if backlog == 0 {
		l.backlogAt = 0
		return
	}
	if l.backlogAt == 0 {
		l.backlogAt, l.lookedAt = now, 0
	}
	if now-l.lookedAt < lookEvery {
		return
	}
	l.lookedAt = now
	for _, lender := range l.borrowings.Lenders(now) {
		c.ask(now, lender, datacentre.Slots(backlog))
	}
	for _, v := range c.lenders(now) {
		c.ask(now, v.Incarnation, datacentre.Slots(backlog))
	}
}

func (c *Control) ask(now clock.Millis, lender vm.Incarnation, wanted datacentre.Slots) {
	l := c.lending
	to, ok := c.roster.Find(lender)
	if !ok || l.underWay[lender] || len(l.underWay) >= lendersAtOnce || now < l.askAfter[lender] {
		return
	}
	l.underWay[lender] = true
	c.do(RequestLoan{To: to, Request: l.borrowings.NextRequest(now, lender, wanted), AskedAt: now})
}

// lenders returns the peers worth asking: those of the data centre that say they have
// idle slots, the most first, or else delegates of data centres nearer than the wait.
func (c *Control) lenders(now clock.Millis) []vm.VM {
	var near []vm.VM
	idle := func(v vm.VM) datacentre.Slots {
		r := c.lending.idle[v.Incarnation]
		if now-r.at > idleReportSpan {
			return 0
		}
		return r.slots
	}
	for _, v := range c.roster.VMs() {
		if v.DataCentre == c.config.DataCentre && v.Incarnation != c.config.Self && v.Status == vm.Alive && idle(v) > 0 {
			near = append(near, v)
		}
	}
	if len(near) > 0 {
		slices.SortFunc(near, func(a, b vm.VM) int {
			return cmp.Or(cmp.Compare(idle(b), idle(a)), cmp.Compare(a.Incarnation, b.Incarnation))
		})
		return near
	}
	return c.farLenders(now)
}

// farLenders takes the wait so far for the wait that a loan saves. The task and its
// result cross the link, so it must exceed the delay both ways.
func (c *Control) farLenders(now clock.Millis) []vm.VM {
	var far []vm.VM
	for _, dc := range c.roster.DataCentres() {
		zone, ok := c.neighbours.links.Find(link.Zone{DataCentre: dc})
		if dc == c.config.DataCentre || !ok || zone.State(now) != link.Reachable {
			continue
		}
		delay := unknownDelay
		if zone.Delay > 0 {
			delay = zone.Delay.Millis()
		}
		if now-c.lending.backlogAt <= 2*delay {
			continue
		}
		for _, v := range c.roster.Delegates(now, dc, c.config.DataCentre) {
			if v.Status == vm.Alive {
				far = append(far, v)
			}
		}
	}
	return far
}

func (c *Control) loanAnswered(now clock.Millis, e LoanAnswered) {
	l := c.lending
	delete(l.underWay, e.Lender)
	if len(e.Loans) == 0 {
		c.leaveAlone(now, e.Lender)
		return
	}
	l.borrowings.Granted(now, e.AskedAt, e.Lender, e.Request, e.Loans)
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
	c.lending.borrowings.Disclaim(now, e.Lender, e.Request)
	c.leaveAlone(now, e.Lender)
}

func (c *Control) leaveAlone(now clock.Millis, lender vm.Incarnation) {
	span := askAgain
	if v, ok := c.roster.Find(lender); ok && v.DataCentre != c.config.DataCentre {
		span = askZoneAgain
	}
	c.lending.askAfter[lender] = now + span
}

// passLoans ends terms and returns slots.
func (c *Control) passLoans(now clock.Millis) {
	l := c.lending
	if l.book.Pass(now) {
		c.assignHomes(now)
	}
	due := l.borrowings.Returns(now, func(e datacentre.EndpointID) datacentre.Slots {
		own := max(0, c.homeSlots(c.endpoints[e])-l.book.Out(e))
		return max(0, c.scheduler.InUse(e)-own)
	})
	for lender, returns := range due {
		if to, ok := c.roster.Find(lender); ok {
			c.do(ReturnLoans{To: to, Returns: returns})
		}
	}
	c.assignChanging(now)
	c.dropForeignEndpoints(now)
	for i := range l.idle {
		if _, ok := c.roster.Find(i); !ok {
			delete(l.idle, i)
			delete(l.askAfter, i)
		}
	}
}

// assignChanging looks again at the endpoints whose slots change with time alone.
func (c *Control) assignChanging(now clock.Millis) {
	for _, borrowed := range c.lending.borrowings.Endpoints() {
		if ep, ok := c.endpoints[borrowed.ID]; ok {
			c.grant(now, ep.ID, c.slotsOf(now, ep))
		}
	}
	for _, id := range c.ceilings.Endpoints() {
		ep, ok := c.endpoints[id]
		if !ok {
			c.ceilings.Forget(id)
			continue
		}
		c.grant(now, id, c.slotsOf(now, ep))
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
		delete(c.endpoints, id)
		c.grant(now, id, 0)
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
