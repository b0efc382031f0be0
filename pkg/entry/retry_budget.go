package entry

import "github.com/sequoiacart/sequoiacart/pkg/contract"

const (
	// maxRetriesPerRequest is the maximum number of retries of one request.
	maxRetriesPerRequest = 2
	// startsPerRetry is the number of starts that allow one retry: at most 10 % more load
	// when every attempt fails.
	startsPerRetry = 10
	// maxCountedStarts limits the starts that are counted, so that starts of a long period do
	// not allow a large burst of retries.
	maxCountedStarts = 1000
)

// retryBudget limits the retries of repeatable requests to a share of recent starts.
type retryBudget struct {
	starts int
}

func (b *retryBudget) started() {
	b.starts = min(b.starts+1, maxCountedStarts)
}

// spend reports whether the entry's only task may be retried, and if so charges the budget.
func (b *retryBudget) spend(e *contract.LedgerEntry) bool {
	if e.Attempts(0) > maxRetriesPerRequest || b.starts < startsPerRetry {
		return false
	}
	b.starts -= startsPerRetry
	return true
}
