package leader

import (
	"math"

	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// endpointState is an endpoint of the shard and the leader's state for it.
type endpointState struct {
	endpoint.Endpoint
	free job.Resources
	// tasks are those that occupy resources here.
	tasks map[job.TaskName]*task

	// tokenAccepted means that the endpoint has answered under the current token, so that it obeys
	// no earlier leader any more.
	tokenAccepted bool
	// adoptionEnd is when the attempts of an earlier leader that no job has claimed are stopped.
	adoptionEnd clock.Millis
	// clockReading is a lower bound of the endpoint's clock at clockReadAt.
	clockReading endpoint.Clock
	clockReadAt  clock.Millis
	// leaseSentAt is when the latest request that extends leases was sent.
	leaseSentAt clock.Millis
	ackedEnd    endpoint.EndNumber

	watching, renewing bool
	renewalSentAt      clock.Millis
	// reportPending means that a report is needed from a request sent later than the one in flight.
	reportPending bool
	// unansweredHolds counts consecutive holds without an answer.
	unansweredHolds int
	lastReportAt    clock.Millis
	// unlisted means that the endpoint is missing from the platform's list.
	unlisted bool
	// blockedUntil is when the endpoint may get tasks again after it rejected one.
	blockedUntil clock.Millis

	speed  speed
	health health
}

func newEndpointState(e endpoint.Endpoint, now clock.Millis) *endpointState {
	// An earlier leader may have granted leases until just now.
	return &endpointState{Endpoint: e, free: e.Capacity, tasks: make(map[job.TaskName]*task), lastReportAt: now, leaseSentAt: now}
}

// earliestClock is a lower bound of the endpoint's clock now, so that a lease computed from it
// never lasts longer than intended.
func (ep *endpointState) earliestClock(now clock.Millis) endpoint.Clock {
	return ep.clockReading + endpoint.Clock(now-ep.clockReadAt)
}

// setClock records a reading of the endpoint's clock; 0 is no reading.
func (ep *endpointState) setClock(c endpoint.Clock, now clock.Millis) {
	if c == 0 {
		return
	}
	// A reading is stale by the time its answer took. The latest one always replaces the one
	// before, since the drift of the endpoint's clock makes an older reading unsafe.
	ep.clockReading, ep.clockReadAt = c, now
}

// usable reports whether new tasks may be placed here.
func (ep *endpointState) usable(now clock.Millis) bool {
	return ep.clockReading != 0 && ep.tokenAccepted && !ep.Draining && !ep.unlisted && ep.unansweredHolds < suspectAfterHolds &&
		now >= ep.blockedUntil && ep.health.usable(now, len(ep.tasks))
}

// speed is the estimated speed of an endpoint, from the measured and the expected durations of its
// attempts.
type speed struct {
	// logMean is the mean logarithm of expected over measured duration.
	logMean float64
	samples int
}

const (
	// speedWindow is how many samples the mean covers. Expected durations are off by 40 %, so that
	// 12 samples distinguish speeds that differ by a factor of 2 with an error of about 12 %.
	speedWindow = 12
	// speedClamp bounds one sample: a straggler takes 7 times as long as expected, whatever its
	// endpoint.
	speedClamp = 1.2
	// minSpeed and maxSpeed bound the estimate.
	minSpeed = 0.1
	maxSpeed = 3
)

func (s *speed) factor() float64 {
	return min(max(math.Exp(s.logMean), minSpeed), maxSpeed)
}

// duration is the expected duration of work that takes base at speed 1.
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

// health ejects an endpoint whose attempts fail.
type health struct {
	failures     int
	ejectedUntil clock.Millis
	ejections    int
	// onProbation limits a readmitted endpoint to one task at a time until one is done.
	onProbation bool
}

const (
	// ejectAfterFailures is the number of consecutive failures of different jobs that eject an
	// endpoint. With 0.2 % of tasks failing by their own fault and 5 % of jobs impossible, three in
	// a row are rare at a healthy endpoint.
	ejectAfterFailures = 3
	// minEjection and maxEjection bound the time without tasks; it doubles with each ejection.
	minEjection = clock.Millis(800)
	maxEjection = clock.Millis(3000)
)

func (h *health) usable(now clock.Millis, running int) bool {
	return now >= h.ejectedUntil && (!h.onProbation || running == 0)
}

func (h *health) recordSuccess() {
	*h = health{}
}

// recordFailure counts a failure and reports whether it ejects the endpoint.
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
