package leader

import (
	"math"

	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// kind is what the home has learnt of the tasks of a queue.
type workEstimate struct {
	// log is the mean logarithm of the work of a task in milliseconds at speed 1.
	logMean float64
	samples int
}

// kindWindow is how many runs the mean of a queue remembers.
const workWindow = 64

// expect is the work of a task of a step at speed 1. What the caller declares is off by
// 40 %, and the tasks of a queue differ by as much, so both count the same.
func (l *Leader) expectedWork(q *jobState, s *job.Step) clock.Millis {
	k := l.workEstimates[q.queue]
	declared := math.Log(max(float64(s.Estimate), 1))
	if k == nil || k.samples < speedWindow {
		return clock.Millis(math.Exp(declared))
	}
	return clock.Millis(math.Exp((declared+k.logMean)/2)) + 1
}

// learnKind takes in how long a run took, at the speed of its place.
func (l *Leader) recordWork(t *task, ep *endpointState, took clock.Millis) {
	k := l.workEstimates[t.job.queue]
	if k == nil {
		k = &workEstimate{}
		l.workEstimates[t.job.queue] = k
	}
	k.samples = min(k.samples+1, workWindow)
	sample := math.Log(max(float64(took)*ep.speed.factor(), 1))
	k.logMean += (sample - k.logMean) / float64(k.samples)
}
