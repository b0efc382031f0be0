package leader

import (
	"math"

	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// place is an endpoint of the cell with all that its home knows of it.
type place struct {
	endpoint.Endpoint
	free job.Resources
	// tasks are those that occupy room here.
	tasks map[job.TaskName]*task

	// fenced says that the endpoint has answered under the present token, so that no order
	// of an earlier home counts there any more.
	fenced bool
	// claimUntil is when runs of an earlier home here that no job has claimed are stopped.
	claimUntil clock.Millis
	// clockRead is the endpoint's clock at clockReadAt, at the earliest.
	clockRead   endpoint.Clock
	clockReadAt clock.Millis
	// leasedAt is when the latest order that extends leases was sent.
	leasedAt clock.Millis
	acked    endpoint.EndNumber

	watching, renewing bool
	renewedAt          clock.Millis
	// lookAgain says that a look is wanted that is sent later than the one under way.
	lookAgain bool
	// unanswered counts holds without an answer in a row.
	unanswered int
	heardAt    clock.Millis
	// missing says that the platform's list lacks the endpoint.
	missing bool
	// blockedUntil is when the endpoint may be given tasks again after it had no room.
	blockedUntil clock.Millis

	speed  speed
	health health
}

func newPlace(e endpoint.Endpoint, now clock.Millis) *place {
	// An earlier home may have given leases until just now.
	return &place{Endpoint: e, free: e.Capacity, tasks: make(map[job.TaskName]*task), heardAt: now, leasedAt: now}
}

// clockNow is the endpoint's clock now, at the earliest; a lease counted from it is never
// longer than meant.
func (p *place) clockNow(now clock.Millis) endpoint.Clock {
	return p.clockRead + endpoint.Clock(now-p.clockReadAt)
}

// readClock takes over a reading unless the one before, moved on, is ahead of it.
func (p *place) readClock(c endpoint.Clock, now clock.Millis) {
	if c == 0 {
		return
	}
	// A reading is old by its way back. The drift of the endpoint's clock makes older
	// readings unsafe, so each newer one counts.
	p.clockRead, p.clockReadAt = c, now
}

// usable reports whether new tasks may be placed here.
func (p *place) usable(now clock.Millis) bool {
	return p.clockRead != 0 && p.fenced && !p.Draining && !p.missing && p.unanswered < unansweredHolds &&
		now >= p.blockedUntil && p.health.usable(now, len(p.tasks))
}

// speed is how fast an endpoint works, learnt from how long its runs took against what
// was expected of them.
type speed struct {
	// log is the mean of the logarithms of expected over measured time.
	log     float64
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
	speedSlowest = 0.1
	speedFastest = 3
)

func (s *speed) factor() float64 {
	return min(max(math.Exp(s.log), speedSlowest), speedFastest)
}

// takes is how long work takes that takes base at speed 1.
func (s *speed) takes(base clock.Millis) clock.Millis {
	return clock.Millis(float64(base) / s.factor())
}

func (s *speed) learn(expected, measured clock.Millis) {
	if expected <= 0 || measured <= 0 {
		return
	}
	sample := math.Log(float64(expected) / float64(measured))
	sample = min(max(sample, s.log-speedClamp), s.log+speedClamp)
	s.samples = min(s.samples+1, speedWindow)
	s.log += (sample - s.log) / float64(s.samples+1)
}

// health ejects an endpoint that fails what it starts.
type health struct {
	failures     int
	ejectedUntil clock.Millis
	ejections    int
	// onTrial limits a returned endpoint to one task until it has done one.
	onTrial bool
}

const (
	// ejectAfter failures in a row of different jobs: with 0.2 % of tasks failing by their
	// own fault and 5 % of jobs impossible, three in a row at a sound endpoint are rare.
	ejectAfter = 3
	// ejectFirst and ejectLongest bound the time without work; it doubles each time.
	ejectFirst   = clock.Millis(800)
	ejectLongest = clock.Millis(3000)
)

func (h *health) usable(now clock.Millis, running int) bool {
	return now >= h.ejectedUntil && (!h.onTrial || running == 0)
}

func (h *health) succeeded() {
	*h = health{}
}

// failed counts a failure and reports whether it ejects the endpoint.
func (h *health) failed(now clock.Millis) bool {
	h.failures++
	if !h.onTrial && h.failures < ejectAfter {
		return false
	}
	h.eject(now)
	return true
}

func (h *health) eject(now clock.Millis) {
	h.ejectedUntil = now + min(ejectFirst<<min(h.ejections, 4), ejectLongest)
	h.ejections++
	h.onTrial = true
	h.failures = 0
}
