package forecast

import (
	"math"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// Objective is when a job has to end. It grows with the actual work of the job, of which only an estimate
// is known.
type Objective struct {
	// Submitted is when the caller sent the job, and Limit how long it waits in all; 0 means no limit.
	Submitted, Limit clock.Millis
	// Stretch times the critical path, plus Allowance, is the latency objective.
	Stretch   float64
	Allowance clock.Millis
	// Path is the estimated critical path of the job at speed 1, and Left that of the steps that are not
	// done.
	Path, Left clock.Millis
	// Overhead is the time that starts and reports take.
	Overhead clock.Millis
}

// Margin is the factor by which the actual critical path may be off its estimate in either direction.
type Margin float64

const (
	// Probable leaves a margin for most errors: declared durations are off by 40 %, and the objective
	// depends on the longest of several tasks.
	Probable Margin = 1.15
	// Possible is met if the estimate is right.
	Possible Margin = 1
)

// LatestStart is when the tasks have to start at endpoints of a speed to meet the objective. A short
// path makes the objective of a job tighter, and a long one takes longer than the objective allows where
// the endpoint is slow, so that the worse of both counts.
func (o *Objective) LatestStart(speed float64, m Margin) clock.Millis {
	slack := o.Stretch*float64(o.Path) - float64(o.Left)/speed
	if slack > 0 {
		slack /= float64(m)
	} else {
		slack *= float64(m)
	}
	latest := o.fixed() + clock.Millis(math.Floor(slack))
	if o.Limit > 0 {
		latest = min(latest, o.lastEnd()-clock.Millis(math.Ceil(float64(o.Left)*float64(m)/speed)))
	}
	return latest
}

// MinSpeed is the lowest speed of an endpoint at which tasks that start now meet the objective. It is
// infinite if none is high enough.
func (o *Objective) MinSpeed(now clock.Millis, m Margin) float64 {
	slack := float64(now - o.fixed())
	if slack > 0 {
		slack *= float64(m)
	} else {
		slack /= float64(m)
	}
	longest := o.Stretch*float64(o.Path) - slack
	if longest <= 0 {
		return math.Inf(1)
	}
	speed := float64(o.Left) / longest
	if o.Limit > 0 {
		if now >= o.lastEnd() {
			return math.Inf(1)
		}
		speed = max(speed, float64(o.Left)*float64(m)/float64(o.lastEnd()-now))
	}
	return speed
}

// lastEnd is when the tasks have to end so that the caller still waits.
func (o *Objective) lastEnd() clock.Millis { return o.Submitted + o.Limit - o.Overhead }

// fixed is the part of the objective that does not depend on the path.
func (o *Objective) fixed() clock.Millis { return o.Submitted + o.Allowance - o.Overhead }
