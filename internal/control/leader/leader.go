// Package leader makes the decisions for the endpoints of one shard: which tasks start where and
// when, which jobs are refused or forwarded, and how to recover attempts whose endpoint, entry VM
// or leader fails. It does no I/O; it turns events into actions.
package leader

import (
	"cmp"
	"maps"
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/control/admission"
	"github.com/sequoiacart/sequoiacart/internal/control/forecast"
	"github.com/sequoiacart/sequoiacart/internal/world/crash"
	"github.com/sequoiacart/sequoiacart/internal/world/estimate"
	"github.com/sequoiacart/sequoiacart/internal/world/evacuation"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// Config holds the parameters of a leader.
type Config struct {
	Shard    shard.ID
	Token    shard.Token
	Timeouts Timeouts
	// FarFactor is how many times longer a task runs outside the rack of its data.
	FarFactor float64
	Desired   *queue.State
	Now       clock.Millis
	// Crashes are those that the VM knows of, which its leaders share; nil is none.
	Crashes *crash.History
	// LinkDelay returns how long a request to an endpoint waits in front of the VM's link; nil means that
	// none waits.
	LinkDelay func() clock.Millis
	// StoreLost means that the store does not answer this VM.
	StoreLost bool
	// Evacuation returns what this VM knows of the evacuation of the shard's data centre; nil means that it
	// is never evacuated.
	Evacuation func() evacuation.Status
	// AwaitsCancellations means that nothing is started before CancellationsKnown.
	AwaitsCancellations bool
	// OrphansEndBy is when the attempts of earlier leaders that no job adopts have to have ended, or 0
	// if this VM has not heard of it. Their callers may send the jobs again from then on.
	OrphansEndBy clock.Millis
	// Bounds are what the leader may take.
	Bounds Bounds
}

// Leader is the state of the leader of one shard. It belongs to the control goroutine.
type Leader struct {
	config  Config
	desired *queue.State

	endpoints map[datacentre.EndpointID]*endpointState
	dropped   map[datacentre.EndpointID]droppedEndpoint
	// sortedEndpoints holds the endpoints in a fixed order, so that decisions do not depend on the
	// iteration order of a map.
	sortedEndpoints []*endpointState
	jobs            map[job.Key]*jobState
	jobsByID        map[job.ID][]*jobState
	queue           []*jobState
	planner         *admission.Planner
	// room and the buffers are reused from one event to the next.
	room            forecast.Room
	roomEndpoints   []*endpointState
	candidateBuffer []*endpointState
	attemptBuffer   []forecast.Attempt
	planBuffer      []*admission.Job
	// activeTasks holds the tasks that occupy resources.
	activeTasks    map[job.TaskName]*task
	entryVMs       map[vm.Incarnation]*entryVM
	answers        answerCache
	attemptNumbers attemptNumbers
	orphans        orphans
	otherLoads     map[shard.ID]*shard.Load
	workEstimates  map[queue.Name]*workEstimate
	// coldSpeed is the speed of cold endpoints, as a factor of their speed when they are warm.
	coldSpeed speed
	crashes   *crash.History
	// isolatedEndpoints are held for tasks that may crash them.
	isolatedEndpoints []*endpointState
	// inheritedEstimates are the estimates of an earlier leader, for endpoints that are listed
	// later.
	inheritedEstimates estimate.Estimates

	// list is the latest list of endpoints; listed means that there was one.
	list         EndpointList
	listComplete bool
	listed       bool
	// entriesReadAt is the ReadAt of the latest list whose entries were read from the store.
	entriesReadAt clock.Millis
	// storeLost means that the store does not answer this VM, as was last reported at storeLostAt.
	storeLost   bool
	storeLostAt clock.Millis
	// awaitsCancellations means that a task may belong to a job that was cancelled before the take-over.
	awaitsCancellations bool
	// heldSince is since when starts wait for a current list, or 0 if none do.
	heldSince clock.Millis
	now       clock.Millis
	// evacuatedSince is when the leader first knew that its data centre is evacuated, or 0 if it is not.
	// emptied means that no task has been left since.
	evacuatedSince clock.Millis
	emptied        bool
	// resuming means that nothing is started after a pause until the endpoints have answered requests
	// of the event resumedSeq or later.
	resuming   bool
	resumedSeq SequenceNumber
	sequence   SequenceNumber
	actions    []Action
	// starts and stops are those without an answer. pendingStops wait to be sent.
	starts, stops calls
	pendingStops  []*task
}

// entryVM is an entry VM with jobs at this leader.
type entryVM struct {
	// leaseEnd is when the leases of its jobs expire.
	leaseEnd clock.Millis
	// jobs are by the Seq of their key.
	jobs map[uint64]*jobState
}

// New returns a leader that has just taken over the shard.
func New(c Config) *Leader {
	l := &Leader{
		config: c, desired: c.Desired, now: c.Now, storeLost: c.StoreLost, awaitsCancellations: c.AwaitsCancellations,
		endpoints: make(map[datacentre.EndpointID]*endpointState), dropped: make(map[datacentre.EndpointID]droppedEndpoint), jobs: make(map[job.Key]*jobState),
		jobsByID: make(map[job.ID][]*jobState), activeTasks: make(map[job.TaskName]*task),
		entryVMs: make(map[vm.Incarnation]*entryVM), orphans: make(orphans),
		otherLoads: make(map[shard.ID]*shard.Load), workEstimates: make(map[queue.Name]*workEstimate),
		answers: newAnswerCache(), attemptNumbers: newAttemptNumbers(), crashes: c.Crashes, coldSpeed: newColdSpeed(),
		planner: admission.New(admission.DefaultConfig()),
	}
	if l.storeLost {
		l.storeLostAt = c.Now
	}
	if l.config.Bounds.Memory == nil {
		l.config.Bounds.Memory = job.NewMemoryBudget(0)
	}
	l.starts.limit, l.stops.limit = c.Bounds.Calls, c.Bounds.Calls
	if l.crashes == nil {
		l.crashes = crash.NewHistory()
	}
	return l
}

// Token returns the fencing token of the leader's requests.
func (l *Leader) Token() shard.Token { return l.config.Token }

// SetToken raises the fencing token after a later replica set with the same leader. Another member
// of the earlier one may have led meanwhile, so every endpoint has to accept the higher token.
func (l *Leader) SetToken(t shard.Token) {
	if t <= l.config.Token {
		return
	}
	l.config.Token = t
	for _, ep := range l.sortedEndpoints {
		ep.epoch, ep.tokenSeq, ep.leadershipSeq = 0, l.sequence+1, l.sequence+1
	}
	for id, d := range l.dropped {
		d.epoch = 0
		l.dropped[id] = d
	}
}

// Busy reports whether the leader has jobs or attempts and therefore needs ticks.
func (l *Leader) Busy() bool { return len(l.activeTasks) > 0 || len(l.jobs) > 0 }

// Handle processes an event and returns the resulting actions.
func (l *Leader) Handle(now clock.Millis, e Event) []Action {
	paused := now-l.now > min(maxPause, l.config.Timeouts.AttemptLease/2)
	l.now = now
	l.sequence++
	l.actions = nil
	if paused {
		l.resume()
	}
	switch e := e.(type) {
	case Submitted:
		l.handleSubmission(e.Submission)
	case JobLeasesRenewed:
		l.renewJobLeases(e)
	case StartEnded:
		l.starts.end()
		l.handleStartEnded(e)
	case StartSlow:
		if ep := l.endpoints[e.Endpoint]; ep != nil {
			if t := l.taskOfAttempt(ep, e.Task, e.Attempt); t != nil {
				l.markUncertain(t, ep, "no answer yet")
			}
		}
	case StopEnded:
		l.stops.end()
		l.handleStopEnded(e)
		l.sendPendingStops()
	case HoldEnded:
		l.handleHoldEnded(e)
	case EndpointsListed:
		l.listComplete, l.list = e.Complete, e.List
		l.updateEndpoints(e.Endpoints)
		l.updateEntryAges(e)
		l.trustEntries(e.Missing)
	case StoreReported:
		l.handleStoreReported(e.Lost)
	case DesiredState:
		l.desired = e.State
		for _, ep := range l.sortedEndpoints {
			ep.unguarded = l.isUnguarded(ep.Service)
		}
	case LoadReported:
		load := e.Load
		l.otherLoads[load.Cell] = &load
	case Cancelled:
		for _, j := range slices.Clone(l.jobsByID[e.Cancellation.Job]) {
			if e.Cancellation.Covers(&j.Job) {
				l.cancel(j)
			}
		}
	case EvacuationChanged:
		l.evacuate()
	case CancellationsKnown:
		l.awaitsCancellations = false
	case EstimatesLoaded:
		l.inheritEstimates(e.Estimates)
	case Tick:
		l.handleTick()
	}
	l.dispatch()
	sortStarts(l.actions)
	return l.actions
}

// StepDown ends all submissions because another VM leads the shard.
func (l *Leader) StepDown(now clock.Millis) []Action {
	l.now, l.actions = now, nil
	for _, j := range l.sortedJobs() {
		if !j.answered {
			l.answer(j, job.Moved{})
		}
	}
	for _, j := range l.jobs {
		l.releaseMemory(&j.Submission)
	}
	if len(l.activeTasks) > 0 {
		left := slices.SortedFunc(maps.Values(l.activeTasks), func(a, b *task) int { return cmp.Compare(a.name, b.name) })
		l.emit(LogDecision{Decision: AttemptsLeft, Details: activeAttempts(left)})
	}
	return l.actions
}

func (l *Leader) sortedJobs() []*jobState {
	all := make([]*jobState, 0, len(l.jobs))
	for _, j := range l.jobs {
		all = append(all, j)
	}
	slices.SortFunc(all, func(a, b *jobState) int {
		return cmp.Or(cmp.Compare(a.Key.Entry, b.Key.Entry), cmp.Compare(a.Key.Seq, b.Key.Seq))
	})
	return all
}

func (l *Leader) emit(a Action) { l.actions = append(l.actions, a) }

// renewJobLeases renews the job leases of an entry VM and abandons the jobs that no caller waits
// for.
func (l *Leader) renewJobLeases(e JobLeasesRenewed) {
	entry := l.entryVM(e.Entry)
	entry.leaseEnd = max(entry.leaseEnd, e.Sent+l.config.Timeouts.JobLease)
	if entry.leaseEnd <= l.now {
		return
	}
	for seq, j := range entry.jobs {
		switch {
		case j.answered:
		case slices.Contains(e.Waiting, seq):
			j.waitedAt = max(j.waitedAt, e.Sent)
		case seq <= e.LastSeq && j.receivedAt < e.Sent:
			// A job that arrived after the message was sent is not in its list.
			l.abandon(j, job.CallerDisconnected)
		}
	}
}

func (l *Leader) entryVM(i vm.Incarnation) *entryVM {
	entry := l.entryVMs[i]
	if entry == nil {
		entry = &entryVM{jobs: make(map[uint64]*jobState)}
		l.entryVMs[i] = entry
	}
	return entry
}

// answer ends a submission. It does not end the tasks of the job.
func (l *Leader) answer(j *jobState, o job.Outcome) {
	if j.answered {
		return
	}
	j.answered = true
	l.answers.add(&j.Submission, o, l.now)
	l.emit(Answer{Key: j.Key, Outcome: o})
	l.dequeue(j)
	l.removeIfFinished(j)
}

// removeIfFinished removes a job once it has been answered and has no attempts left.
func (l *Leader) removeIfFinished(j *jobState) {
	if !j.answered || j.holding > 0 {
		return
	}
	delete(l.jobs, j.Key)
	l.releaseMemory(&j.Submission)
	rest := slices.DeleteFunc(l.jobsByID[j.Job.ID], func(other *jobState) bool { return other == j })
	l.jobsByID[j.Job.ID] = rest
	if len(rest) == 0 {
		delete(l.jobsByID, j.Job.ID)
	}
	if entry := l.entryVMs[j.Key.Entry]; entry != nil {
		delete(entry.jobs, j.Key.Seq)
	}
}

// abandon stops all attempts of a job and answers it.
func (l *Leader) abandon(j *jobState, reason job.Reason) {
	if j.answered {
		return
	}
	var outcome job.Outcome = job.Stopped{Reason: reason}
	if !j.started {
		outcome = job.Refused{Reason: reason, RetryAfter: retryAfter}
	}
	l.emit(LogDecision{Decision: JobAbandoned, Job: j.Job.ID, Detail: string(reason), Details: activeAttempts(j.tasks)})
	l.endTasks(j)
	l.answer(j, outcome)
}

// Has reports whether the leader has a job that a cancellation names.
func (l *Leader) Has(c job.Cancellation) bool {
	return slices.ContainsFunc(l.jobsByID[c.Job], func(j *jobState) bool { return !j.answered && c.Covers(&j.Job) })
}

// cancel stops all attempts of a job that its caller has cancelled.
func (l *Leader) cancel(j *jobState) {
	if j.answered {
		return
	}
	l.emit(LogDecision{Decision: JobAbandoned, Job: j.Job.ID, Detail: "cancelled", Details: activeAttempts(j.tasks)})
	l.endTasks(j)
	l.answer(j, job.Cancelled{})
}

// endTasks ends the waiting tasks of a job and stops its attempts.
func (l *Leader) endTasks(j *jobState) {
	for _, t := range j.tasks {
		switch t.phase {
		case waiting:
			t.enter(ended)
		case starting, running:
			l.stopAttempt(t)
		case stopping, done, ended:
		}
	}
}

// handleTick does everything that depends on time alone.
func (l *Leader) handleTick() {
	for _, entry := range l.entryVMs {
		if entry.leaseEnd > l.now {
			continue
		}
		for _, j := range entry.jobs {
			l.abandon(j, job.LeaseExpired)
		}
	}
	for _, j := range l.sortedJobs() {
		if !j.answered && l.now >= j.limit {
			l.abandon(j, job.TimeLimit)
		}
	}
	if l.resuming {
		l.checkResumed()
	}
	l.review()
	l.evacuate()
	for _, ep := range l.sortedEndpoints {
		l.checkEndpoint(ep)
	}
	l.stopOrphans()
	l.answers.expire(l.now)
	for i, entry := range l.entryVMs {
		if len(entry.jobs) == 0 && entry.leaseEnd+clock.Minute < l.now {
			delete(l.entryVMs, i)
		}
	}
}
