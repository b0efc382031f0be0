package node_test

import "github.com/sequoiacart/sequoiacart/pkg/clock"

// micros is a point in time or a duration of the simulation, in microseconds: the rounding of
// clocks to milliseconds is part of what is tested.
type micros int64

const (
	ms     = micros(1000)
	second = 1000 * ms
)

func fromMillis(m clock.Millis) micros { return micros(m) * ms }
