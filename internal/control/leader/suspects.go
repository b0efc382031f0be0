package leader

import (
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/world/crash"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
)

// maxSuspectShare is the part of the endpoints that may be held for tasks that may have crashed
// another one, at least one. Each has its endpoint to itself, and may crash it.
const maxSuspectShare = 0.125

// crashRecord describes the crash of the present incarnation of an endpoint, with the tasks there.
func (l *Leader) crashRecord(ep *endpointState, c *EndpointCrash) crash.Record {
	// Refused connections alone do not say when the process ended: a cut endpoint may crash after its
	// attempts have expired.
	_, ended := c.Evidence.(ProcessEnded)
	r := crash.Record{ID: ep.crashID(), Shard: l.config.Shard, Abrupt: ended && c.Abrupt}
	for _, a := range c.Attempts {
		r.Tasks = append(r.Tasks, a.Task)
		if !a.Confirmed {
			r.Unconfirmed = append(r.Unconfirmed, a.Task)
		}
	}
	return r
}

// proveCrash records that an incarnation of an endpoint has ended. One that drained ended by plan,
// whatever ran there.
func (l *Leader) proveCrash(ep *endpointState, c *EndpointCrash) {
	if !c.Draining && c.Incarnation != 0 {
		l.crashes.Prove(l.crashRecord(ep, c), l.now)
	}
}

// crashID identifies a crash of the present incarnation of the endpoint.
func (ep *endpointState) crashID() crash.ID {
	return crash.ID{Endpoint: ep.ID, Incarnation: ep.Born}
}

// isolated reports whether the endpoint is held for one task that may crash it.
func (ep *endpointState) isolated() bool { return ep.suspect != nil }

// placeSuspect starts a task that may crash its endpoint at one without other tasks. While there is
// none, the endpoint that is expected to be free first is held for it.
func (l *Leader) placeSuspect(t *task) bool {
	l.releaseEndpoints()
	held := l.endpointHeldFor(t)
	if held == nil && len(l.isolatedEndpoints) >= l.maxSuspects() {
		return false
	}
	if held == nil || held.empty() {
		if ep := l.emptyEndpoint(t, held); ep != nil {
			l.release(held)
			l.isolate(ep, t)
			l.startAttempt(t, ep, l.baseDuration(t, ep))
			return true
		}
	}
	if held == nil {
		l.isolate(l.nextFreeEndpoint(t), t)
	}
	return false
}

// suits reports whether a task may run at an endpoint once nothing else does.
func (l *Leader) suits(t *task, ep *endpointState) bool {
	step, q := t.stepSpec(), l.queueOf(t.job)
	return ep.Service == q.Service && ep.HasLabel(step.Requires) && ep.Capacity.Fits(step.Demand) && ep.accepts(l.now) && !l.avoids(t, ep)
}

// emptyEndpoint returns the most suitable endpoint without tasks for a suspect: the one that is held
// for it, or one that is held for none.
func (l *Leader) emptyEndpoint(t *task, held *endpointState) *endpointState {
	var best *endpointState
	for _, ep := range l.sortedEndpoints {
		if !ep.empty() || ep.isolated() && ep != held || !l.suits(t, ep) || !ep.free.Fits(t.stepSpec().Demand) {
			continue
		}
		if best == nil || l.candidate(t, ep).Compare(l.candidate(t, best), false) < 0 {
			best = ep
		}
	}
	return best
}

// nextFreeEndpoint returns the endpoint whose tasks are expected to end first, or nil.
func (l *Leader) nextFreeEndpoint(t *task) *endpointState {
	var best *endpointState
	for _, ep := range l.sortedEndpoints {
		if !ep.isolated() && l.suits(t, ep) && (best == nil || ep.expectedFree() < best.expectedFree()) {
			best = ep
		}
	}
	return best
}

// endpointHeldFor returns the endpoint that is held for a task, or nil.
func (l *Leader) endpointHeldFor(t *task) *endpointState {
	if i := slices.IndexFunc(l.isolatedEndpoints, func(ep *endpointState) bool { return ep.suspect == t }); i >= 0 {
		return l.isolatedEndpoints[i]
	}
	return nil
}

// maxSuspects is how many endpoints may be held for suspects.
func (l *Leader) maxSuspects() int {
	return max(1, int(maxSuspectShare*float64(len(l.sortedEndpoints))))
}

// isolate holds an endpoint for a task; nothing else is placed there.
func (l *Leader) isolate(ep *endpointState, t *task) {
	if ep != nil {
		ep.suspect = t
		l.isolatedEndpoints = append(l.isolatedEndpoints, ep)
	}
}

func (l *Leader) release(ep *endpointState) {
	if ep != nil {
		ep.suspect = nil
		l.isolatedEndpoints = slices.DeleteFunc(l.isolatedEndpoints, func(o *endpointState) bool { return o == ep })
	}
}

// releaseEndpoints releases the endpoints that no suspect needs any more.
func (l *Leader) releaseEndpoints() {
	for _, ep := range slices.Clone(l.isolatedEndpoints) {
		t := ep.suspect
		running := t.endpoint == ep && t.holdsResources() && ep.responsive()
		held := t.phase == waiting && !t.job.answered && l.verdict(t) != crash.Unsuspected && l.suits(t, ep)
		if !running && !held {
			l.release(ep)
		}
	}
}

// verdict says whether a task may crash its endpoint.
func (l *Leader) verdict(t *task) crash.Verdict {
	if !t.suspected && t.verdictAt == l.crashes.Revision() {
		return crash.Unsuspected
	}
	v := l.crashes.Verdict(t.name, l.now)
	t.suspected, t.verdictAt = v != crash.Unsuspected, l.crashes.Revision()
	return v
}

// deadlyTask returns a task of a job that is proved to crash its endpoints, or nil.
func (l *Leader) deadlyTask(j *jobState) *task {
	for _, t := range j.tasks {
		if t.phase != done && l.verdict(t) == crash.Deadly {
			return t
		}
	}
	return nil
}

// giveUp fails the job of a task that is proved to crash its endpoints.
func (l *Leader) giveUp(t *task) {
	l.emit(LogDecision{Decision: TaskGivenUp, Job: t.job.Job.ID, Task: t.name, Details: &CrashesUnderTask{Crashes: l.crashes.Crashes(t.name, l.now)}})
	l.emit(DeadlyTaskFound{})
	l.endTasks(t.job)
	l.answer(t.job, job.Failed{Task: t.name})
}

// checkSuspect gives up a task that runs although it is proved to be deadly, because the crashes
// became known after its start, and keeps others from the endpoint of a suspect. It reports whether
// the task was given up.
func (l *Leader) checkSuspect(t *task, ep *endpointState) bool {
	if t.job.answered || !t.holdsResources() {
		return false
	}
	switch l.verdict(t) {
	case crash.Deadly:
		l.giveUp(t)
		return true
	case crash.Suspected, crash.Pending:
		if !ep.isolated() && ep.responsive() {
			l.isolate(ep, t)
		}
	case crash.Unsuspected:
	}
	return false
}

// CrashesUnderTask are the crashes that prove that a task crashes its endpoints.
type CrashesUnderTask struct{ Crashes []crash.Record }

func (*CrashesUnderTask) details() {}
