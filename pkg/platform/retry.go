package platform

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// backoff delays the retries of one call. The maximum delay doubles with each retry, and each
// delay is drawn from its upper half, so that VMs that failed at the same time do not retry at
// the same time.
type backoff struct {
	clock   clock.Clock
	initial clock.Millis
	maximum clock.Millis
}

// pause waits before the retry with the given number, counted from 0.
func (b backoff) pause(ctx context.Context, retry int) error {
	delay := b.initial
	for range retry {
		delay = min(2*delay, b.maximum)
	}
	delay = delay/2 + clock.Millis(rand.Int64N(int64(delay/2)+1))
	return wait(ctx, b.clock, delay)
}

// rateLimiter limits the calls of this VM, so that it cannot overload the platform, which all
// VMs share. It allows a burst of one second's worth of calls.
type rateLimiter struct {
	clock clock.Clock
	// perSecond is the number of calls allowed in a second.
	perSecond int

	mu sync.Mutex
	// due is when the next call would start if no burst were allowed.
	due clock.Millis
	// carry is what due leaves out below a whole millisecond, in 1/perSecond of a millisecond.
	carry clock.Millis
}

// admit waits until a call may start.
func (l *rateLimiter) admit(ctx context.Context) error {
	return errors.Annotate(wait(ctx, l.clock, l.reserve()), "wait for the rate limit on platform calls")
}

func (l *rateLimiter) reserve() clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.due = max(l.due, now-clock.Second)
	l.carry += clock.Second
	l.due += l.carry / clock.Millis(l.perSecond)
	l.carry %= clock.Millis(l.perSecond)
	return l.due - now
}

func wait(ctx context.Context, c clock.Clock, delay clock.Millis) error {
	if delay <= 0 {
		return ctx.Err()
	}
	select {
	case <-c.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
