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
	// renewBefore is how long before the end of its term a loan is renewed.
	renewBefore = clock.Second
	// idleSpan is how long a borrowed endpoint may lie idle before it is returned.
	idleSpan = 500 * clock.Millis(1)
	// returnAgain is the span between two tries to return slots.
	returnAgain = 500 * clock.Millis(1)
)

// BorrowedLoans is the borrower's side: which slots this VM may use, and which it owes.
type BorrowedLoans struct {
	config Config
	self   vm.Incarnation
	last   Sequence
	loans  map[ID]*borrowed
}

type borrowed struct {
	loan   Loan
	lender vm.Incarnation
	// stopAt ends the starts. It counts from before the request went out, so it comes
	// before the lender takes the slots back.
	stopAt clock.Millis
	// forgetAt is when the lender has taken the slots back in any case.
	forgetAt  clock.Millis
	busyAt    clock.Millis
	told      datacentre.Slots
	tellAfter clock.Millis
}

// NewBorrowedLoans returns an empty account.
func NewBorrowedLoans(self vm.Incarnation, c Config) *BorrowedLoans {
	return &BorrowedLoans{config: c, self: self, loans: make(map[ID]*borrowed)}
}

// Usable returns how many slots of an endpoint this VM may start tasks on.
func (b *BorrowedLoans) Usable(now clock.Millis, e datacentre.EndpointID) datacentre.Slots {
	usable := datacentre.Slots(0)
	for id, l := range b.loans {
		if id.Endpoint == e && now < l.stopAt {
			usable += l.loan.Slots
		}
	}
	return usable
}

// Unreturned returns how many slots of an endpoint its lenders count as lent, as far as
// this VM knows, from the lenders that are chosen.
func (b *BorrowedLoans) Unreturned(now clock.Millis, e datacentre.EndpointID, chosen func(vm.Incarnation) bool) datacentre.Slots {
	slots := datacentre.Slots(0)
	for id, l := range b.loans {
		if id.Endpoint == e && now < l.forgetAt && chosen(l.lender) {
			slots += l.told
		}
	}
	return slots
}

// Endpoints returns the endpoints of all loans that are not yet returned.
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
		if l.lender == lender && now < l.stopAt && l.stopAt-now <= renewBefore {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, compareIDs)
	return ids
}

// LendersToRenew returns whose loans are to be renewed.
func (b *BorrowedLoans) LendersToRenew(now clock.Millis) []vm.Incarnation {
	var lenders []vm.Incarnation
	for _, l := range b.loans {
		if now < l.stopAt && l.stopAt-now <= renewBefore {
			lenders = append(lenders, l.lender)
		}
	}
	slices.Sort(lenders)
	return slices.Compact(lenders)
}

// NextRequest returns a request for a lender.
func (b *BorrowedLoans) NextRequest(now clock.Millis, lender vm.Incarnation, need dispatch.LoanNeed) Request {
	b.last++
	return Request{ID: RequestID{Borrower: b.self, Sequence: b.last}, Need: need, Renewals: b.Renewable(now, lender)}
}

// RecordGrant takes over the answer to a request that was made at a point in time. A renewal
// of a loan that was returned meanwhile does not bring it back.
func (b *BorrowedLoans) RecordGrant(now, askedAt clock.Millis, lender vm.Incarnation, r RequestID, loans []Loan) {
	for _, l := range loans {
		e, ok := b.loans[l.ID]
		if l.ID.Request.Borrower != b.self || l.Slots <= 0 || l.ID.Endpoint != l.Endpoint.ID || !ok && l.ID.Request != r {
			continue
		}
		if !ok {
			e = &borrowed{loan: l, lender: lender, busyAt: now, told: l.Slots}
			b.loans[l.ID] = e
		}
		if ok && now >= e.stopAt {
			// It ended here before the renewal arrived, and may be partly returned.
			continue
		}
		e.stopAt = askedAt + Term
		e.forgetAt = now + Term + b.config.MaxTaskDuration + 2*takeBackMargin
	}
}

// ReturnUnanswered owes the lender the return of whatever a request without an answer was
// granted.
func (b *BorrowedLoans) ReturnUnanswered(now clock.Millis, lender vm.Incarnation, r RequestID) {
	id := ID{Request: r}
	b.loans[id] = &borrowed{
		loan: Loan{ID: id, Slots: 1}, lender: lender, stopAt: now, told: 1,
		forgetAt: now + Term + b.config.MaxTaskDuration + 2*takeBackMargin,
	}
}

// DueReturns gives what to tell each lender now. inUse counts this VM's tasks on an
// endpoint beyond the slots that it has there by right.
func (b *BorrowedLoans) DueReturns(now clock.Millis, inUse func(datacentre.EndpointID) datacentre.Slots) map[vm.Incarnation][]Return {
	var due map[vm.Incarnation][]Return
	owed := make(map[datacentre.EndpointID]datacentre.Slots)
	for _, e := range b.Endpoints() {
		owed[e.ID] = inUse(e.ID)
		if e.ID != "" && owed[e.ID] > 0 {
			b.busy(now, e.ID)
		}
	}
	b.stopIdle(now)
	for _, id := range b.ordered() {
		l := b.loans[id]
		if now < l.stopAt {
			owed[id.Endpoint] -= min(owed[id.Endpoint], l.loan.Slots)
		}
	}
	for _, id := range b.ordered() {
		l := b.loans[id]
		if now < l.stopAt {
			continue
		}
		if now >= l.forgetAt {
			delete(b.loans, id)
			continue
		}
		held := min(l.loan.Slots, owed[id.Endpoint])
		owed[id.Endpoint] -= held
		l.loan.Slots = held
		if held == l.told || now < l.tellAfter {
			continue
		}
		l.tellAfter = now + returnAgain
		if due == nil {
			due = make(map[vm.Incarnation][]Return)
		}
		due[l.lender] = append(due[l.lender], Return{Loan: id, Held: held})
	}
	return due
}

// RecordAcknowledgement notes that the lender has heard of returns.
func (b *BorrowedLoans) RecordAcknowledgement(returns []Return) {
	for _, r := range returns {
		l, ok := b.loans[r.Loan]
		if !ok {
			continue
		}
		l.told = r.Held
		l.tellAfter = 0
		if r.Held == 0 {
			delete(b.loans, r.Loan)
		}
	}
}

func (b *BorrowedLoans) busy(now clock.Millis, e datacentre.EndpointID) {
	for id, l := range b.loans {
		if id.Endpoint == e {
			l.busyAt = now
		}
	}
}

func (b *BorrowedLoans) stopIdle(now clock.Millis) {
	for _, l := range b.loans {
		if now < l.stopAt && now-l.busyAt >= idleSpan {
			l.stopAt = now
		}
	}
}

func (b *BorrowedLoans) ordered() []ID {
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
