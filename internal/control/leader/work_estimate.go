package leader

import (
	"math"

	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// workEstimate is the estimated work of the tasks of a queue.
type workEstimate struct {
	// logMean is the mean logarithm of a task's duration in milliseconds at speed 1.
	logMean float64
	samples int
}

// workWindow is how many samples the mean of a queue covers.
const workWindow = 64

// expectedWork is the expected duration of a task of a step at speed 1. The duration that the
// caller declares is off by 40 %, and the tasks of a queue differ by as much, so both have the same
// weight.
func (l *Leader) expectedWork(j *jobState, s *job.Step) clock.Millis {
	est := l.workEstimates[j.queue]
	declared := math.Log(max(float64(s.Estimate), 1))
	if est == nil || est.samples < speedWindow {
		return clock.Millis(math.Exp(declared))
	}
	return clock.Millis(math.Exp((declared+est.logMean)/2)) + 1
}

// recordWork adds the duration of an attempt, scaled by the speed of its endpoint, to the estimate
// of its queue.
func (l *Leader) recordWork(t *task, ep *endpointState, measured clock.Millis) {
	est := l.workEstimates[t.job.queue]
	if est == nil {
		est = &workEstimate{}
		l.workEstimates[t.job.queue] = est
	}
	est.samples = min(est.samples+1, workWindow)
	sample := math.Log(max(float64(measured)*ep.speed.factor(), 1))
	est.logMean += (sample - est.logMean) / float64(est.samples)
}
