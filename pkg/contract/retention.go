package contract

import "github.com/sequoiacart/sequoiacart/pkg/clock"

// The spans an id goes through, counted from its issue by the clock of its issuer.
const (
	// StartWindow is the span within which the tasks of an id may start.
	StartWindow = 5 * clock.Minute
	// RetentionWindow is the span for which the answer of an id is kept.
	RetentionWindow = 15 * clock.Minute
)

// Limits bound the records that are kept.
type Limits struct {
	IDs   int
	Bytes int
}

// DefaultLimits are the bounds of a ledger and of a witness. 256 MiB hold 290,000 jobs of
// one task, or 326 a second over the span of Memory; 64 MiB held 82 a second, which one VM
// of a site of today can exceed.
func DefaultLimits() Limits {
	return Limits{IDs: 400_000, Bytes: 256 << 20}
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
