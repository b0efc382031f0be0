package leader

import (
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// rememberFor is how long outcomes and run numbers are kept. A message that is held up for
// longer is refused by its expiry, and a caller sends a job again within two seconds.
const historyRetention = 10 * clock.Second

// answers remembers how submissions ended, so that a repeated message gets the same answer
// and runs nothing.
type answerCache struct {
	outcomes map[answerKey]job.Outcome
	order    expiryQueue[answerKey]
}

// answerKey tells the visits of a submission apart that other cells have sent back.
type answerKey struct {
	job.Key
	hops int
}

func newAnswerCache() answerCache {
	return answerCache{outcomes: make(map[answerKey]job.Outcome)}
}

func (a *answerCache) add(s *job.Submission, o job.Outcome, now clock.Millis) {
	k := answerKey{s.Key, s.Hops}
	a.outcomes[k] = o
	a.order.add(k, now)
}

// of returns the outcome of a submission that has been answered, on this or a later visit.
func (a *answerCache) get(s *job.Submission) (job.Outcome, bool) {
	for hops := s.Hops; hops <= maxHops; hops++ {
		if o, ok := a.outcomes[answerKey{s.Key, hops}]; ok {
			return o, true
		}
	}
	return nil, false
}

// visitsMost is the highest number of hops that a front sends.
const maxHops = 4

func (a *answerCache) expire(now clock.Millis) {
	for _, k := range a.order.popBefore(now - historyRetention) {
		delete(a.outcomes, k)
	}
}

// lastRuns remembers the highest run number of each task, since endpoints refuse lower ones.
type attemptNumbers struct {
	numbers map[job.TaskName]job.Attempt
	order   expiryQueue[job.TaskName]
}

func newAttemptNumbers() attemptNumbers {
	return attemptNumbers{numbers: make(map[job.TaskName]job.Attempt)}
}

func (l *attemptNumbers) get(n job.TaskName) job.Attempt { return l.numbers[n] }

func (l *attemptNumbers) set(n job.TaskName, r job.Attempt, now clock.Millis) {
	if _, known := l.numbers[n]; !known {
		l.order.add(n, now)
	}
	l.numbers[n] = r
	for _, old := range l.order.popBefore(now - historyRetention) {
		delete(l.numbers, old)
	}
}

// aging lists things in the order in which they came.
type expiryQueue[T any] struct {
	items   []T
	addedAt []clock.Millis
	first   int
}

func (a *expiryQueue[T]) add(t T, now clock.Millis) {
	a.items = append(a.items, t)
	a.addedAt = append(a.addedAt, now)
}

// older removes and returns what came before the time.
func (a *expiryQueue[T]) popBefore(before clock.Millis) []T {
	from := a.first
	for a.first < len(a.addedAt) && a.addedAt[a.first] < before {
		a.first++
	}
	old := a.items[from:a.first]
	if a.first > len(a.addedAt)/2 && a.first > 64 {
		rest := append([]T(nil), a.items[a.first:]...)
		old = append([]T(nil), old...)
		a.items, a.addedAt, a.first = rest, append([]clock.Millis(nil), a.addedAt[a.first:]...), 0
	}
	return old
}
