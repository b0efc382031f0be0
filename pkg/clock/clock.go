package clock

// Clock provides the current time and timers.
type Clock interface {
	// Now returns the current time.
	Now() Millis
	// After returns a channel that receives once when the span has passed.
	After(span Millis) <-chan Millis
}
