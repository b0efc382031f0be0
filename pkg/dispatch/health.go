package dispatch

import (
	"math"
	"slices"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

const (
	// An endpoint is suspect after this many failures in a row, if its kind of task rarely
	// fails; a failure within a quarter of the usual run time counts twice.
	suspectStreak = 3
	// strayFailure is the accepted chance that a streak is a run of ordinary failures.
	strayFailure  = 1e-4
	longestStreak = 12
	// ejectedPart is the part of the endpoints that may be ejected: one in four.
	ejectedPart = 4
	// The time out of service doubles with each failed trial between these bounds.
	firstEjection = 2 * clock.Second
	lastEjection  = 60 * clock.Second
	// trialSuccesses bring an endpoint back.
	trialSuccesses = 2
	// A suspect or busy endpoint gets no work for this long after its answer. Without the
	// pause an endpoint that fails at once would draw a task every millisecond.
	pauseSpan = 100 * clock.Millis(1)
)

// learn takes the result of a run into account for its kind, its job and its endpoint.
func (s *Scheduler) learn(now clock.Millis, j *queuedJob, m *endpoint, span clock.Millis, result contract.AttemptResult) {
	switch r := result.(type) {
	case contract.Succeeded:
		j.succeeded = true
		s.learnTime(j.kind, m, span)
		s.succeeded(now, j.kind, m)
	case contract.RanAndFailed:
		s.failed(now, j, m, span, r.Reason)
	case contract.Ambiguous:
		s.failed(now, j, m, span, r.Reason)
	case contract.NotStarted:
		s.notStarted(now, m, r.Cause)
	}
}

func (s *Scheduler) succeeded(now clock.Millis, k *kind, m *endpoint) {
	k.failRate -= learningFloor * k.failRate
	k.lastSuccess, k.failures, k.broken = now, 0, false
	for _, f := range k.failedOn {
		if f != m && f.standing == suspect && f.blamed == k {
			s.eject(now, f)
		}
	}
	k.failedOn = k.failedOn[:0]
	m.streak = 0
	switch m.standing {
	case onTrial:
		m.successes++
		if m.successes >= trialSuccesses {
			s.setStanding(m, trusted)
		}
	case suspect:
		s.setStanding(m, trusted)
	case trusted, ejected:
	}
}

func (s *Scheduler) failed(now clock.Millis, j *queuedJob, m *endpoint, span clock.Millis, reason string) {
	k := j.kind
	weight := 1
	if k.known() && slotMillis(span) < k.mean/4 {
		weight = 2
	}
	k.failures++
	if len(k.failedOn) < failedOnLimit && !slices.Contains(k.failedOn, m) {
		k.failedOn = append(k.failedOn, m)
	}
	s.blame(now, k, m, weight)
	k.failRate += learningFloor * (1 - k.failRate)
	if s.failsEverywhere(k) {
		s.clearBlame(k)
	}
	if k.broken && !j.succeeded && !j.ended && j.waiting() > 0 {
		s.dequeue(j)
		s.dropped = append(s.dropped, Unrunnable{
			Job:    j.ref,
			Reason: "tasks of kind " + string(k.name) + " fail on every endpoint, last: " + reason,
			Tasks:  j.drop(),
		})
	}
}

// failsEverywhere tells whether a kind has failed on at least half of the endpoints (3
// to 8) since its last success. A quarter may be faulty, so fewer prove nothing.
func (s *Scheduler) failsEverywhere(k *kind) bool {
	serving := 0
	for _, m := range s.all {
		if m.capacity() > 0 {
			serving++
		}
	}
	need := min(max((serving+1)/2, 3), failedOnLimit, max(serving, 1))
	k.broken = k.broken || (k.failures >= 3 && len(k.failedOn) >= need)
	return k.broken
}

// clearBlame lifts what endpoints were blamed for by a kind that fails everywhere.
func (s *Scheduler) clearBlame(k *kind) {
	for _, m := range k.failedOn {
		if m.blamed != k || m.standing == trusted {
			continue
		}
		m.streak, m.ejections = 0, 0
		s.setStanding(m, trusted)
	}
}

// blame counts a failure against the endpoint. The endpoint becomes suspect, and is
// ejected when the same kind has succeeded elsewhere since the streak began.
func (s *Scheduler) blame(now clock.Millis, k *kind, m *endpoint, weight int) {
	if k.broken {
		return
	}
	if m.standing == onTrial {
		s.eject(now, m)
		return
	}
	if m.streak == 0 || m.blamed != k {
		m.streakStart, m.blamed = now, k
	}
	m.streak += weight
	if m.streak < streakLimit(k.failRate) || m.standing == ejected {
		return
	}
	if m.standing == trusted {
		s.setStanding(m, suspect)
	}
	s.pause(now, m)
	if k.lastSuccess > 0 && k.lastSuccess >= m.streakStart {
		s.eject(now, m)
	}
}

// streakLimit is the length of a streak that ordinary failures hardly ever reach.
func streakLimit(failRate float64) int {
	if failRate < 0.05 {
		return suspectStreak
	}
	return min(max(int(math.Log(strayFailure)/math.Log(failRate)), suspectStreak), longestStreak)
}

// eject takes an endpoint out of service, unless a quarter are out already. It then
// stays suspect.
func (s *Scheduler) eject(now clock.Millis, m *endpoint) {
	out, serving := 0, 0
	for _, o := range s.all {
		if o.capacity() == 0 || o == m {
			continue
		}
		serving++
		if o.standing == ejected || o.standing == onTrial {
			out++
		}
	}
	if (out+1)*ejectedPart > serving+1 {
		s.setStanding(m, suspect)
		s.pause(now, m)
		return
	}
	m.retryAt = now + min(firstEjection<<min(m.ejections, 8), lastEjection)
	m.ejections++
	s.setStanding(m, ejected)
	s.watch(m)
}

func (s *Scheduler) setStanding(m *endpoint, to standing) {
	s.placement.before(m)
	if m.standing != to {
		m.successes = 0
	}
	if to == trusted {
		m.streak = 0
	}
	m.standing = to
	s.placement.after(m)
}

func (s *Scheduler) notStarted(now clock.Millis, m *endpoint, cause contract.NotStartedCause) {
	switch cause {
	case contract.EndpointLeaving:
		s.Drain(now, m.id)
	case contract.EndpointBusy:
		s.pause(now, m)
	case contract.EndpointUnreachable:
		s.pause(now, m)
		m.streak++
		if m.streak >= suspectStreak && m.standing != ejected {
			s.eject(now, m)
		}
	}
}

func (s *Scheduler) pause(now clock.Millis, m *endpoint) {
	s.placement.before(m)
	m.pausedUntil = now + pauseSpan
	s.placement.after(m)
	s.watch(m)
}

// watch puts an endpoint on the list that releaseHeld goes through.
func (s *Scheduler) watch(m *endpoint) {
	if !m.held {
		m.held = true
		s.held = append(s.held, m)
	}
}

// releaseHeld ends the pauses and ejections that are over.
func (s *Scheduler) releaseHeld(now clock.Millis) {
	kept := s.held[:0]
	for _, m := range s.held {
		if m.pausedUntil > 0 && m.pausedUntil <= now {
			s.placement.before(m)
			m.pausedUntil = 0
			s.placement.after(m)
		}
		if m.standing == ejected && m.retryAt <= now {
			s.setStanding(m, onTrial)
		}
		m.held = m.pausedUntil > 0 || m.standing == ejected
		if m.held {
			kept = append(kept, m)
		}
	}
	s.held = kept
}

// Ejected returns the endpoints that are out of service because of failures.
func (s *Scheduler) Ejected() []datacentre.EndpointID {
	var out []datacentre.EndpointID
	for _, m := range s.all {
		if m.standing == ejected && m.capacity() > 0 {
			out = append(out, m.id)
		}
	}
	return out
}

// Drain stops new work to a leaving endpoint.
func (s *Scheduler) Drain(now clock.Millis, e datacentre.EndpointID) {
	m := s.endpoint(e)
	s.placement.before(m)
	m.draining, m.drainedAt = true, now
	s.placement.after(m)
}

// Readmit lifts a drain if the evidence that the endpoint serves was observed after it.
// It returns whether the endpoint takes new work now.
func (s *Scheduler) Readmit(_ clock.Millis, e datacentre.EndpointID, observedAt clock.Millis) bool {
	m, ok := s.endpoints[e]
	if !ok || !m.draining {
		return true
	}
	if observedAt <= m.drainedAt {
		return false
	}
	s.placement.before(m)
	m.draining = false
	s.placement.after(m)
	return true
}
