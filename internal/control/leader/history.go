package leader

import (
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// historyRetention is how long outcomes and attempt numbers are kept. A message that is delayed for
// longer is refused by its expiry, and callers resend a job within two seconds.
const historyRetention = 10 * clock.Second

// answerCache keeps the outcomes of submissions, so that a repeated message gets the same answer
// and starts nothing.
type answerCache struct {
	outcomes map[answerKey]job.Outcome
	order    expiryQueue[answerKey]
}

// answerKey distinguishes the visits of a submission that other shards have forwarded back.
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

// get returns the outcome of a submission that was answered on this or a later visit.
func (a *answerCache) get(s *job.Submission) (job.Outcome, bool) {
	for hops := s.Hops; hops <= maxHops; hops++ {
		if o, ok := a.outcomes[answerKey{s.Key, hops}]; ok {
			return o, true
		}
	}
	return nil, false
}

// maxHops is the highest number of hops that a gateway sends.
const maxHops = 4

func (a *answerCache) expire(now clock.Millis) {
	for _, k := range a.order.popBefore(now - historyRetention) {
		delete(a.outcomes, k)
	}
}

// attemptNumbers keeps the highest attempt number of each task, since endpoints reject lower ones.
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

// expiryQueue holds items in the order in which they were added.
type expiryQueue[T any] struct {
	items   []T
	addedAt []clock.Millis
	first   int
}

func (a *expiryQueue[T]) add(t T, now clock.Millis) {
	a.items = append(a.items, t)
	a.addedAt = append(a.addedAt, now)
}

// popBefore removes and returns the items that were added before the given time.
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
