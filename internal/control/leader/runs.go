package leader

import (
	"strconv"

	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// start sends a task to an endpoint.
func (l *Leader) start(t *task, p *place, base clock.Millis) {
	t.run = max(t.run, l.runs.of(t.name)) + 1
	l.runs.note(t.name, t.run, l.now)
	t.state, t.place, t.startedAt, t.confirmedAt = starting, p, l.now, 0
	t.base, t.expected = base, p.speed.takes(base)
	t.percent, t.percentAt = 0, l.now
	t.stopAcknowledged, t.stopSent, t.doubtedIn = 0, 0, 0
	t.work.started = true
	l.occupy(t, p)
	p.leasedAt = l.now
	l.do(Start{
		Endpoint: p.Endpoint, Task: t.name, Attempt: t.run, Payload: t.work.Job.Payload,
		LeaseUntil: p.clockNow(l.now) + endpoint.Clock(l.config.Timeouts.AttemptLease), Token: l.config.Token,
		Trace: t.work.Job.Trace,
	})
	if !p.watching {
		l.hold(p, Watch)
	}
}

// confirm records that the endpoint has the run.
func (l *Leader) confirm(t *task) {
	t.state, t.confirmedAt, t.confirmedIn = running, l.now, l.moment
}

func (l *Leader) occupy(t *task, p *place) {
	p.free = p.free.Minus(t.stepOf().Demand)
	p.tasks[t.name] = t
	l.tasks[t.name] = t
}

// vacate takes a run from its place: it is known to be gone.
func (l *Leader) vacate(t *task) {
	if t.place == nil || !t.occupies() {
		return
	}
	t.place.free = t.place.free.Plus(t.stepOf().Demand)
	delete(t.place.tasks, t.name)
	if l.tasks[t.name] == t {
		delete(l.tasks, t.name)
	}
	t.place = nil
}

// release takes a run from its place and lets the task wait for another start, unless
// its job has ended.
func (l *Leader) release(t *task) {
	l.vacate(t)
	t.state = waiting
	if t.work.answered {
		t.state = ended
		l.forget(t.work)
		return
	}
	l.enqueue(t.work)
}

// stop makes sure that a run is gone before anything else happens to its task.
func (l *Leader) stop(t *task) {
	t.state, t.stopAcknowledged = stopping, 0
	l.sendStop(t)
}

func (l *Leader) sendStop(t *task) {
	t.stopSent = l.now
	l.do(Stop{Endpoint: t.place.Endpoint, Task: t.name, Attempt: t.run, Token: l.config.Token})
}

// current returns the task that has this run at this endpoint.
func (l *Leader) current(p *place, name job.TaskName, run job.Attempt) *task {
	t := p.tasks[name]
	if t == nil || t.run != run {
		return nil
	}
	return t
}

func (l *Leader) startEnded(e StartEnded) {
	p := l.places[e.Endpoint]
	if p == nil {
		return
	}
	p.readClock(e.Clock, l.now)
	t := l.current(p, e.Task, e.Attempt)
	if t == nil || t.state != starting {
		return
	}
	switch r := e.Result.(type) {
	case endpoint.Started:
		l.confirm(t)
	case endpoint.NoAnswer:
		l.doubt(t, p, r.Cause)
	case endpoint.Rejected:
		l.startRejected(t, p, r.Reason)
	}
}

// doubt has an endpoint looked at for a run whose start has not been answered: the answer alone
// may be lost or late.
func (l *Leader) doubt(t *task, p *place, cause string) {
	if t.state != starting || t.doubtedIn != 0 {
		return
	}
	t.doubtedIn = l.moment
	l.note(StartUncertain, t, p, cause)
	l.look(p)
}

func (l *Leader) startRejected(t *task, p *place, why endpoint.Rejection) {
	t.avoid = p
	switch why {
	case endpoint.RejectedFenced:
		l.do(Fenced{})
	case endpoint.RejectedStale:
		// An earlier submission of the job got as far as this number.
		t.run += runsSkipped
	case endpoint.RejectedNoCapacity:
		p.blockedUntil = l.now + blockedFor
		l.hold(p, Renewal)
	case endpoint.RejectedUnhealthy:
		l.blame(t, p)
		p.blockedUntil = max(p.blockedUntil, l.now+blockedFor)
	case endpoint.RejectedNotSent:
		p.unanswered = max(p.unanswered, unansweredHolds)
		l.hold(p, Renewal)
	case endpoint.RejectedExpired, endpoint.RejectedOtherIncarnation:
		l.hold(p, Renewal)
	case endpoint.RejectedInvalid:
		l.release(t)
		l.fail(t)
		return
	}
	l.release(t)
}

const (
	// runsSkipped gets past the runs of an earlier submission of the same job.
	runsSkipped = 16
	// blockedFor is how long an endpoint that had no room gets no tasks; a look at it takes
	// a fraction of that.
	blockedFor = clock.Millis(40)
)

func (l *Leader) stopEnded(e StopEnded) {
	p := l.places[e.Endpoint]
	if p == nil || !e.Acknowledged {
		return
	}
	if t := l.current(p, e.Task, e.Attempt); t != nil && t.state == stopping {
		t.stopAcknowledged, t.stopAcknowledgedIn = l.now, l.moment
		l.look(p)
	}
}

// restarted deals with an endpoint that has begun another life under its ID. The runs of the
// life before are gone, but a start that was under way then may have been carried out by the
// new one, so that each run has to be missing in a later look, or stopped.
func (l *Leader) restarted(p *place, born endpoint.Incarnation) {
	for _, t := range p.sorted() {
		l.note(AttemptLost, t, p, "endpoint restarted")
		t.avoid = p
		if t.state != stopping {
			l.stop(t)
			continue
		}
		t.stopAcknowledged = 0
		l.sendStop(t)
	}
	for name := range l.found {
		l.found.forget(name, p)
	}
	p.acked, p.Born = 0, born
	p.speed, p.health = speed{}, health{}
}

// gone releases all runs of an instance that another has replaced at its address. Orders name
// the instance, so the new one has carried out none of them.
func (l *Leader) gone(p *place) {
	for _, t := range p.sorted() {
		l.note(AttemptLost, t, p, "instance replaced")
		t.avoid = p
		l.release(t)
	}
	for name := range l.found {
		l.found.forget(name, p)
	}
}

// runEnded takes in the end of a run.
func (l *Leader) runEnded(p *place, e endpoint.EndedAttempt) {
	if e.Number <= p.acked {
		return
	}
	p.acked = e.Number
	t := l.current(p, e.Task, e.Attempt)
	if t == nil {
		l.found.forget(e.Task, p)
		if l.now < p.claimUntil {
			l.found.put(e.Task, foundRun{place: p, run: e.Attempt, ended: true, how: e.End, at: l.now})
		}
		return
	}
	if t.work.answered {
		if e.End == endpoint.EndDone {
			p.speed.learn(t.base, l.now-t.startedAt)
		}
		l.release(t)
		return
	}
	switch e.End {
	case endpoint.EndDone:
		l.taskDone(t, p)
	case endpoint.EndFailed:
		l.note(AttemptFailed, t, p, "")
		if t.state != stopping {
			l.blame(t, p)
		}
		t.avoid = p
		l.release(t)
		l.fail(t)
	case endpoint.EndExpired, endpoint.EndBroken, endpoint.EndAlone, endpoint.EndUnknown:
		l.note(AttemptLost, t, p, "ended "+strconv.Itoa(int(e.End)))
		l.release(t)
	case endpoint.EndStopped:
		l.release(t)
	}
}

func (l *Leader) taskDone(t *task, p *place) {
	took := l.now - t.startedAt
	if t.state != stopping {
		p.speed.learn(t.base, took)
	}
	l.learnKind(t, p, took)
	if p.health.onTrial {
		l.note(EndpointReturned, t, p, "did its task on trial")
	}
	p.health.succeeded()
	l.vacate(t)
	l.markDone(t)
}

func (l *Leader) markDone(t *task) {
	t.state = done
	w := t.work
	w.open--
	w.stepsOpen[t.step]--
	if w.open == 0 {
		l.answer(w, job.Completed{})
	}
}

// fail counts a failed run of a task.
func (l *Leader) fail(t *task) {
	t.failures++
	limit := 1
	if q := l.state.Queue(t.work.queue); q != nil {
		limit = max(q.MaxAttempts, 1)
	}
	if t.failures < limit || t.work.answered {
		return
	}
	l.endTasks(t.work)
	l.answer(t.work, job.Failed{Task: t.name})
}

// blame counts a failure against an endpoint, once for each job: tasks of a job that can
// never be done fail everywhere.
func (l *Leader) blame(t *task, p *place) {
	if t.work.blamed[p] || len(t.work.blamed) >= ejectBlames {
		return
	}
	if t.work.blamed == nil {
		t.work.blamed = make(map[*place]bool)
	}
	t.work.blamed[p] = true
	if p.health.failed(l.now) {
		l.do(LogDecision{Decision: EndpointEjected, Endpoint: p.Endpoint, Detail: "failed what it started"})
	}
}

// ejectBlames bounds the endpoints that one job can speak against.
const ejectBlames = 4

func (l *Leader) note(d Decision, t *task, p *place, detail string) {
	l.do(LogDecision{Decision: d, Job: t.work.Job.ID, Task: t.name, Endpoint: p.Endpoint, Detail: detail})
}
