package leader

import (
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/control/admission"
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

const (
	// retryAfter is the time after which refused callers may retry. Demand changes within seconds,
	// and one second is the shortest value that the header can carry.
	retryAfter = clock.Second
	// maxForwardHops is the number of hops after which a job is not forwarded any more, since the
	// loads that leaders report to each other are up to 100 ms old.
	maxForwardHops = 2
	// capacityFactor is how many times the demand of a job another shard must have free, since
	// other leaders forward jobs to the same shard.
	capacityFactor = 2
)

// handleSubmission accepts, forwards or refuses a job.
func (l *Leader) handleSubmission(s job.Submission) {
	if o, ok := l.answers.get(&s); ok {
		l.emit(Answer{Key: s.Key, Outcome: o})
		return
	}
	if l.jobs[s.Key] != nil {
		return
	}
	if s.Expires != 0 && l.now > s.Expires {
		l.emit(Answer{Key: s.Key, Outcome: job.Refused{Reason: job.LateMessage, RetryAfter: retryAfter}})
		return
	}
	if l.desired.Queue(s.Job.Queue) == nil {
		l.emit(Answer{Key: s.Key, Outcome: job.Refused{Reason: job.NoDesiredState, RetryAfter: retryAfter}})
		return
	}
	for _, other := range l.jobsByID[s.Job.ID] {
		if other.Job.Origin != s.Job.Origin {
			// Its tasks have the same names.
			l.emit(Answer{Key: s.Key, Outcome: job.Refused{Reason: job.IDInUse, RetryAfter: retryAfter}})
			return
		}
	}
	for _, later := range l.jobsByID[s.Job.ID] {
		if later.Key.Entry == s.Key.Entry && later.Attempt > s.Attempt {
			l.emit(Answer{Key: s.Key, Outcome: job.Refused{Reason: job.LateMessage, RetryAfter: retryAfter}})
			return
		}
	}
	if o, ok := l.takeMemory(&s); !ok {
		l.answers.add(&s, o, l.now)
		l.emit(Answer{Key: s.Key, Outcome: o})
		return
	}
	j := newJobState(s, l.now)
	j.waitedAt = l.now - l.config.Timeouts.SubmissionTimeout
	l.setDeadlines(j)
	for _, earlier := range slices.Clone(l.jobsByID[s.Job.ID]) {
		if earlier.Key.Entry != s.Key.Entry || earlier.Attempt != s.Attempt {
			// The caller has resent the job.
			l.abandon(earlier, job.Superseded)
		}
	}
	if s.Adopt || len(l.jobsByID[s.Job.ID]) > 0 || l.orphans.hasJob(s.Job.ID) || l.crashes.HasTask(func(n job.TaskName) bool { return belongsTo(n, s.Job.ID) }) {
		j.makeTasks()
	}
	if s.Adopt {
		l.adoptOrphans(j)
	}
	deadly := l.deadlyTask(j)
	if deadly == nil && !j.started && !s.Adopt && !l.hasAttempts(j) {
		if o := l.admit(j); o != nil {
			l.logAdmission(j, o, RefusedOnArrival)
			l.recordRefusal(j, o)
			l.releaseMemory(&j.Submission)
			l.answers.add(&j.Submission, o, l.now)
			l.emit(Answer{Key: j.Key, Outcome: o})
			return
		}
	}
	j.makeTasks()
	l.jobs[j.Key] = j
	l.jobsByID[j.Job.ID] = append(l.jobsByID[j.Job.ID], j)
	entry := l.entryVM(j.Key.Entry)
	entry.jobs[j.Key.Seq] = j
	entry.leaseEnd = max(entry.leaseEnd, l.now+l.config.Timeouts.JobLease)
	l.logAdmission(j, nil, RefusedOnArrival)
	l.enqueue(j)
	l.completeAdopted(j)
	if deadly != nil {
		l.giveUp(deadly)
	}
}

// hasAttempts reports whether attempts of the job's tasks may be running here, of an earlier
// submission or of an earlier leader. No other shard may start the tasks before they have ended.
func (l *Leader) hasAttempts(j *jobState) bool {
	return slices.ContainsFunc(j.tasks, func(t *task) bool {
		return l.activeTasks[t.name] != nil || l.orphans.anyActive(t.name)
	})
}

// completeAdopted answers a job whose last task was already done when it was adopted.
func (l *Leader) completeAdopted(j *jobState) {
	if j.openTasks == 0 {
		l.answer(j, job.Completed{})
	}
}

// setDeadlines derives the objective, the latest start and the order of a job from its critical path.
func (l *Leader) setDeadlines(j *jobState) {
	l.describe(j)
	l.planner.Register(l.now, &j.plan)
	j.objective = j.submittedAt + l.queueOf(j).Objective(j.plan.Tasks.Objective.Path)
	j.sortTime = j.plan.StartOrder()
	j.latestStart = j.plan.LatestStart(l.highestSpeed())
}

// criticalPath is the expected duration of the longest chain of steps.
func (l *Leader) criticalPath(j *jobState) clock.Millis {
	return j.Job.CriticalPath(func(s *job.Step) clock.Millis { return l.expectedWork(j, s) })
}

// highestSpeed is the speed of the fastest usable endpoint.
func (l *Leader) highestSpeed() float64 {
	best := 0.0
	for _, ep := range l.sortedEndpoints {
		if ep.usable(l.now) {
			best = max(best, l.speedOf(ep))
		}
	}
	if best == 0 {
		return 1
	}
	return best
}

// adoptOrphans assigns the attempts that an earlier leader started for a job to its tasks.
// Endpoints report their attempts one after the other, so this is repeated before each start.
func (l *Leader) adoptOrphans(j *jobState) {
	for _, t := range j.tasks {
		if t.phase != waiting || l.activeTasks[t.name] != nil {
			continue
		}
		t.attempt = max(t.attempt, l.orphans.lastAttempt(t.name))
		o, ok := l.orphans.adoptable(t.name)
		if !ok {
			continue
		}
		l.orphans.remove(t.name, o.endpoint)
		j.started = true
		if o.ended {
			l.markAdoptedDone(t)
			continue
		}
		t.attempt, t.endpoint, t.startGrant = o.attempt, o.endpoint, LeaseGrant{}
		l.confirmRunning(t)
		// The earlier leader may have sent the start to an earlier incarnation.
		t.confirmedIn = 0
		t.startedAt = o.foundAt
		t.baseDuration = l.baseDuration(t, o.endpoint)
		t.expectedDuration, t.startedCold = l.durationAt(o.endpoint, t.baseDuration), o.endpoint.isCold(l.now)
		t.percent, t.percentAt = o.percent, l.now
		l.reserve(t, o.endpoint)
	}
}

func (l *Leader) markAdoptedDone(t *task) {
	t.enter(done)
	t.job.openTasks--
	t.job.openByStep[t.stepIndex]--
}

// admit returns nil for a job that is to run here, or else its outcome.
func (l *Leader) admit(j *jobState) job.Outcome {
	if l.isEvacuated() {
		return l.admitEvacuated(j)
	}
	if j.Part || l.startingUp() {
		return nil
	}
	if !l.fitsSomeEndpoint(j) {
		if o := l.forward(j, 0); o != nil {
			return o
		}
		return job.Refused{Reason: job.NoSuchEndpoint, RetryAfter: retryAfter}
	}
	if o := l.avoidCold(j); o != nil {
		return o
	}
	switch d := l.arrive(j).(type) {
	case admission.Start:
		return l.relieveLink(j)
	case admission.Wait:
		if o := l.forward(j, d.Now); o != nil {
			return o
		}
		if l.now+l.linkDelay() > j.latestStart {
			break
		}
		j.expectedStart = j.plan.Expected()
		l.turnAway(d.Displaced)
		return nil
	case admission.Refuse:
		if o := l.forward(j, d.Now); o != nil {
			return o
		}
		if l.isIdle(j) {
			return l.relieveLink(j)
		}
		if o := l.divideByForecast(j, d.InTime); o != nil {
			return o
		}
	}
	return job.Refused{Reason: job.NoCapacityInTime, RetryAfter: retryAfter}
}

// isIdle reports whether a job that cannot end in time any more can start in capacity that no other job
// waits for.
func (l *Leader) isIdle(j *jobState) bool {
	if len(l.queue) > 0 {
		return false
	}
	j.plan.Tasks.Late = true
	return l.hasCapacityNow(j)
}

// fitsSomeEndpoint reports whether each step fits the total capacity of some available endpoint.
func (l *Leader) fitsSomeEndpoint(j *jobState) bool {
	q := l.queueOf(j)
	for i := range j.Job.Steps {
		s := &j.Job.Steps[i]
		if !slices.ContainsFunc(l.sortedEndpoints, func(ep *endpointState) bool {
			return ep.Service == q.Service && !ep.Draining && !ep.unlisted && ep.HasLabel(s.Requires) && ep.Capacity.Fits(s.Demand)
		}) {
			return false
		}
	}
	return true
}

// startingUp reports whether the leader is new and endpoints have not been listed or have not
// answered yet.
func (l *Leader) startingUp() bool {
	return l.now < l.config.Now+startupWindow && (len(l.sortedEndpoints) == 0 || !l.allTokensAccepted())
}

// startupWindow is how long the list of endpoints and their first answers may take; a round trip
// takes 2 ms, and reading the list about 20 ms.
const startupWindow = clock.Millis(120)

// demand is the CPU demand of the waiting tasks in the first steps of the job.
func (j *jobState) demand() job.MilliCores {
	var sum job.MilliCores
	for i, n := range j.waitingByStep {
		if s := &j.Job.Steps[i]; len(s.After) == 0 {
			sum += s.Demand.CPU * job.MilliCores(n)
		}
	}
	return sum
}

// Endpoints returns the entries of all endpoints at which this leader may have attempts, including those that
// are no longer listed. Each names the incarnation that wrote it, since the present one may be of another kind.
func (l *Leader) Endpoints() []endpoint.Endpoint {
	all := make([]endpoint.Endpoint, len(l.sortedEndpoints))
	for i, ep := range l.sortedEndpoints {
		all[i] = ep.Endpoint
		// The slots are not of the entry.
		all[i].Capacity.Slots = 0
		all[i].Born = ep.listedBorn
		if ep.entryDoubtedAt != 0 {
			all[i].Born = 0
		}
	}
	return all
}
