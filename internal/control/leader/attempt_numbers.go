package leader

import (
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// attemptNumbers keeps the highest attempt number of each task, since endpoints reject lower ones.
type attemptNumbers struct {
	numbers map[job.TaskName]job.Attempt
	order   expiryQueue[job.TaskName]
}

func newAttemptNumbers() attemptNumbers {
	return attemptNumbers{numbers: make(map[job.TaskName]job.Attempt)}
}

func (a *attemptNumbers) get(n job.TaskName) job.Attempt { return a.numbers[n] }

func (a *attemptNumbers) set(n job.TaskName, attempt job.Attempt, now clock.Millis) {
	if _, ok := a.numbers[n]; !ok {
		a.order.add(n, now)
	}
	a.numbers[n] = attempt
	for _, old := range a.order.popBefore(now - historyRetention) {
		delete(a.numbers, old)
	}
}
