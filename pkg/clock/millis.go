// Package clock provides time in milliseconds, from the machine's clocks or from a clock that
// tests advance.
package clock

import "time"

// Millis is a point in time (milliseconds since the Unix epoch) or a duration.
type Millis int64

// Common durations.
const (
	Second Millis = 1000
	Minute        = 60 * Second
	Hour          = 60 * Minute
)

// Duration converts a duration for use with the standard library.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// FromDuration converts a standard-library duration, rounded down.
func FromDuration(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}
