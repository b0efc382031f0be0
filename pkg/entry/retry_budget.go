package entry

import "github.com/sequoiacart/sequoiacart/pkg/contract"

const (
	// retriesPerRequest bounds the retries of one request.
	retriesPerRequest = 2
	// startsPerRetry is the number of starts that earn one retry: at most 10 % more
	// load when every attempt fails.
	startsPerRetry = 10
	// savedStarts bounds the starts that count, so that a quiet hour does not pay for a
	// burst of retries.
	savedStarts = 1000
)

// retryBudget limits the retries of repeatable requests to a share of recent starts.
type retryBudget struct {
	starts int
}

func (b *retryBudget) started() {
	b.starts = min(b.starts+1, savedStarts)
}

// take spends the budget for another attempt of the entry's only task.
func (b *retryBudget) take(e *contract.LedgerEntry) bool {
	if e.Attempts(0) > retriesPerRequest || b.starts < startsPerRetry {
		return false
	}
	b.starts -= startsPerRetry
	return true
}
