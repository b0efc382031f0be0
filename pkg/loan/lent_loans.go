package loan

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// clockMargin covers the drift between the clocks of lender and borrower over a term.
const clockMargin = clock.Second

// Config holds the settings of LentLoans and BorrowedLoans.
type Config struct {
	// MaxTaskDuration is how long a task that starts at the end of a term may run.
	MaxTaskDuration clock.Millis
}

// LentLoans is the lender's state: which slots are lent, and until when.
type LentLoans struct {
	config Config
	loans  map[ID]*lentLoan
	slots  map[datacentre.EndpointID]datacentre.Slots
}

type lentLoan struct {
	loan Loan
	// reclaimAt is when slots that were not returned count as free again. The borrower
	// starts no task after the term, but a network partition may keep it from returning the
	// slot of a task that still runs.
	reclaimAt clock.Millis
}

// Offer is a number of slots of an endpoint that the scheduler is willing to lend.
type Offer struct {
	Endpoint datacentre.Endpoint
	Slots    datacentre.Slots
}

// NewLentLoans returns an empty LentLoans.
func NewLentLoans(c Config) *LentLoans {
	return &LentLoans{config: c, loans: make(map[ID]*lentLoan), slots: make(map[datacentre.EndpointID]datacentre.Slots)}
}

// Lent returns how many slots of an endpoint are lent.
func (ll *LentLoans) Lent(e datacentre.EndpointID) datacentre.Slots {
	return ll.slots[e]
}

// Total returns how many slots of all endpoints are lent.
func (ll *LentLoans) Total() datacentre.Slots {
	total := datacentre.Slots(0)
	for _, n := range ll.slots {
		total += n
	}
	return total
}

// Renew extends the loans that the borrower asks to renew and whose term, plus clockMargin, has
// not ended, and returns them.
func (ll *LentLoans) Renew(now clock.Millis, r Request) []Loan {
	var renewed []Loan
	for _, id := range r.Renewals {
		l, ok := ll.loans[id]
		if !ok || id.Request.Borrower != r.ID.Borrower || now >= l.reclaimAt-ll.config.MaxTaskDuration {
			continue
		}
		l.reclaimAt = ll.reclaimAt(now)
		renewed = append(renewed, l.loan)
	}
	return renewed
}

// Lend records and returns the loans that are granted on a request. A duplicate of the
// request is granted nothing.
func (ll *LentLoans) Lend(now clock.Millis, r RequestID, offers []Offer) []Loan {
	if ll.hasLoans(r) {
		return nil
	}
	var granted []Loan
	for _, o := range offers {
		id := ID{Request: r, Endpoint: o.Endpoint.ID}
		l := Loan{ID: id, Endpoint: o.Endpoint, Slots: o.Slots}
		ll.loans[id] = &lentLoan{loan: l, reclaimAt: ll.reclaimAt(now)}
		ll.slots[o.Endpoint.ID] += o.Slots
		granted = append(granted, l)
	}
	return granted
}

func (ll *LentLoans) hasLoans(r RequestID) bool {
	for id := range ll.loans {
		if id.Request == r {
			return true
		}
	}
	return false
}

// RecordReturns frees returned slots. Returns may be duplicated or out of order, so a return
// can only reduce a loan.
func (ll *LentLoans) RecordReturns(returns []Return) {
	for _, r := range returns {
		if r.Loan.Endpoint != "" {
			ll.reduce(r.Loan, r.Held)
			continue
		}
		for id := range ll.loans {
			if id.Request == r.Loan.Request {
				ll.reduce(id, r.Held)
			}
		}
	}
}

// Expire reclaims the loans that were not returned in time, and reports whether there were
// any.
func (ll *LentLoans) Expire(now clock.Millis) bool {
	expired := false
	for id, l := range ll.loans {
		if now >= l.reclaimAt {
			ll.reduce(id, 0)
			expired = true
		}
	}
	return expired
}

func (ll *LentLoans) reduce(id ID, held datacentre.Slots) {
	l, ok := ll.loans[id]
	if !ok || held >= l.loan.Slots {
		return
	}
	held = max(0, held)
	ll.slots[id.Endpoint] -= l.loan.Slots - held
	l.loan.Slots = held
	if held > 0 {
		return
	}
	delete(ll.loans, id)
	if ll.slots[id.Endpoint] == 0 {
		delete(ll.slots, id.Endpoint)
	}
}

func (ll *LentLoans) reclaimAt(now clock.Millis) clock.Millis {
	return now + Term + ll.config.MaxTaskDuration + clockMargin
}
