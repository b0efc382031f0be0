package home

import (
	"slices"
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
	t.stopAcknowledged, t.stopSent, t.doubtedIn = 0, 0, 0
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

// confirm records that the endpoint has the run.
func (h *Home) confirm(t *task) {
	t.state, t.confirmedAt, t.confirmedIn = running, h.now, h.moment
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
		h.confirm(t)
	case endpoint.NoAnswer:
		// A look tells whether the run is there: the answer alone may have been lost or late.
		t.doubtedIn = h.moment
		h.note(StartDoubted, t, p, r.Cause)
		h.look(p)
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
		t.stopAcknowledged, t.stopAcknowledgedIn = h.now, h.moment
		h.look(p)
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
		h.holdFailed(p, e)
		return
	}
	if e.Look.Born < p.Born {
		// An answer of an earlier life, which this VM has read late.
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
	h.lookIfWanted(p)
}

// look asks an endpoint for its runs, with a request that is sent from now on.
func (h *Home) look(p *place) {
	p.lookAgain = p.renewing
	h.hold(p, Renewal)
}

func (h *Home) lookIfWanted(p *place) {
	if p.lookAgain && !p.renewing {
		p.lookAgain = false
		h.hold(p, Renewal)
	}
}

func (h *Home) holdFailed(p *place, e HoldEnded) {
	defer h.lookIfWanted(p)
	switch e.Rejection {
	case HoldFenced:
		h.do(Fenced{})
	case HoldOtherLife:
		h.gone(p)
	case HoldUnanswered:
		p.unanswered++
		if p.unanswered == unansweredHolds {
			h.do(Note{What: EndpointSuspected, Endpoint: p.Endpoint, Detail: "hold without answer"})
		}
		for _, t := range p.sorted() {
			if t.state == starting && t.doubtedIn != 0 && e.Asked >= t.doubtedIn {
				h.stop(t)
			}
		}
	}
}

// restarted deals with an endpoint that has begun another life under its ID. The runs of the
// life before are gone, but a start that was under way then may have been carried out by the
// new one, so that each run has to be missing in a later look, or stopped.
func (h *Home) restarted(p *place, born endpoint.Born) {
	for _, t := range p.sorted() {
		h.note(RunLost, t, p, "endpoint restarted")
		t.avoid = p
		if t.state != stopping {
			h.stop(t)
			continue
		}
		t.stopAcknowledged = 0
		h.sendStop(t)
	}
	for name := range h.found {
		h.found.forget(name, p)
	}
	p.acked, p.Born = 0, born
	p.speed, p.health = speed{}, health{}
}

// gone releases all runs of an instance that another has replaced at its address. Orders name
// the instance, so the new one has carried out none of them.
func (h *Home) gone(p *place) {
	for _, t := range p.sorted() {
		h.note(RunLost, t, p, "instance replaced")
		t.avoid = p
		h.release(t)
	}
	for name := range h.found {
		h.found.forget(name, p)
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
		h.found.forget(e.Task, p)
		if h.now < p.claimUntil {
			h.found.put(e.Task, foundRun{place: p, run: e.Run, ended: true, how: e.How, at: h.now})
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
	if p.health.onTrial {
		h.note(EndpointReturned, t, p, "did its task on trial")
	}
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
			h.confirm(t)
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
		case t.state == starting && t.doubtedIn != 0 && e.Asked >= t.doubtedIn:
			// It may still be carried out later, so a stop has to come first.
			h.stop(t)
		case t.state == running && e.Asked >= t.confirmedIn:
			// It should be there; a stop makes sure before the task starts again.
			h.note(RunLost, t, p, "not listed")
			h.stop(t)
		case t.state == stopping && t.stopAcknowledged != 0 && e.Asked >= t.stopAcknowledgedIn:
			// A stop was answered before this look, so the run can never appear again.
			h.release(t)
		}
	}
}

// foundActive deals with a run that no task of this home has. Within the first moments an
// entry VM may still claim it; later it is stopped.
func (h *Home) foundActive(p *place, a endpoint.ActiveRun) {
	f, known := h.found.at(a.Task, p)
	if !known || f.run != a.Run {
		f = foundRun{place: p, run: a.Run, at: h.now}
	}
	f.percent = a.Percent
	h.found.put(a.Task, f)
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
	h.found.put(name, f)
	h.do(Stop{Endpoint: f.place.Endpoint, Task: name, Run: f.run, Token: h.config.Token})
}

// forgetFound drops what was found at an endpoint and is not listed there any more.
func (h *Home) forgetFound(p *place, listed map[job.TaskName]endpoint.ActiveRun) {
	for name := range h.found {
		f, known := h.found.at(name, p)
		if _, present := listed[name]; known && !f.ended && !present {
			h.found.forget(name, p)
		}
	}
}

// hold sends a hold unless one of its kind is under way.
func (h *Home) hold(p *place, k HoldKind) {
	a := Hold{Endpoint: p.Endpoint, Kind: k, Acked: p.acked, Token: h.config.Token, Asked: h.moment}
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
	if h.now >= t.startedAt+t.expected+lateStart && h.now-p.heardAt >= endUnheardFor && h.now-p.renewedAt >= endUnheardFor {
		// It should have ended, and the answer that tells so may have been lost.
		h.hold(p, Renewal)
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
	for name, runs := range h.found {
		for _, f := range slices.Clone(runs) {
			if h.now < f.place.claimUntil {
				continue
			}
			lapsed := h.now >= max(f.at, f.place.leasedAt)+h.config.Times.leaseLapse()
			switch {
			case f.ended && h.now >= f.at+rememberFor, !f.ended && f.stoppedAt != 0 && lapsed:
				h.found.forget(name, f.place)
			default:
				h.stopUnclaimedRun(name, f)
			}
		}
	}
}

func (h *Home) note(d Decision, t *task, p *place, detail string) {
	h.do(Note{What: d, Job: t.work.Job.ID, Task: t.name, Endpoint: p.Endpoint, Detail: detail})
}
