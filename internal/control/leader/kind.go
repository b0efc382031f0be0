package leader

import (
	"math"

	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// kind is what the home has learnt of the tasks of a queue.
type kind struct {
	// log is the mean logarithm of the work of a task in milliseconds at speed 1.
	log     float64
	samples int
}

// kindWindow is how many runs the mean of a queue remembers.
const kindWindow = 64

// expect is the work of a task of a step at speed 1. What the caller declares is off by
// 40 %, and the tasks of a queue differ by as much, so both count the same.
func (l *Leader) expect(q *work, s *job.Step) clock.Millis {
	k := l.kinds[q.queue]
	declared := math.Log(max(float64(s.Estimate), 1))
	if k == nil || k.samples < speedWindow {
		return clock.Millis(math.Exp(declared))
	}
	return clock.Millis(math.Exp((declared+k.log)/2)) + 1
}

// learnKind takes in how long a run took, at the speed of its place.
func (l *Leader) learnKind(t *task, p *place, took clock.Millis) {
	k := l.kinds[t.work.queue]
	if k == nil {
		k = &kind{}
		l.kinds[t.work.queue] = k
	}
	k.samples = min(k.samples+1, kindWindow)
	sample := math.Log(max(float64(took)*p.speed.factor(), 1))
	k.log += (sample - k.log) / float64(k.samples)
}
