package entry

import (
	"math/rand/v2"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

const (
	initialBackoff clock.Millis = 50
	maxBackoff                  = clock.Second
)

// backoff delays the retries of a failing call exponentially. The jitter keeps VMs whose
// calls failed at the same time from retrying at the same time.
type backoff struct {
	failures int
	retryAt  clock.Millis
}

func (b *backoff) failed(now clock.Millis, rng *rand.Rand) {
	delay := min(initialBackoff<<min(b.failures, 10), maxBackoff)
	b.failures++
	b.retryAt = now + delay/2 + clock.Millis(rng.Int64N(int64(delay/2)+1))
}

func (b *backoff) succeeded() {
	*b = backoff{}
}

func (b *backoff) due(now clock.Millis) bool {
	return now >= b.retryAt
}
