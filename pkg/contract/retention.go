package contract

import "github.com/sequoiacart/sequoiacart/pkg/clock"

// The periods in the lifetime of an id.
const (
	// StartWindow is the period within which the tasks of an id may start, measured from its
	// issue by the clock of the issuer.
	StartWindow = 5 * clock.Minute
	// RetentionWindow is the period for which a ledger or a witness keeps the record of an id,
	// measured from the time at which it was added. A record that is still running in the
	// ledger is kept longer.
	RetentionWindow = 15 * clock.Minute
)

// Limits bounds the number and the memory of the records that are kept.
type Limits struct {
	IDs   int
	Bytes int
}

// DefaultLimits returns the limits of a ledger and of a witness. 256 MiB hold 290,000 jobs
// of one task, or 326 per second over the RetentionWindow. 64 MiB held 82 per second, which
// one VM of a present-day site can exceed.
func DefaultLimits() Limits {
	return Limits{IDs: 400_000, Bytes: 256 << 20}
}

// maxEvictionsPerCall limits the records dropped in one call, so that the call stays short.
const maxEvictionsPerCall = 1000

// answerBytes estimates the memory of an answer.
func answerBytes(a Answer) int {
	const sliceHeaderBytes = 24
	switch a := a.(type) {
	case Complete:
		n := sliceHeaderBytes
		for _, r := range a.Results {
			n += sliceHeaderBytes + len(r)
		}
		return n
	case Failed:
		return 2*sliceHeaderBytes + len(a.Reason) + 8*len(a.Tasks)
	case Refused:
		return 2*sliceHeaderBytes + len(a.Reason)
	}
	return 0
}
