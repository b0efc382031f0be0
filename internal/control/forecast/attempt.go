// Package forecast estimates when the tasks that run at the endpoints of a shard end, and when there is
// capacity for others. It does no I/O and keeps no state of its own.
package forecast

import (
	"math"

	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// Attempt is an attempt that runs at an endpoint.
type Attempt struct {
	Demand    job.Resources
	StartedAt clock.Millis
	// Expected is how long it takes at its endpoint, by the estimates at its start.
	Expected clock.Millis
	// Percent of its work was done at PercentAt; 0 means that no progress has been reported.
	Percent   int
	PercentAt clock.Millis
}

// Instant is a point in time in the future.
type Instant struct {
	At clock.Millis
	// Spread is the standard deviation of At.
	Spread clock.Millis
}

const (
	// estimateSpread is the relative error of an expected duration: declared durations are off by 40 %,
	// and the mean of the queue makes up for a part of that.
	estimateSpread = 0.35
	// progressSpread is the relative error of a duration that follows from the progress of half of the
	// work; that of a smaller part is larger in proportion.
	progressSpread = 0.05
	// medianRemainder is the median remainder of a normally distributed duration that has reached its
	// mean, in standard deviations.
	medianRemainder = 0.67
)

// End forecasts the end of the attempt. One that has outlasted its expected duration is expected to go
// on for a part of the time that it has taken: it would be wrong to expect its end at once, over and
// over.
func (a Attempt) End(now clock.Millis) Instant {
	duration, spread := float64(a.Expected), estimateSpread
	if elapsed := a.PercentAt - a.StartedAt; a.Percent > 0 && elapsed > 0 {
		byProgress := float64(elapsed) * 100 / float64(a.Percent)
		// The weights are the inverse variances.
		estimateWeight := 1 / (estimateSpread * estimateSpread)
		progressError := progressSpread * 50 / float64(a.Percent)
		progressWeight := 1 / (progressError * progressError)
		duration = (duration*estimateWeight + byProgress*progressWeight) / (estimateWeight + progressWeight)
		spread = 1 / math.Sqrt(estimateWeight+progressWeight)
	}
	elapsed := float64(now - a.StartedAt)
	deviation := spread * max(duration, elapsed)
	left := max(duration-elapsed, medianRemainder*spread*elapsed, 1)
	return Instant{At: now + clock.Millis(left), Spread: clock.Millis(deviation)}
}
