package loan

import (
	"cmp"
	"slices"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// takeBackMargin covers the difference in speed of two clocks over a term.
const takeBackMargin = clock.Second

// BookConfig holds what a book is made of.
type BookConfig struct {
	// TaskSpan bounds how long a task started at the end of a term may run.
	TaskSpan clock.Millis
}

// Book is the lender's side: which slots are out, and until when.
type Book struct {
	config BookConfig
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

// Idle is an endpoint with slots that its home VM does not use.
type Idle struct {
	Endpoint datacentre.Endpoint
	Free     datacentre.Slots
}

// NewBook returns a book without loans.
func NewBook(c BookConfig) *Book {
	return &Book{config: c, lent: make(map[ID]*lent), out: make(map[datacentre.EndpointID]datacentre.Slots)}
}

// Out returns how many slots of an endpoint are lent.
func (b *Book) Out(e datacentre.EndpointID) datacentre.Slots {
	return b.out[e]
}

// Grant renews the loans that the borrower keeps and lends idle slots, from the endpoints
// with most of them. One request gets at most half of what is idle, rounded up, so that
// several borrowers and the lender's own next tasks find some.
func (b *Book) Grant(now clock.Millis, r Request, renew bool, idle []Idle) []Loan {
	var granted []Loan
	for _, id := range r.Keep {
		l, ok := b.lent[id]
		if !ok || !renew || id.Request.Borrower != r.ID.Borrower || now >= l.takeBackAt-b.config.TaskSpan {
			continue
		}
		l.takeBackAt = b.takeBackAt(now)
		granted = append(granted, l.loan)
	}
	return append(granted, b.lend(now, r, idle)...)
}

func (b *Book) lend(now clock.Millis, r Request, idle []Idle) []Loan {
	total := datacentre.Slots(0)
	for _, i := range idle {
		total += max(0, i.Free)
	}
	left := min(r.Wanted, (total+1)/2)
	idle = slices.Clone(idle)
	slices.SortFunc(idle, func(a, b Idle) int {
		return cmp.Or(cmp.Compare(b.Free, a.Free), cmp.Compare(a.Endpoint.ID, b.Endpoint.ID))
	})
	var granted []Loan
	for _, i := range idle {
		slots := min(left, i.Free)
		id := ID{Request: r.ID, Endpoint: i.Endpoint.ID}
		if _, again := b.lent[id]; slots <= 0 || again {
			continue
		}
		l := Loan{ID: id, Endpoint: i.Endpoint, Slots: slots}
		b.lent[id] = &lent{loan: l, takeBackAt: b.takeBackAt(now)}
		b.out[i.Endpoint.ID] += slots
		left -= slots
		granted = append(granted, l)
	}
	return granted
}

// Returned takes slots back. Returns may arrive twice and in any order: a loan never
// grows.
func (b *Book) Returned(returns []Return) {
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

// Pass takes back what was not returned in time, and reports whether there was any.
func (b *Book) Pass(now clock.Millis) bool {
	taken := false
	for id, l := range b.lent {
		if now >= l.takeBackAt {
			b.reduce(id, 0)
			taken = true
		}
	}
	return taken
}

func (b *Book) reduce(id ID, held datacentre.Slots) {
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

func (b *Book) takeBackAt(now clock.Millis) clock.Millis {
	return now + Term + b.config.TaskSpan + takeBackMargin
}
