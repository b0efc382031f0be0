package entry

import (
	"math/rand/v2"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

const (
	backoffFirst clock.Millis = 50
	backoffMax                = clock.Second
)

// backoff spaces the tries of a call that fails. The jitter keeps VMs that failed
// together from trying together.
type backoff struct {
	failures int
	retryAt  clock.Millis
}

func (b *backoff) failed(now clock.Millis, rng *rand.Rand) {
	span := min(backoffFirst<<min(b.failures, 10), backoffMax)
	b.failures++
	b.retryAt = now + span/2 + clock.Millis(rng.Int64N(int64(span/2)+1))
}

func (b *backoff) succeeded() {
	*b = backoff{}
}

func (b *backoff) due(now clock.Millis) bool {
	return now >= b.retryAt
}
