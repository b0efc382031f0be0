package leader

import (
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// rememberFor is how long outcomes and run numbers are kept. A message that is held up for
// longer is refused by its expiry, and a caller sends a job again within two seconds.
const rememberFor = 10 * clock.Second

// answers remembers how submissions ended, so that a repeated message gets the same answer
// and runs nothing.
type answers struct {
	outcomes map[answerKey]job.Outcome
	order    aging[answerKey]
}

// answerKey tells the visits of a submission apart that other cells have sent back.
type answerKey struct {
	job.Key
	hops int
}

func newAnswers() answers {
	return answers{outcomes: make(map[answerKey]job.Outcome)}
}

func (a *answers) keep(s *job.Submission, o job.Outcome, now clock.Millis) {
	k := answerKey{s.Key, s.Hops}
	a.outcomes[k] = o
	a.order.add(k, now)
}

// of returns the outcome of a submission that has been answered, on this or a later visit.
func (a *answers) of(s *job.Submission) (job.Outcome, bool) {
	for hops := s.Hops; hops <= visitsMost; hops++ {
		if o, ok := a.outcomes[answerKey{s.Key, hops}]; ok {
			return o, true
		}
	}
	return nil, false
}

// visitsMost is the highest number of hops that a front sends.
const visitsMost = 4

func (a *answers) expire(now clock.Millis) {
	for _, k := range a.order.older(now - rememberFor) {
		delete(a.outcomes, k)
	}
}

// lastRuns remembers the highest run number of each task, since endpoints refuse lower ones.
type lastRuns struct {
	runs  map[job.TaskName]job.Attempt
	order aging[job.TaskName]
}

func newLastRuns() lastRuns {
	return lastRuns{runs: make(map[job.TaskName]job.Attempt)}
}

func (l *lastRuns) of(n job.TaskName) job.Attempt { return l.runs[n] }

func (l *lastRuns) note(n job.TaskName, r job.Attempt, now clock.Millis) {
	if _, known := l.runs[n]; !known {
		l.order.add(n, now)
	}
	l.runs[n] = r
	for _, old := range l.order.older(now - rememberFor) {
		delete(l.runs, old)
	}
}

// aging lists things in the order in which they came.
type aging[T any] struct {
	things []T
	at     []clock.Millis
	first  int
}

func (a *aging[T]) add(t T, now clock.Millis) {
	a.things = append(a.things, t)
	a.at = append(a.at, now)
}

// older removes and returns what came before the time.
func (a *aging[T]) older(before clock.Millis) []T {
	from := a.first
	for a.first < len(a.at) && a.at[a.first] < before {
		a.first++
	}
	old := a.things[from:a.first]
	if a.first > len(a.at)/2 && a.first > 64 {
		rest := append([]T(nil), a.things[a.first:]...)
		old = append([]T(nil), old...)
		a.things, a.at, a.first = rest, append([]clock.Millis(nil), a.at[a.first:]...), 0
	}
	return old
}
