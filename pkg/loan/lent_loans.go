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
func (b *LentLoans) Lent(e datacentre.EndpointID) datacentre.Slots {
	return b.slots[e]
}

// Total returns how many slots of all endpoints are lent.
func (b *LentLoans) Total() datacentre.Slots {
	total := datacentre.Slots(0)
	for _, n := range b.slots {
		total += n
	}
	return total
}

// Renew extends the loans that the borrower asks to renew, and returns them.
func (b *LentLoans) Renew(now clock.Millis, r Request) []Loan {
	var renewed []Loan
	for _, id := range r.Renewals {
		l, ok := b.loans[id]
		if !ok || id.Request.Borrower != r.ID.Borrower || now >= l.reclaimAt-b.config.MaxTaskDuration {
			continue
		}
		l.reclaimAt = b.reclaimAt(now)
		renewed = append(renewed, l.loan)
	}
	return renewed
}

// Lend records and returns the loans that are granted on a request. A duplicate of the
// request is granted nothing.
func (b *LentLoans) Lend(now clock.Millis, r RequestID, offers []Offer) []Loan {
	if b.hasLoans(r) {
		return nil
	}
	var granted []Loan
	for _, o := range offers {
		id := ID{Request: r, Endpoint: o.Endpoint.ID}
		l := Loan{ID: id, Endpoint: o.Endpoint, Slots: o.Slots}
		b.loans[id] = &lentLoan{loan: l, reclaimAt: b.reclaimAt(now)}
		b.slots[o.Endpoint.ID] += o.Slots
		granted = append(granted, l)
	}
	return granted
}

func (b *LentLoans) hasLoans(r RequestID) bool {
	for id := range b.loans {
		if id.Request == r {
			return true
		}
	}
	return false
}

// RecordReturns frees returned slots. Returns may be duplicated or out of order, so a return
// can only reduce a loan.
func (b *LentLoans) RecordReturns(returns []Return) {
	for _, r := range returns {
		if r.Loan.Endpoint != "" {
			b.reduce(r.Loan, r.Held)
			continue
		}
		for id := range b.loans {
			if id.Request == r.Loan.Request {
				b.reduce(id, r.Held)
			}
		}
	}
}

// Expire reclaims the loans that were not returned in time, and reports whether there were
// any.
func (b *LentLoans) Expire(now clock.Millis) bool {
	expired := false
	for id, l := range b.loans {
		if now >= l.reclaimAt {
			b.reduce(id, 0)
			expired = true
		}
	}
	return expired
}

func (b *LentLoans) reduce(id ID, held datacentre.Slots) {
	l, ok := b.loans[id]
	if !ok || held >= l.loan.Slots {
		return
	}
	held = max(0, held)
	b.slots[id.Endpoint] -= l.loan.Slots - held
	l.loan.Slots = held
	if held > 0 {
		return
	}
	delete(b.loans, id)
	if b.slots[id.Endpoint] == 0 {
		delete(b.slots, id.Endpoint)
	}
}

func (b *LentLoans) reclaimAt(now clock.Millis) clock.Millis {
	return now + Term + b.config.MaxTaskDuration + clockMargin
}
