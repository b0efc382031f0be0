package loan

import (
	"cmp"
	"slices"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

const (
	// renewalWindow is how long before the end of its term a loan may be renewed.
	renewalWindow = clock.Second
	// idleTimeout is how long borrowed slots may be idle before they are returned.
	idleTimeout = 500 * clock.Millis(1)
	// returnRetryInterval is the time between two attempts to return slots.
	returnRetryInterval = 500 * clock.Millis(1)
)

// BorrowedLoans is the borrower's state: which slots this VM may use, and which it still has
// to return.
type BorrowedLoans struct {
	config       Config
	self         vm.Incarnation
	lastSequence Sequence
	loans        map[ID]*borrowedLoan
}

type borrowedLoan struct {
	loan   Loan
	lender vm.Incarnation
	// usableUntil is when this VM stops starting tasks on the slots. The term counts from
	// before the request was sent, so it ends before the lender reclaims the slots.
	usableUntil clock.Millis
	// discardAt is when the lender has reclaimed the slots at the latest.
	discardAt  clock.Millis
	lastBusyAt clock.Millis
	// acknowledged is the number of slots that the lender counts as lent, as of its last
	// acknowledgement.
	acknowledged datacentre.Slots
	nextReportAt clock.Millis
}

// NewBorrowedLoans returns an empty BorrowedLoans.
func NewBorrowedLoans(self vm.Incarnation, c Config) *BorrowedLoans {
	return &BorrowedLoans{config: c, self: self, loans: make(map[ID]*borrowedLoan)}
}

// Usable returns on how many borrowed slots of an endpoint this VM may start tasks.
func (b *BorrowedLoans) Usable(now clock.Millis, e datacentre.EndpointID) datacentre.Slots {
	usable := datacentre.Slots(0)
	for id, l := range b.loans {
		if id.Endpoint == e && now < l.usableUntil {
			usable += l.loan.Slots
		}
	}
	return usable
}

// Unreturned returns how many slots of an endpoint the selected lenders still count as lent,
// according to their acknowledgements.
func (b *BorrowedLoans) Unreturned(now clock.Millis, e datacentre.EndpointID, selected func(vm.Incarnation) bool) datacentre.Slots {
	slots := datacentre.Slots(0)
	for id, l := range b.loans {
		if id.Endpoint == e && now < l.discardAt && selected(l.lender) {
			slots += l.acknowledged
		}
	}
	return slots
}

// Endpoints returns the endpoints of all loans that are not fully returned.
func (b *BorrowedLoans) Endpoints() []datacentre.Endpoint {
	var all []datacentre.Endpoint
	for _, l := range b.loans {
		all = append(all, l.loan.Endpoint)
	}
	slices.SortFunc(all, func(a, b datacentre.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return slices.CompactFunc(all, func(a, b datacentre.Endpoint) bool { return a.ID == b.ID })
}

// Renewable returns the loans of a lender whose term ends soon.
func (b *BorrowedLoans) Renewable(now clock.Millis, lender vm.Incarnation) []ID {
	var ids []ID
	for id, l := range b.loans {
		if l.lender == lender && now < l.usableUntil && l.usableUntil-now <= renewalWindow {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, compareIDs)
	return ids
}

// LendersToRenew returns the lenders with loans whose term ends soon.
func (b *BorrowedLoans) LendersToRenew(now clock.Millis) []vm.Incarnation {
	var lenders []vm.Incarnation
	for _, l := range b.loans {
		if now < l.usableUntil && l.usableUntil-now <= renewalWindow {
			lenders = append(lenders, l.lender)
		}
	}
	slices.Sort(lenders)
	return slices.Compact(lenders)
}

// NextRequest returns a request with a new ID. It asks for slots and for the renewal of the
// lender's loans whose term ends soon.
func (b *BorrowedLoans) NextRequest(now clock.Millis, lender vm.Incarnation, need dispatch.LoanNeed) Request {
	b.lastSequence++
	return Request{ID: RequestID{Borrower: b.self, Sequence: b.lastSequence}, Need: need, Renewals: b.Renewable(now, lender)}
}

// RecordGrant records the loans that were granted on a request sent at requestedAt. A renewal of a
// loan that was returned in the meantime has no effect.
func (b *BorrowedLoans) RecordGrant(now, requestedAt clock.Millis, lender vm.Incarnation, r RequestID, loans []Loan) {
	for _, l := range loans {
		e, ok := b.loans[l.ID]
		if l.ID.Request.Borrower != b.self || l.Slots <= 0 || l.ID.Endpoint != l.Endpoint.ID || !ok && l.ID.Request != r {
			continue
		}
		if !ok {
			e = &borrowedLoan{loan: l, lender: lender, lastBusyAt: now, acknowledged: l.Slots}
			b.loans[l.ID] = e
		}
		if ok && now >= e.usableUntil {
			// The loan ended before the renewal arrived, and may be partly returned.
			continue
		}
		e.usableUntil = requestedAt + Term
		e.discardAt = now + Term + b.config.MaxTaskDuration + 2*clockMargin
	}
}

// ReturnUnanswered schedules the return of all loans that the lender may have granted on a
// request whose answer was lost.
func (b *BorrowedLoans) ReturnUnanswered(now clock.Millis, lender vm.Incarnation, r RequestID) {
	id := ID{Request: r}
	b.loans[id] = &borrowedLoan{
		loan: Loan{ID: id, Slots: 1}, lender: lender, usableUntil: now, acknowledged: 1,
		discardAt: now + Term + b.config.MaxTaskDuration + 2*clockMargin,
	}
}

// DueReturns lists the returns to send to each lender now. inUse gives the number of this
// VM's tasks on an endpoint beyond its own slots there.
func (b *BorrowedLoans) DueReturns(now clock.Millis, inUse func(datacentre.EndpointID) datacentre.Slots) map[vm.Incarnation][]Return {
	var due map[vm.Incarnation][]Return
	remaining := make(map[datacentre.EndpointID]datacentre.Slots)
	for _, e := range b.Endpoints() {
		remaining[e.ID] = inUse(e.ID)
		if e.ID != "" && remaining[e.ID] > 0 {
			b.markBusy(now, e.ID)
		}
	}
	b.endIdle(now)
	for _, id := range b.sortedIDs() {
		l := b.loans[id]
		if now < l.usableUntil {
			remaining[id.Endpoint] -= min(remaining[id.Endpoint], l.loan.Slots)
		}
	}
	for _, id := range b.sortedIDs() {
		l := b.loans[id]
		if now < l.usableUntil {
			continue
		}
		if now >= l.discardAt {
			delete(b.loans, id)
			continue
		}
		held := min(l.loan.Slots, remaining[id.Endpoint])
		remaining[id.Endpoint] -= held
		l.loan.Slots = held
		if held == l.acknowledged || now < l.nextReportAt {
			continue
		}
		l.nextReportAt = now + returnRetryInterval
		if due == nil {
			due = make(map[vm.Incarnation][]Return)
		}
		due[l.lender] = append(due[l.lender], Return{Loan: id, Held: held})
	}
	return due
}

// RecordAcknowledgement records that the lender has received the returns.
func (b *BorrowedLoans) RecordAcknowledgement(returns []Return) {
	for _, r := range returns {
		l, ok := b.loans[r.Loan]
		if !ok {
			continue
		}
		l.acknowledged = r.Held
		l.nextReportAt = 0
		if r.Held == 0 {
			delete(b.loans, r.Loan)
		}
	}
}

func (b *BorrowedLoans) markBusy(now clock.Millis, e datacentre.EndpointID) {
	for id, l := range b.loans {
		if id.Endpoint == e {
			l.lastBusyAt = now
		}
	}
}

func (b *BorrowedLoans) endIdle(now clock.Millis) {
	for _, l := range b.loans {
		if now < l.usableUntil && now-l.lastBusyAt >= idleTimeout {
			l.usableUntil = now
		}
	}
}

func (b *BorrowedLoans) sortedIDs() []ID {
	ids := make([]ID, 0, len(b.loans))
	for id := range b.loans {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, compareIDs)
	return ids
}

func compareIDs(a, b ID) int {
	return cmp.Or(cmp.Compare(a.Request.Sequence, b.Request.Sequence), cmp.Compare(a.Endpoint, b.Endpoint))
}
