package loan

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// takeBackMargin covers the difference in speed of two clocks over a term.
const takeBackMargin = clock.Second

// Config holds what a book is made of.
type Config struct {
	// MaxTaskDuration bounds how long a task started at the end of a term may run.
	MaxTaskDuration clock.Millis
}

// LentLoans is the lender's side: which slots are out, and until when.
type LentLoans struct {
	config Config
	lent   map[ID]*lent
	out    map[datacentre.EndpointID]datacentre.Slots
}

type lent struct {
	loan Loan
	// takeBackAt is when slots that were not returned count as free again. The borrower
	// starts nothing after its term, but a cut may keep it from returning the slot of a
	// task that still runs.
	takeBackAt clock.Millis
}

// Offer is a number of slots of an endpoint that the scheduler has decided to lend.
type Offer struct {
	Endpoint datacentre.Endpoint
	Slots    datacentre.Slots
}

// NewLentLoans returns a book without loans.
func NewLentLoans(c Config) *LentLoans {
	return &LentLoans{config: c, lent: make(map[ID]*lent), out: make(map[datacentre.EndpointID]datacentre.Slots)}
}

// Lent returns how many slots of an endpoint are lent.
func (b *LentLoans) Lent(e datacentre.EndpointID) datacentre.Slots {
	return b.out[e]
}

// Total returns how many slots are lent.
func (b *LentLoans) Total() datacentre.Slots {
	total := datacentre.Slots(0)
	for _, n := range b.out {
		total += n
	}
	return total
}

// Renew prolongs the loans that the borrower keeps, and returns them.
func (b *LentLoans) Renew(now clock.Millis, r Request) []Loan {
	var renewed []Loan
	for _, id := range r.Renewals {
		l, ok := b.lent[id]
		if !ok || id.Request.Borrower != r.ID.Borrower || now >= l.takeBackAt-b.config.MaxTaskDuration {
			continue
		}
		l.takeBackAt = b.takeBackAt(now)
		renewed = append(renewed, l.loan)
	}
	return renewed
}

// Lend books what is lent on a request, and returns the loans. A copy of the request gets
// nothing more.
func (b *LentLoans) Lend(now clock.Millis, r RequestID, offers []Offer) []Loan {
	if b.booked(r) {
		return nil
	}
	var granted []Loan
	for _, o := range offers {
		id := ID{Request: r, Endpoint: o.Endpoint.ID}
		l := Loan{ID: id, Endpoint: o.Endpoint, Slots: o.Slots}
		b.lent[id] = &lent{loan: l, takeBackAt: b.takeBackAt(now)}
		b.out[o.Endpoint.ID] += o.Slots
		granted = append(granted, l)
	}
	return granted
}

func (b *LentLoans) booked(r RequestID) bool {
	for id := range b.lent {
		if id.Request == r {
			return true
		}
	}
	return false
}

// RecordReturns takes slots back. Returns may arrive twice and in any order: a loan never
// grows.
func (b *LentLoans) RecordReturns(returns []Return) {
	for _, r := range returns {
		if r.Loan.Endpoint != "" {
			b.reduce(r.Loan, r.Held)
			continue
		}
		for id := range b.lent {
			if id.Request == r.Loan.Request {
				b.reduce(id, r.Held)
			}
		}
	}
}

// Expire takes back what was not returned in time, and reports whether there was any.
func (b *LentLoans) Expire(now clock.Millis) bool {
	taken := false
	for id, l := range b.lent {
		if now >= l.takeBackAt {
			b.reduce(id, 0)
			taken = true
		}
	}
	return taken
}

func (b *LentLoans) reduce(id ID, held datacentre.Slots) {
	l, ok := b.lent[id]
	if !ok || held >= l.loan.Slots {
		return
	}
	held = max(0, held)
	b.out[id.Endpoint] -= l.loan.Slots - held
	l.loan.Slots = held
	if held > 0 {
		return
	}
	delete(b.lent, id)
	if b.out[id.Endpoint] == 0 {
		delete(b.out, id.Endpoint)
	}
}

func (b *LentLoans) takeBackAt(now clock.Millis) clock.Millis {
	return now + Term + b.config.MaxTaskDuration + takeBackMargin
}
