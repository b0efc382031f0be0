// Package leader decides for the endpoints of one cell: which tasks start where and when,
// which jobs are refused or passed on, and what becomes of runs whose endpoint, entry VM or
// home fails. It does no I/O; it turns events into actions.
package leader

import (
	"cmp"
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/world/estimate"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// Config holds what a home is made of.
type Config struct {
	Shard    shard.ID
	Token    shard.Token
	Timeouts Timeouts
	// FarFactor is how many times longer a task runs outside the rack of its data.
	FarFactor float64
	Desired   *queue.State
	Now       clock.Millis
}

// Leader is the state of a home. It belongs to the control goroutine.
type Leader struct {
	config  Config
	desired *queue.State

	endpoints map[datacentre.EndpointID]*endpointState
	// ordered has the places in a fixed order, so that decisions do not depend on the
	// order of a map.
	sortedEndpoints []*endpointState
	jobs            map[job.Key]*jobState
	jobsByID        map[job.ID][]*jobState
	queue           []*jobState
	// open is reused from round to round.
	candidateBuffer []*endpointState
	// tasks are those that occupy room, by name.
	activeTasks    map[job.TaskName]*task
	entryVMs       map[vm.Incarnation]*entryVM
	answers        answerCache
	attemptNumbers attemptNumbers
	orphans        orphans
	otherLoads     map[shard.ID]*shard.Load
	workEstimates  map[queue.Name]*workEstimate
	// remembered is what an earlier home has learnt, for endpoints that are listed later.
	inheritedEstimates estimate.Estimates

	// complete says that the list of endpoints lacks none with runs of an earlier home.
	listComplete bool
	now          clock.Millis
	sequence     SequenceNumber
	actions      []Action
}

// entry is what the home knows of an entry VM with jobs here.
type entryVM struct {
	leaseEnd clock.Millis
	jobs     map[uint64]*jobState
}

// New returns a home that has just taken the cell.
func New(c Config) *Leader {
	h := &Leader{
		config: c, desired: c.Desired, now: c.Now,
		endpoints: make(map[datacentre.EndpointID]*endpointState), jobs: make(map[job.Key]*jobState),
		jobsByID: make(map[job.ID][]*jobState), activeTasks: make(map[job.TaskName]*task),
		entryVMs: make(map[vm.Incarnation]*entryVM), orphans: make(orphans),
		otherLoads: make(map[shard.ID]*shard.Load), workEstimates: make(map[queue.Name]*workEstimate),
		answers: newAnswerCache(), attemptNumbers: newAttemptNumbers(),
	}
	return h
}

// Token returns the fencing token of the home's orders.
func (l *Leader) Token() shard.Token { return l.config.Token }

// SetToken raises the fencing token after a later lineup that has the same home.
func (l *Leader) SetToken(t shard.Token) { l.config.Token = max(l.config.Token, t) }

// Busy reports whether time matters to the home: it has jobs or runs.
func (l *Leader) Busy() bool { return len(l.activeTasks) > 0 || len(l.jobs) > 0 }

// Handle takes in an event and returns what is to be done.
func (l *Leader) Handle(now clock.Millis, e Event) []Action {
	l.now = now
	l.sequence++
	l.actions = nil
	switch e := e.(type) {
	case Submitted:
		l.handleSubmission(e.Submission)
	case JobLeasesRenewed:
		l.renewJobLeases(e)
	case StartEnded:
		l.handleStartEnded(e)
	case StartSlow:
		if ep := l.endpoints[e.Endpoint]; ep != nil {
			if t := l.taskOfAttempt(ep, e.Task, e.Attempt); t != nil {
				l.markUncertain(t, ep, "no answer yet")
			}
		}
	case StopEnded:
		l.handleStopEnded(e)
	case HoldEnded:
		l.handleHoldEnded(e)
	case EndpointsListed:
		l.listComplete = e.Complete
		l.updateEndpoints(e.Endpoints)
	case DesiredState:
		l.desired = e.State
	case LoadReported:
		load := e.Load
		l.otherLoads[load.Cell] = &load
	case Cancelled:
		for _, j := range slices.Clone(l.jobsByID[e.Job]) {
			l.abandon(j, job.CallerDisconnected)
		}
	case EstimatesLoaded:
		l.inheritEstimates(e.Estimates)
	case Tick:
		l.handleTick()
	}
	l.dispatch()
	return l.actions
}

// StepDown ends all submissions because another home has the cell.
func (l *Leader) StepDown(now clock.Millis) []Action {
	l.now, l.actions = now, nil
	for _, j := range l.sortedJobs() {
		if !j.answered {
			l.answer(j, job.Moved{})
		}
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

// interest renews the jobs of an entry VM and gives up those that nobody waits for.
func (l *Leader) renewJobLeases(e JobLeasesRenewed) {
	entry := l.entryVM(e.Entry)
	entry.leaseEnd = max(entry.leaseEnd, e.Sent+l.config.Timeouts.JobLease)
	if entry.leaseEnd <= l.now {
		return
	}
	for seq, j := range entry.jobs {
		// A job that came after the message was sent is not in its list.
		if seq <= e.LastSeq && j.receivedAt < e.Sent && !j.answered && !slices.Contains(e.Waiting, seq) {
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

// answer ends a submission. Its tasks are dealt with by the caller.
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

// forget drops a job once it has been answered and none of its runs is left.
func (l *Leader) removeIfFinished(j *jobState) {
	if !j.answered {
		return
	}
	for _, t := range j.tasks {
		if t.holdsResources() {
			return
		}
	}
	delete(l.jobs, j.Key)
	rest := slices.DeleteFunc(l.jobsByID[j.Job.ID], func(o *jobState) bool { return o == j })
	l.jobsByID[j.Job.ID] = rest
	if len(rest) == 0 {
		delete(l.jobsByID, j.Job.ID)
	}
	if entry := l.entryVMs[j.Key.Entry]; entry != nil {
		delete(entry.jobs, j.Key.Seq)
	}
}

// abandon stops all runs of a job.
func (l *Leader) abandon(j *jobState, why job.Reason) {
	if j.answered {
		return
	}
	var outcome job.Outcome = job.Stopped{Reason: why}
	if !j.started {
		outcome = job.Refused{Reason: why, RetryAfter: retryAfter}
	}
	l.emit(LogDecision{Decision: JobAbandoned, Job: j.Job.ID, Detail: string(why)})
	l.endTasks(j)
	l.answer(j, outcome)
}

// endTasks gives up what is left of a job.
func (l *Leader) endTasks(j *jobState) {
	for _, t := range j.tasks {
		switch t.phase {
		case waiting:
			t.phase = ended
		case starting, running:
			l.stopAttempt(t)
		case stopping, done, ended:
		}
	}
}

// passTime does what is due by the clock alone.
func (l *Leader) handleTick() {
	for _, entry := range l.entryVMs {
		if entry.leaseEnd > l.now {
			continue
		}
		for _, j := range entry.jobs {
			l.abandon(j, job.LeaseLapsed)
		}
	}
	for _, j := range l.sortedJobs() {
		if !j.answered && l.now >= j.limit {
			l.abandon(j, job.TimeLimit)
		}
	}
	l.refuseLateJobs()
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
