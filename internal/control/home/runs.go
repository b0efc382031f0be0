package home

import (
	"strconv"

	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// start sends a task to an endpoint.
func (h *Home) start(t *task, p *place, base clock.Millis) {
	t.run = max(t.run, h.runs.of(t.name)) + 1
	h.runs.note(t.name, t.run, h.now)
	t.state, t.place, t.startedAt, t.confirmedAt = starting, p, h.now, 0
	t.base, t.expected = base, p.speed.takes(base)
	t.percent, t.percentAt = 0, h.now
	t.stopAcknowledged, t.stopSent = 0, 0
	t.work.started = true
	h.occupy(t, p)
	p.leasedAt = h.now
	h.do(Start{
		Endpoint: p.Endpoint, Task: t.name, Run: t.run, Payload: t.work.Job.Payload,
		Until: p.clockNow(h.now) + endpoint.Clock(h.config.Times.Lease), Token: h.config.Token,
	})
	if !p.watching {
		h.hold(p, Watch)
	}
}

func (h *Home) occupy(t *task, p *place) {
	p.free = p.free.Minus(t.stepOf().Demand)
	p.tasks[t.name] = t
	h.tasks[t.name] = t
}

// vacate takes a run from its place: it is known to be gone.
func (h *Home) vacate(t *task) {
	if t.place == nil || !t.occupies() {
		return
	}
	t.place.free = t.place.free.Plus(t.stepOf().Demand)
	delete(t.place.tasks, t.name)
	if h.tasks[t.name] == t {
		delete(h.tasks, t.name)
	}
	t.place = nil
}

// release takes a run from its place and lets the task wait for another start, unless
// its job has ended.
func (h *Home) release(t *task) {
	h.vacate(t)
	t.state = waiting
	if t.work.answered {
		t.state = ended
		h.forget(t.work)
		return
	}
	h.enqueue(t.work)
}

// stop makes sure that a run is gone before anything else happens to its task.
func (h *Home) stop(t *task) {
	t.state, t.stopAcknowledged = stopping, 0
	h.sendStop(t)
}

func (h *Home) sendStop(t *task) {
	t.stopSent = h.now
	h.do(Stop{Endpoint: t.place.Endpoint, Task: t.name, Run: t.run, Token: h.config.Token})
}

// current returns the task that has this run at this endpoint.
func (h *Home) current(p *place, name job.TaskName, run job.Run) *task {
	t := p.tasks[name]
	if t == nil || t.run != run {
		return nil
	}
	return t
}

func (h *Home) startEnded(e StartEnded) {
	p := h.places[e.Endpoint]
	if p == nil {
		return
	}
	p.readClock(e.Clock, h.now)
	t := h.current(p, e.Task, e.Run)
	if t == nil || t.state != starting {
		return
	}
	switch r := e.Result.(type) {
	case endpoint.Started:
		t.state, t.confirmedAt = running, h.now
	case endpoint.NoAnswer:
		p.unanswered = max(p.unanswered, unansweredHolds)
		h.note(EndpointSuspected, t, p, r.Cause)
		h.stop(t)
		h.hold(p, Renewal)
	case endpoint.Rejected:
		h.startRejected(t, p, r.Why)
	}
}

func (h *Home) startRejected(t *task, p *place, why endpoint.Rejection) {
	t.avoid = p
	switch why {
	case endpoint.RejectedFenced:
		h.do(Fenced{})
	case endpoint.RejectedOld:
		// An earlier submission of the job got as far as this number.
		t.run += runsSkipped
	case endpoint.RejectedNoRoom:
		p.blockedUntil = h.now + blockedFor
		h.hold(p, Renewal)
	case endpoint.RejectedUnhealthy:
		h.blame(t, p)
		p.blockedUntil = max(p.blockedUntil, h.now+blockedFor)
	case endpoint.RejectedNotSent:
		p.unanswered = max(p.unanswered, unansweredHolds)
		h.hold(p, Renewal)
	case endpoint.RejectedLate, endpoint.RejectedOtherLife:
		h.hold(p, Renewal)
	case endpoint.RejectedInvalid:
		h.release(t)
		h.fail(t)
		return
	}
	h.release(t)
}

const (
	// runsSkipped gets past the runs of an earlier submission of the same job.
	runsSkipped = 16
	// blockedFor is how long an endpoint that had no room gets no tasks; a look at it takes
	// a fraction of that.
	blockedFor = clock.Millis(40)
)

func (h *Home) stopEnded(e StopEnded) {
	p := h.places[e.Endpoint]
	if p == nil || !e.Acknowledged {
		return
	}
	if t := h.current(p, e.Task, e.Run); t != nil && t.state == stopping {
		t.stopAcknowledged = h.now
		if !p.watching {
			h.hold(p, Watch)
		}
	}
}

// holdEnded compares what an endpoint tells with what the home believes.
func (h *Home) holdEnded(e HoldEnded) {
	p := h.places[e.Endpoint]
	if p == nil {
		return
	}
	if e.Kind == Watch {
		p.watching = false
	} else {
		p.renewing = false
	}
	if e.Look == nil {
		h.holdFailed(p, e.Rejection)
		return
	}
	if p.Born != 0 && e.Look.Born != p.Born {
		h.restarted(p, e.Look.Born)
	}
	p.Born = e.Look.Born
	if !p.fenced {
		p.fenced, p.claimUntil = true, h.now+claimWindow
	}
	p.heardAt = h.now
	p.unanswered = 0
	p.readClock(e.Look.Clock, h.now)
	for _, end := range e.Look.Ended {
		h.runEnded(p, end)
	}
	h.compare(p, e)
	h.hold(p, Watch)
}

func (h *Home) holdFailed(p *place, r HoldRejection) {
	switch r {
	case HoldFenced:
		h.do(Fenced{})
	case HoldOtherLife:
		h.restarted(p, 0)
	case HoldUnanswered:
		p.unanswered++
		if p.unanswered == unansweredHolds {
			h.do(Note{What: EndpointSuspected, Endpoint: p.Endpoint, Detail: "hold without answer"})
		}
	}
}

// restarted releases all runs of an endpoint that has begun another life.
func (h *Home) restarted(p *place, born endpoint.Born) {
	for _, t := range p.sorted() {
		if t.confirmedAt == 0 {
			// The start may still be under way, and the new life may carry it out.
			h.stop(t)
			continue
		}
		h.note(RunLost, t, p, "endpoint restarted")
		t.avoid = p
		h.release(t)
	}
	for name, f := range h.found {
		if f.place == p {
			delete(h.found, name)
		}
	}
	p.acked, p.Born = 0, born
	p.speed, p.health = speed{}, health{}
	p.free = p.Capacity
	for _, t := range p.tasks {
		p.free = p.free.Minus(t.stepOf().Demand)
	}
}

// runEnded takes in the end of a run.
func (h *Home) runEnded(p *place, e endpoint.EndedRun) {
	if e.Number <= p.acked {
		return
	}
	p.acked = e.Number
	t := h.current(p, e.Task, e.Run)
	if t == nil {
		f := h.found[e.Task]
		switch {
		case f.place == p && f.stoppedAt != 0:
			delete(h.found, e.Task)
		case h.now < p.claimUntil:
			h.found[e.Task] = foundRun{place: p, run: e.Run, ended: true, how: e.How, at: h.now}
		}
		return
	}
	if t.work.answered {
		if e.How == endpoint.EndDone {
			p.speed.learn(t.base, h.now-t.startedAt)
		}
		h.release(t)
		return
	}
	switch e.How {
	case endpoint.EndDone:
		h.taskDone(t, p)
	case endpoint.EndFailed:
		h.note(RunFailed, t, p, "")
		if t.state != stopping {
			h.blame(t, p)
		}
		t.avoid = p
		h.release(t)
		h.fail(t)
	case endpoint.EndLapsed, endpoint.EndBroken, endpoint.EndAlone, endpoint.EndUnknown:
		h.note(RunLost, t, p, "ended "+strconv.Itoa(int(e.How)))
		h.release(t)
	case endpoint.EndStopped:
		h.release(t)
	}
}

func (h *Home) taskDone(t *task, p *place) {
	took := h.now - t.startedAt
	if t.state != stopping {
		p.speed.learn(t.base, took)
	}
	h.learnKind(t, p, took)
	p.health.succeeded()
	h.vacate(t)
	h.markDone(t)
}

func (h *Home) markDone(t *task) {
	t.state = done
	w := t.work
	w.open--
	w.stepsOpen[t.step]--
	if w.open == 0 {
		h.answer(w, job.Completed{})
	}
}

// fail counts a failed run of a task.
func (h *Home) fail(t *task) {
	t.failures++
	limit := 1
	if q := h.state.Queue(t.work.queue); q != nil {
		limit = max(q.MaxAttempts, 1)
	}
	if t.failures < limit || t.work.answered {
		return
	}
	h.endTasks(t.work)
	h.answer(t.work, job.Failed{Task: t.name})
}

// blame counts a failure against an endpoint, once for each job: tasks of a job that can
// never be done fail everywhere.
func (h *Home) blame(t *task, p *place) {
	if t.work.blamed[p] || len(t.work.blamed) >= ejectBlames {
		return
	}
	if t.work.blamed == nil {
		t.work.blamed = make(map[*place]bool)
	}
	t.work.blamed[p] = true
	if p.health.failed(h.now) {
		h.do(Note{What: EndpointEjected, Endpoint: p.Endpoint, Detail: "failed what it started"})
	}
}

// ejectBlames bounds the endpoints that one job can speak against.
const ejectBlames = 4

// compare brings the tasks at a place in line with what the endpoint lists.
func (h *Home) compare(p *place, e HoldEnded) {
	listed := make(map[job.TaskName]endpoint.ActiveRun, len(e.Look.Active))
	for _, a := range e.Look.Active {
		listed[a.Task] = a
		t := h.current(p, a.Task, a.Run)
		if t == nil {
			h.foundActive(p, a)
			continue
		}
		if t.state == starting {
			t.state, t.confirmedAt = running, h.now
		}
		if a.Percent != t.percent {
			t.percent, t.percentAt = a.Percent, h.now
		}
	}
	h.forgetFound(p, listed)
	for _, t := range p.sorted() {
		_, present := listed[t.name]
		switch {
		case present:
		case t.state == running && t.confirmedAt+lookMargin < e.Sent:
			// The look may still have been taken before the start was carried out, so the
			// run is stopped before the task starts again.
			h.note(RunLost, t, p, "not listed")
			h.stop(t)
		case t.state == stopping && t.stopAcknowledged != 0 && t.stopAcknowledged+lookMargin < e.Sent:
			// A stop was answered before this look, so the run can never appear again.
			h.release(t)
		}
	}
}

// lookMargin is how much later than an answer a look must have been sent to count as taken
// after it: both times are read on different goroutines, in whole milliseconds.
const lookMargin = clock.Millis(5)

// foundActive deals with a run that no task of this home has. Within the first moments an
// entry VM may still claim it; later it is stopped.
func (h *Home) foundActive(p *place, a endpoint.ActiveRun) {
	f, known := h.found[a.Task]
	if known && f.place != p && f.run > a.Run {
		h.stopFound(p, a.Task, a.Run)
		return
	}
	if !known || f.place != p || f.run != a.Run {
		f = foundRun{place: p, run: a.Run, at: h.now}
	}
	f.percent = a.Percent
	h.found[a.Task] = f
	if h.now >= p.claimUntil {
		h.stopUnclaimedRun(a.Task, f)
	}
}

// stopUnclaimedRun stops a run of an earlier home, again while there is no sign of it.
func (h *Home) stopUnclaimedRun(name job.TaskName, f foundRun) {
	if f.ended || f.stoppedAt != 0 && h.now < f.stoppedAt+stopAgainAfter {
		return
	}
	if f.stoppedAt == 0 {
		h.do(Note{What: RunUnclaimed, Task: name, Endpoint: f.place.Endpoint, Detail: "run " + strconv.FormatInt(int64(f.run), 10)})
	}
	f.stoppedAt = h.now
	h.found[name] = f
	h.stopFound(f.place, name, f.run)
}

func (h *Home) stopFound(p *place, name job.TaskName, run job.Run) {
	h.do(Stop{Endpoint: p.Endpoint, Task: name, Run: run, Token: h.config.Token})
}

// forgetFound drops what was found at an endpoint and is not listed there any more.
func (h *Home) forgetFound(p *place, listed map[job.TaskName]endpoint.ActiveRun) {
	for name, f := range h.found {
		if _, present := listed[name]; f.place == p && !f.ended && !present {
			delete(h.found, name)
		}
	}
}

// hold sends a hold unless one of its kind is under way.
func (h *Home) hold(p *place, k HoldKind) {
	a := Hold{Endpoint: p.Endpoint, Kind: k, Acked: p.acked, Token: h.config.Token}
	busy := len(p.tasks) > 0
	// Leases at an endpoint that does not answer are left to lapse, so that its tasks can
	// run elsewhere.
	if (busy || h.now < p.claimUntil) && p.clockRead != 0 && p.unanswered == 0 {
		a.Until = p.clockNow(h.now) + endpoint.Clock(h.config.Times.Lease)
		p.leasedAt = h.now
	}
	switch k {
	case Watch:
		if p.watching {
			return
		}
		p.watching = true
		a.Wait = watchIdle
		if busy {
			a.Wait = h.config.Times.Lease / renewEvery
		}
		if p.unanswered > 0 || !p.fenced {
			a.Wait = 0
		}
	case Renewal:
		if p.renewing {
			return
		}
		p.renewing, p.renewedAt = true, h.now
	}
	h.do(a)
}

// tend does what is due at a place.
func (h *Home) tend(p *place) {
	for _, t := range p.sorted() {
		h.tendTask(t, p)
	}
	if !p.watching {
		h.hold(p, Watch)
	}
	if len(p.tasks) > 0 && h.now-p.leasedAt >= h.config.Times.Lease/renewEvery && h.now-p.renewedAt >= h.config.Times.Lease/renewEvery {
		h.hold(p, Renewal)
	}
}

func (h *Home) tendTask(t *task, p *place) {
	switch t.state {
	case stopping:
		gone := t.stopAcknowledged != 0 && h.now >= t.stopAcknowledged+h.config.Times.StopTakes+leaseMargin
		if gone || h.now >= p.leasedAt+h.config.Times.leaseLapse() {
			h.release(t)
			return
		}
		if t.stopAcknowledged == 0 && h.now >= t.stopSent+stopAgainAfter {
			h.sendStop(t)
		}
	case running:
		h.tendRunning(t, p)
	case starting:
		if h.now >= p.leasedAt+h.config.Times.leaseLapse() {
			h.note(RunLost, t, p, "lease lapsed")
			h.release(t)
		}
	case waiting, done, ended:
	}
}

// stopAgainAfter is how long a stop may go unanswered; the answer takes a round trip.
const stopAgainAfter = clock.Millis(120)

// tendRunning looks after a run that takes longer than expected or whose endpoint is silent.
func (h *Home) tendRunning(t *task, p *place) {
	if h.now >= p.leasedAt+h.config.Times.leaseLapse() {
		h.note(RunLost, t, p, "lease lapsed")
		t.avoid = p
		h.release(t)
		return
	}
	if float64(h.now-t.startedAt) < overdue*float64(t.expected)+float64(lookEvery) {
		return
	}
	if h.now-t.percentAt >= stallAfter && p.heardAt >= t.percentAt+stallAfter {
		h.note(RunStalled, t, p, strconv.Itoa(t.percent)+" % since "+strconv.FormatInt(int64(h.now-t.percentAt), 10)+" ms")
		h.blame(t, p)
		t.avoid = p
		h.stop(t)
		return
	}
	if h.now-p.renewedAt >= lookEvery {
		h.hold(p, Renewal)
	}
}

// stopUnclaimed ends the time in which runs of an earlier home may be claimed.
func (h *Home) stopUnclaimed() {
	for name, f := range h.found {
		if h.now < f.place.claimUntil {
			continue
		}
		lapsed := h.now >= max(f.at, f.place.leasedAt)+h.config.Times.leaseLapse()
		switch {
		case f.ended && h.now >= f.at+rememberFor, !f.ended && f.stoppedAt != 0 && lapsed:
			delete(h.found, name)
		default:
			h.stopUnclaimedRun(name, f)
		}
	}
}

func (h *Home) note(d Decision, t *task, p *place, detail string) {
	h.do(Note{What: d, Job: t.work.Job.ID, Task: t.name, Endpoint: p.Endpoint, Detail: detail})
}
