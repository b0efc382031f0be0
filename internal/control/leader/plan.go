package leader

import (
	"cmp"
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/control/admission"
	"github.com/sequoiacart/sequoiacart/internal/control/forecast"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// describe fills in what the planner has to know of a job.
func (l *Leader) describe(j *jobState) {
	q := l.queueOf(j)
	path := l.criticalPath(j)
	j.plan = admission.Job{Queue: j.queue, From: j.From, Priority: q.Priority}
	j.plan.Tasks.FarFactor = l.config.FarFactor
	j.plan.Tasks.Objective = forecast.Objective{
		Submitted: j.submittedAt, Stretch: q.Stretch, Allowance: q.Allowance, Path: path, Left: path, Overhead: startOverhead,
	}
	if !j.Adopt {
		// Attempts of an earlier leader may have started long ago.
		j.plan.Tasks.Objective.Limit = j.Limit
	}
	for i := range j.Job.Steps {
		s := &j.Job.Steps[i]
		j.plan.Work += job.WorkOf(s.Demand.CPU, l.expectedWork(j, s)) * job.CoreMillis(s.Tasks)
	}
	l.updatePlan(j)
}

// updatePlan updates what the planner has to know of a job whose tasks have started or ended. The tasks
// to place are those of the first step that has some.
func (l *Leader) updatePlan(j *jobState) {
	p := &j.plan
	p.Started = j.started || j.Part || j.Adopt
	p.Left, p.Tasks.Count = 0, 0
	step := -1
	for i, n := range j.waitingByStep {
		if n == 0 {
			continue
		}
		if step < 0 && j.isStepReady(i) {
			step, p.Tasks.Count = i, n
		}
		s := &j.Job.Steps[i]
		p.Left += job.WorkOf(s.Demand.CPU, l.expectedWork(j, s)) * job.CoreMillis(n)
	}
	if step < 0 {
		return
	}
	s := &j.Job.Steps[step]
	p.Tasks.Demand, p.Tasks.Duration, p.Tasks.Rack, p.Tasks.Requires = s.Demand, l.expectedWork(j, s), s.Rack, s.Requires
	if len(j.Job.Steps) > 1 {
		p.Tasks.Objective.Left = l.remainingPath(j)
	}
}

// remainingPath is the expected duration of the longest chain of steps that are not done.
func (l *Leader) remainingPath(j *jobState) clock.Millis {
	step := -1
	return j.Job.CriticalPath(func(s *job.Step) clock.Millis {
		step++
		if j.openByStep[step] == 0 {
			return 0
		}
		return l.expectedWork(j, s)
	})
}

// waitingJobs updates and returns the queued jobs of a service, as the planner sees them.
func (l *Leader) waitingJobs(s queue.ServiceName) []*admission.Job {
	l.planBuffer = l.planBuffer[:0]
	for _, j := range l.queue {
		if l.queueOf(j).Service == s {
			l.updatePlan(j)
			l.planBuffer = append(l.planBuffer, &j.plan)
		}
	}
	return l.planBuffer
}

// arrive lets the planner decide on a job that has arrived.
func (l *Leader) arrive(j *jobState) admission.Decision {
	if len(l.queue) == 0 && l.hasCapacityNow(j) {
		return admission.Start{}
	}
	service := l.queueOf(j).Service
	if l.planner.IsPricedOut(l.now, &j.plan) && !l.hasCapacityNow(j) {
		return l.planner.RefusePricedOut(&j.plan, l.waitingJobs(service))
	}
	d := l.planner.Arrive(l.now, &j.plan, l.waitingJobs(service), l.fillRoom(service))
	l.applyHolds()
	l.sortQueue()
	return d
}

// review refuses or forwards the queued jobs that cannot start in time any more.
func (l *Leader) review() {
	l.turnAwayLate()
	if l.startingUp() || l.resuming || l.heldSince != 0 {
		// The endpoints have not answered yet, so their capacity is unknown.
		return
	}
	for _, s := range l.queuedServices() {
		late := l.planner.Review(l.now, l.waitingJobs(s), l.fillRoom(s))
		l.applyHolds()
		l.turnAway(late)
	}
	l.sortQueue()
}

// queuedServices lists the services whose endpoints queued jobs wait for.
func (l *Leader) queuedServices() []queue.ServiceName {
	var all []queue.ServiceName
	for _, j := range l.queue {
		if s := l.queueOf(j).Service; !slices.Contains(all, s) {
			all = append(all, s)
		}
	}
	return all
}

// turnAwayLate refuses or forwards the queued jobs whose latest start has passed at any endpoint.
func (l *Leader) turnAwayLate() {
	for _, j := range slices.Clone(l.queue) {
		if !j.started && !j.Part && l.now > j.latestStart+startSlack {
			l.turnAwayJob(j, RefusedTooLate)
		}
	}
}

// turnAway refuses or forwards jobs that the planner has found no place for. One that may have attempts
// of an earlier submission waits until its latest start has passed.
func (l *Leader) turnAway(late []*admission.Job) {
	if len(late) == 0 {
		return
	}
	for _, j := range slices.Clone(l.queue) {
		if slices.Contains(late, &j.plan) && !l.hasAttempts(j) {
			l.turnAwayJob(j, RefusedDisplaced)
		}
	}
}

func (l *Leader) turnAwayJob(j *jobState, cause RefusalCause) {
	var o job.Outcome
	if !l.hasAttempts(j) {
		o = l.forward(j, 0)
	}
	if o == nil {
		o = job.Refused{Reason: job.NoCapacityInTime, RetryAfter: retryAfter}
	}
	l.logAdmission(j, o, cause)
	l.recordRefusal(j, o)
	l.answer(j, o)
}

// startSlack is how much later than planned a job may start before it is refused; the estimates of
// durations are no more precise than that.
const startSlack = clock.Millis(10)

// sortQueue brings the queue into the order of the latest plan.
func (l *Leader) sortQueue() {
	for _, j := range l.queue {
		j.sortTime = j.plan.StartOrder()
	}
	slices.SortFunc(l.queue, compareJobs)
}

// compareJobs orders jobs by sortTime; keys break ties, so that decisions are reproducible.
func compareJobs(a, b *jobState) int {
	return cmp.Or(cmp.Compare(a.sortTime, b.sortTime), cmp.Compare(a.Key.Entry, b.Key.Entry), cmp.Compare(a.Key.Seq, b.Key.Seq))
}
