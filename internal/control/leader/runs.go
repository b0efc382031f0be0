package leader

import (
	"strconv"

	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// start sends a task to an endpoint.
func (h *Leader) start(t *task, p *place, base clock.Millis) {
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
		Trace: t.work.Job.Trace,
	})
	if !p.watching {
		h.hold(p, Watch)
	}
}

// confirm records that the endpoint has the run.
func (h *Leader) confirm(t *task) {
	t.state, t.confirmedAt, t.confirmedIn = running, h.now, h.moment
}

func (h *Leader) occupy(t *task, p *place) {
	p.free = p.free.Minus(t.stepOf().Demand)
	p.tasks[t.name] = t
	h.tasks[t.name] = t
}

// vacate takes a run from its place: it is known to be gone.
func (h *Leader) vacate(t *task) {
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
func (h *Leader) release(t *task) {
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
func (h *Leader) stop(t *task) {
	t.state, t.stopAcknowledged = stopping, 0
	h.sendStop(t)
}

func (h *Leader) sendStop(t *task) {
	t.stopSent = h.now
	h.do(Stop{Endpoint: t.place.Endpoint, Task: t.name, Run: t.run, Token: h.config.Token})
}

// current returns the task that has this run at this endpoint.
func (h *Leader) current(p *place, name job.TaskName, run job.Attempt) *task {
	t := p.tasks[name]
	if t == nil || t.run != run {
		return nil
	}
	return t
}

func (h *Leader) startEnded(e StartEnded) {
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
		h.doubt(t, p, r.Cause)
	case endpoint.Rejected:
		h.startRejected(t, p, r.Reason)
	}
}

// doubt has an endpoint looked at for a run whose start has not been answered: the answer alone
// may be lost or late.
func (h *Leader) doubt(t *task, p *place, cause string) {
	if t.state != starting || t.doubtedIn != 0 {
		return
	}
	t.doubtedIn = h.moment
	h.note(StartDoubted, t, p, cause)
	h.look(p)
}

func (h *Leader) startRejected(t *task, p *place, why endpoint.Rejection) {
	t.avoid = p
	switch why {
	case endpoint.RejectedFenced:
		h.do(Fenced{})
	case endpoint.RejectedStale:
		// An earlier submission of the job got as far as this number.
		t.run += runsSkipped
	case endpoint.RejectedNoCapacity:
		p.blockedUntil = h.now + blockedFor
		h.hold(p, Renewal)
	case endpoint.RejectedUnhealthy:
		h.blame(t, p)
		p.blockedUntil = max(p.blockedUntil, h.now+blockedFor)
	case endpoint.RejectedNotSent:
		p.unanswered = max(p.unanswered, unansweredHolds)
		h.hold(p, Renewal)
	case endpoint.RejectedExpired, endpoint.RejectedOtherIncarnation:
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

func (h *Leader) stopEnded(e StopEnded) {
	p := h.places[e.Endpoint]
	if p == nil || !e.Acknowledged {
		return
	}
	if t := h.current(p, e.Task, e.Run); t != nil && t.state == stopping {
		t.stopAcknowledged, t.stopAcknowledgedIn = h.now, h.moment
		h.look(p)
	}
}

// restarted deals with an endpoint that has begun another life under its ID. The runs of the
// life before are gone, but a start that was under way then may have been carried out by the
// new one, so that each run has to be missing in a later look, or stopped.
func (h *Leader) restarted(p *place, born endpoint.Incarnation) {
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
func (h *Leader) gone(p *place) {
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
func (h *Leader) runEnded(p *place, e endpoint.EndedAttempt) {
	if e.Number <= p.acked {
		return
	}
	p.acked = e.Number
	t := h.current(p, e.Task, e.Attempt)
	if t == nil {
		h.found.forget(e.Task, p)
		if h.now < p.claimUntil {
			h.found.put(e.Task, foundRun{place: p, run: e.Attempt, ended: true, how: e.End, at: h.now})
		}
		return
	}
	if t.work.answered {
		if e.End == endpoint.EndDone {
			p.speed.learn(t.base, h.now-t.startedAt)
		}
		h.release(t)
		return
	}
	switch e.End {
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
	case endpoint.EndExpired, endpoint.EndBroken, endpoint.EndAlone, endpoint.EndUnknown:
		h.note(RunLost, t, p, "ended "+strconv.Itoa(int(e.End)))
		h.release(t)
	case endpoint.EndStopped:
		h.release(t)
	}
}

func (h *Leader) taskDone(t *task, p *place) {
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

func (h *Leader) markDone(t *task) {
	t.state = done
	w := t.work
	w.open--
	w.stepsOpen[t.step]--
	if w.open == 0 {
		h.answer(w, job.Completed{})
	}
}

// fail counts a failed run of a task.
func (h *Leader) fail(t *task) {
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
func (h *Leader) blame(t *task, p *place) {
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

func (h *Leader) note(d Decision, t *task, p *place, detail string) {
	h.do(Note{What: d, Job: t.work.Job.ID, Task: t.name, Endpoint: p.Endpoint, Detail: detail})
}
