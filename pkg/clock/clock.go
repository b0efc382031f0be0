package clock

// Clock provides the current time and timers.
type Clock interface {
	// Now returns the current time.
	Now() Millis
	// After returns a channel that receives once, after the given time.
	After(d Millis) <-chan Millis
}
