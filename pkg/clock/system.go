package clock

import "time"

// System is the machine's clock. It reads the wall clock once and follows the
// monotonic clock from there, so that a step of the wall clock cannot expire records.
type System struct {
	started time.Time
	base    Millis
}

// NewSystem returns a clock that starts at the present wall-clock time.
func NewSystem() *System {
	now := time.Now()
	return &System{started: now, base: Millis(now.UnixMilli())}
}

// Now implements Clock.
func (s *System) Now() Millis {
	return s.base + FromDuration(time.Since(s.started))
}

// After implements Clock.
func (s *System) After(d Millis) <-chan Millis {
	ch := make(chan Millis, 1)
	time.AfterFunc(d.Duration(), func() { ch <- s.Now() })
	return ch
}
