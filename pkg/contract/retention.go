package contract

import "github.com/sequoiacart/sequoiacart/pkg/clock"

// The spans an id goes through, counted from its issue by the clock of its issuer.
const (
	// StartWindow is the span within which the tasks of an id may start.
	StartWindow = 5 * clock.Minute
	// Memory is the span for which the answer of an id is kept.
	Memory = 15 * clock.Minute
)

// Limits bound the records that are kept.
type Limits struct {
	IDs   int
	Bytes int
}

// DefaultLimits are the bounds of a ledger and of a witness.
func DefaultLimits() Limits {
	return Limits{IDs: 200_000, Bytes: 64 << 20}
}

// evictionBatch bounds the records dropped in one call, so that a call stays short.
const evictionBatch = 1000

// answerBytes estimates the memory an answer takes.
func answerBytes(a Answer) int {
	const header = 24
	switch a := a.(type) {
	case Complete:
		n := header
		for _, r := range a.Results {
			n += header + len(r)
		}
		return n
	case Failed:
		return 2*header + len(a.Reason) + 8*len(a.Tasks)
	case Refused:
		return 2*header + len(a.Reason)
	}
	return 0
}
