package leader

import (
	"math"

	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// place is an endpoint of the cell with all that its home knows of it.
type endpointState struct {
	endpoint.Endpoint
	free job.Resources
	// tasks are those that occupy room here.
	tasks map[job.TaskName]*task

	// fenced says that the endpoint has answered under the present token, so that no order
	// of an earlier home counts there any more.
	tokenAccepted bool
	// claimUntil is when runs of an earlier home here that no job has claimed are stopped.
	adoptionEnd clock.Millis
	// clockRead is the endpoint's clock at clockReadAt, at the earliest.
	clockReading endpoint.Clock
	clockReadAt  clock.Millis
	// leasedAt is when the latest order that extends leases was sent.
	leaseSentAt clock.Millis
	ackedEnd    endpoint.EndNumber

	watching, renewing bool
	renewalSentAt      clock.Millis
	// lookAgain says that a look is wanted that is sent later than the one under way.
	reportPending bool
	// unanswered counts holds without an answer in a row.
	unansweredHolds int
	lastReportAt    clock.Millis
	// missing says that the platform's list lacks the endpoint.
	unlisted bool
	// blockedUntil is when the endpoint may be given tasks again after it had no room.
	blockedUntil clock.Millis

	speed  speed
	health health
}

func newEndpointState(e endpoint.Endpoint, now clock.Millis) *endpointState {
	// An earlier home may have given leases until just now.
	return &endpointState{Endpoint: e, free: e.Capacity, tasks: make(map[job.TaskName]*task), lastReportAt: now, leaseSentAt: now}
}

// clockNow is the endpoint's clock now, at the earliest; a lease counted from it is never
// longer than meant.
func (ep *endpointState) earliestClock(now clock.Millis) endpoint.Clock {
	return ep.clockReading + endpoint.Clock(now-ep.clockReadAt)
}

// readClock takes over a reading unless the one before, moved on, is ahead of it.
func (ep *endpointState) setClock(c endpoint.Clock, now clock.Millis) {
	if c == 0 {
		return
	}
	// A reading is old by its way back. The drift of the endpoint's clock makes older
	// readings unsafe, so each newer one counts.
	ep.clockReading, ep.clockReadAt = c, now
}

// usable reports whether new tasks may be placed here.
func (ep *endpointState) usable(now clock.Millis) bool {
	return ep.clockReading != 0 && ep.tokenAccepted && !ep.Draining && !ep.unlisted && ep.unansweredHolds < suspectAfterHolds &&
		now >= ep.blockedUntil && ep.health.usable(now, len(ep.tasks))
}

// speed is how fast an endpoint works, learnt from how long its runs took against what
// was expected of them.
type speed struct {
	// log is the mean of the logarithms of expected over measured time.
	logMean float64
	samples int
}

const (
	// speedWindow is how many runs the estimate remembers. Expected times are off by 40 %,
	// so that 12 runs tell speeds 2 times apart with an error of about 12 %.
	speedWindow = 12
	// speedClamp bounds one sample: a straggler takes 7 times as long as expected and says
	// nothing of its endpoint.
	speedClamp = 1.2
	// speedSlowest and speedFastest bound the estimate.
	minSpeed = 0.1
	maxSpeed = 3
)

func (s *speed) factor() float64 {
	return min(max(math.Exp(s.logMean), minSpeed), maxSpeed)
}

// takes is how long work takes that takes base at speed 1.
func (s *speed) duration(base clock.Millis) clock.Millis {
	return clock.Millis(float64(base) / s.factor())
}

func (s *speed) record(expected, measured clock.Millis) {
	if expected <= 0 || measured <= 0 {
		return
	}
	sample := math.Log(float64(expected) / float64(measured))
	sample = min(max(sample, s.logMean-speedClamp), s.logMean+speedClamp)
	s.samples = min(s.samples+1, speedWindow)
	s.logMean += (sample - s.logMean) / float64(s.samples+1)
}

// health ejects an endpoint that fails what it starts.
type health struct {
	failures     int
	ejectedUntil clock.Millis
	ejections    int
	// onTrial limits a returned endpoint to one task until it has done one.
	onProbation bool
}

const (
	// ejectAfter failures in a row of different jobs: with 0.2 % of tasks failing by their
	// own fault and 5 % of jobs impossible, three in a row at a sound endpoint are rare.
	ejectAfterFailures = 3
	// ejectFirst and ejectLongest bound the time without work; it doubles each time.
	minEjection = clock.Millis(800)
	maxEjection = clock.Millis(3000)
)

func (h *health) usable(now clock.Millis, running int) bool {
	return now >= h.ejectedUntil && (!h.onProbation || running == 0)
}

func (h *health) recordSuccess() {
	*h = health{}
}

// failed counts a failure and reports whether it ejects the endpoint.
func (h *health) recordFailure(now clock.Millis) bool {
	h.failures++
	if !h.onProbation && h.failures < ejectAfterFailures {
		return false
	}
	h.eject(now)
	return true
}

func (h *health) eject(now clock.Millis) {
	h.ejectedUntil = now + min(minEjection<<min(h.ejections, 4), maxEjection)
	h.ejections++
	h.onProbation = true
	h.failures = 0
}
