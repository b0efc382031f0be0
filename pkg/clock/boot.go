package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is the machine's clock including the time during which the machine was suspended.
// Leases need it: the monotonic clock of the Go runtime stops during a suspension.
type Boot struct {
	// base is the wall-clock time at creation, and started the time since boot then.
	base    Millis
	started Millis
}

// NewBoot returns a clock that starts at the present wall-clock time.
func NewBoot() *Boot {
	return &Boot{base: Millis(time.Now().UnixMilli()), started: sinceBoot()}
}

// Now implements Clock.
func (b *Boot) Now() Millis { return b.base + sinceBoot() - b.started }

// After implements Clock.
func (b *Boot) After(d Millis) <-chan Millis {
	ch := make(chan Millis, 1)
	time.AfterFunc(d.Duration(), func() { ch <- b.Now() })
	return ch
}

func sinceBoot() Millis {
	var ts unix.Timespec
	// CLOCK_BOOTTIME exists on every Linux since 2.6.39, and the call has no other error
	// for a valid pointer.
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock_gettime(CLOCK_BOOTTIME): " + err.Error())
	}
	return FromDuration(time.Duration(ts.Nano()))
}
