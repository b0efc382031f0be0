package dispatch

import (
	"math"
	"slices"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

const (
	// minStreakThreshold is the number of consecutive failures that makes an endpoint
	// suspect if the kind rarely fails. A failure within a quarter of the mean run time
	// counts twice.
	minStreakThreshold = 3
	// falseStreakProbability is the accepted probability that a streak consists of failures
	// that the endpoint did not cause.
	falseStreakProbability = 1e-4
	maxStreakThreshold     = 12
	// At most one in maxEjectedDivisor endpoints is out of service at a time.
	maxEjectedDivisor = 4
	// The ejection time doubles with each ejection, between these bounds.
	baseEjectionTime = 2 * clock.Second
	maxEjectionTime  = 60 * clock.Second
	// probationSuccesses is the number of successes that ends the probation.
	probationSuccesses = 2
	// pauseDuration is how long a suspect, busy or unreachable endpoint gets no work after its
	// last attempt. Without it, a black-hole endpoint that fails at once would get a task every
	// millisecond.
	pauseDuration = 100 * clock.Millis(1)
)

// recordResult updates the kind, the job and the endpoint after an attempt has ended.
func (s *Scheduler) recordResult(now clock.Millis, j *queuedJob, ep *endpoint, runTime clock.Millis, result contract.AttemptResult) {
	switch r := result.(type) {
	case contract.Succeeded:
		j.succeeded = true
		s.recordRunTime(j.kind, ep, runTime)
		s.recordSuccess(now, j.kind, ep)
	case contract.RanAndFailed:
		s.recordFailure(now, j, ep, runTime, r.Reason)
	case contract.Ambiguous:
		s.recordFailure(now, j, ep, runTime, r.Reason)
	case contract.NotStarted:
		s.recordNotStarted(now, ep, r.Cause)
	}
}

func (s *Scheduler) recordSuccess(now clock.Millis, k *kind, ep *endpoint) {
	k.failureRate -= minLearningRate * k.failureRate
	k.lastSuccess, k.failures, k.unrunnable = now, 0, false
	for _, f := range k.failedOn {
		if f != ep && f.health == suspect && f.streakKind == k {
			s.eject(now, f)
		}
	}
	k.failedOn = k.failedOn[:0]
	ep.failureStreak = 0
	switch ep.health {
	case probation:
		ep.successes++
		if ep.successes >= probationSuccesses {
			s.setHealth(ep, healthy)
		}
	case suspect:
		s.setHealth(ep, healthy)
	case healthy, ejected:
	}
}

func (s *Scheduler) recordFailure(now clock.Millis, j *queuedJob, ep *endpoint, runTime clock.Millis, reason string) {
	k := j.kind
	weight := 1
	if k.measured() && slotMillis(runTime) < k.mean/4 {
		weight = 2
	}
	k.failures++
	if len(k.failedOn) < failedOnLimit && !slices.Contains(k.failedOn, ep) {
		k.failedOn = append(k.failedOn, ep)
	}
	s.recordEndpointFailure(now, k, ep, weight)
	k.failureRate += minLearningRate * (1 - k.failureRate)
	if s.failsEverywhere(k) {
		s.clearEndpointFailures(k)
	}
	if k.unrunnable && !j.succeeded && !j.ended && j.waiting() > 0 {
		s.dequeue(j)
		s.dropped = append(s.dropped, Unrunnable{
			Job:    j.ref,
			Reason: "tasks of kind " + string(k.name) + " fail on every endpoint, last: " + reason,
			Tasks:  j.dropWaiting(),
		})
	}
}

// failsEverywhere reports whether a kind has failed on at least half of the endpoints (3
// to 8) since its last success. Up to a quarter of the endpoints may be faulty, so
// failures on fewer endpoints don't show that the kind is at fault.
func (s *Scheduler) failsEverywhere(k *kind) bool {
	serving := 0
	for _, ep := range s.endpointList {
		if ep.capacity() > 0 {
			serving++
		}
	}
	need := min(max((serving+1)/2, 3), failedOnLimit, max(serving, 1))
	k.unrunnable = k.unrunnable || (k.failures >= 3 && len(k.failedOn) >= need)
	return k.unrunnable
}

// clearEndpointFailures restores endpoints that became suspect or were ejected because of
// a kind that fails everywhere.
func (s *Scheduler) clearEndpointFailures(k *kind) {
	for _, ep := range k.failedOn {
		if ep.streakKind != k || ep.health == healthy {
			continue
		}
		ep.failureStreak, ep.ejections = 0, 0
		s.setHealth(ep, healthy)
	}
}

// recordEndpointFailure counts a failure against the endpoint. At the streak threshold the
// endpoint becomes suspect; it is ejected if the same kind has succeeded elsewhere since
// the streak began.
func (s *Scheduler) recordEndpointFailure(now clock.Millis, k *kind, ep *endpoint, weight int) {
	if k.unrunnable {
		return
	}
	if ep.health == probation {
		s.eject(now, ep)
		return
	}
	if ep.failureStreak == 0 || ep.streakKind != k {
		ep.streakStartedAt, ep.streakKind = now, k
	}
	ep.failureStreak += weight
	if ep.failureStreak < streakThreshold(k.failureRate) || ep.health == ejected {
		return
	}
	if ep.health == healthy {
		s.setHealth(ep, suspect)
	}
	s.pause(now, ep)
	if k.lastSuccess > 0 && k.lastSuccess >= ep.streakStartedAt {
		s.eject(now, ep)
	}
}

// streakThreshold returns the streak length that failures of the kind itself reach with a
// probability of falseStreakProbability.
func streakThreshold(failureRate float64) int {
	if failureRate < 0.05 {
		return minStreakThreshold
	}
	return min(max(int(math.Log(falseStreakProbability)/math.Log(failureRate)), minStreakThreshold), maxStreakThreshold)
}

// eject takes an endpoint out of service. If that would put more than a quarter of the
// endpoints out of service, the endpoint becomes suspect instead.
func (s *Scheduler) eject(now clock.Millis, ep *endpoint) {
	outOfService, serving := 0, 0
	for _, o := range s.endpointList {
		if o.capacity() == 0 || o == ep {
			continue
		}
		serving++
		if o.health == ejected || o.health == probation {
			outOfService++
		}
	}
	if (outOfService+1)*maxEjectedDivisor > serving+1 {
		s.setHealth(ep, suspect)
		s.pause(now, ep)
		return
	}
	ep.retryAt = now + min(baseEjectionTime<<min(ep.ejections, 8), maxEjectionTime)
	ep.ejections++
	s.setHealth(ep, ejected)
	s.markBlocked(ep)
}

func (s *Scheduler) setHealth(ep *endpoint, to health) {
	s.placement.beginChange(ep)
	if ep.health != to {
		ep.successes = 0
	}
	if to == healthy {
		ep.failureStreak = 0
	}
	ep.health = to
	s.placement.endChange(ep)
}

func (s *Scheduler) recordNotStarted(now clock.Millis, ep *endpoint, cause contract.NotStartedCause) {
	switch cause {
	case contract.EndpointLeaving:
		s.Drain(now, ep.id)
	case contract.EndpointBusy:
		s.pause(now, ep)
	case contract.EndpointUnreachable:
		s.pause(now, ep)
		ep.failureStreak++
		if ep.failureStreak >= minStreakThreshold && ep.health != ejected {
			s.eject(now, ep)
		}
	}
}

func (s *Scheduler) pause(now clock.Millis, ep *endpoint) {
	s.placement.beginChange(ep)
	ep.pausedUntil = now + pauseDuration
	s.placement.endChange(ep)
	s.markBlocked(ep)
}

// markBlocked adds an endpoint to the list that unblockExpired checks.
func (s *Scheduler) markBlocked(ep *endpoint) {
	if !ep.blocked {
		ep.blocked = true
		s.blocked = append(s.blocked, ep)
	}
}

// unblockExpired ends the pauses and ejections whose time is up.
func (s *Scheduler) unblockExpired(now clock.Millis) {
	kept := s.blocked[:0]
	for _, ep := range s.blocked {
		if ep.pausedUntil > 0 && ep.pausedUntil <= now {
			s.placement.beginChange(ep)
			ep.pausedUntil = 0
			s.placement.endChange(ep)
		}
		if ep.health == ejected && ep.retryAt <= now {
			s.setHealth(ep, probation)
		}
		ep.blocked = ep.pausedUntil > 0 || ep.health == ejected
		if ep.blocked {
			kept = append(kept, ep)
		}
	}
	s.blocked = kept
}

// Ejected returns the endpoints that are ejected and on which this VM has slots.
func (s *Scheduler) Ejected() []datacentre.EndpointID {
	var ids []datacentre.EndpointID
	for _, ep := range s.endpointList {
		if ep.health == ejected && ep.capacity() > 0 {
			ids = append(ids, ep.id)
		}
	}
	return ids
}

// Drain stops new starts on a leaving endpoint.
func (s *Scheduler) Drain(now clock.Millis, e datacentre.EndpointID) {
	ep := s.endpoint(e)
	s.placement.beginChange(ep)
	ep.draining, ep.drainedAt = true, now
	s.placement.endChange(ep)
}

// Readmit ends the drain of an endpoint that was observed to serve at observedAt, if that
// is later than the drain. It reports whether the endpoint accepts new work now.
func (s *Scheduler) Readmit(_ clock.Millis, e datacentre.EndpointID, observedAt clock.Millis) bool {
	ep, ok := s.endpoints[e]
	if !ok || !ep.draining {
		return true
	}
	if observedAt <= ep.drainedAt {
		return false
	}
	s.placement.beginChange(ep)
	ep.draining = false
	s.placement.endChange(ep)
	return true
}
