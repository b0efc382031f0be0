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
	config Config
	state  *queue.State

	places map[datacentre.EndpointID]*place
	// ordered has the places in a fixed order, so that decisions do not depend on the
	// order of a map.
	ordered []*place
	works   map[job.Key]*work
	byID    map[job.ID][]*work
	queue   []*work
	// open is reused from round to round.
	open []*place
	// tasks are those that occupy room, by name.
	tasks   map[job.TaskName]*task
	entries map[vm.Incarnation]*entry
	answers answers
	runs    lastRuns
	found   foundRuns
	others  map[shard.ID]*shard.Load
	kinds   map[queue.Name]*kind
	// remembered is what an earlier home has learnt, for endpoints that are listed later.
	remembered estimate.Estimates

	// complete says that the list of endpoints lacks none with runs of an earlier home.
	complete bool
	now      clock.Millis
	moment   SequenceNumber
	actions  []Action
}

// entry is what the home knows of an entry VM with jobs here.
type entry struct {
	until clock.Millis
	works map[uint64]*work
}

// New returns a home that has just taken the cell.
func New(c Config) *Leader {
	h := &Leader{
		config: c, state: c.Desired, now: c.Now,
		places: make(map[datacentre.EndpointID]*place), works: make(map[job.Key]*work),
		byID: make(map[job.ID][]*work), tasks: make(map[job.TaskName]*task),
		entries: make(map[vm.Incarnation]*entry), found: make(foundRuns),
		others: make(map[shard.ID]*shard.Load), kinds: make(map[queue.Name]*kind),
		answers: newAnswers(), runs: newLastRuns(),
	}
	return h
}

// Token returns the fencing token of the home's orders.
func (l *Leader) Token() shard.Token { return l.config.Token }

// SetToken raises the fencing token after a later lineup that has the same home.
func (l *Leader) SetToken(t shard.Token) { l.config.Token = max(l.config.Token, t) }

// Busy reports whether time matters to the home: it has jobs or runs.
func (l *Leader) Busy() bool { return len(l.tasks) > 0 || len(l.works) > 0 }

// Handle takes in an event and returns what is to be done.
func (l *Leader) Handle(now clock.Millis, e Event) []Action {
	l.now = now
	l.moment++
	l.actions = nil
	switch e := e.(type) {
	case Submitted:
		l.submit(e.Submission)
	case JobLeasesRenewed:
		l.interest(e)
	case StartEnded:
		l.startEnded(e)
	case StartSlow:
		if p := l.places[e.Endpoint]; p != nil {
			if t := l.current(p, e.Task, e.Attempt); t != nil {
				l.doubt(t, p, "no answer yet")
			}
		}
	case StopEnded:
		l.stopEnded(e)
	case HoldEnded:
		l.holdEnded(e)
	case EndpointsListed:
		l.complete = e.Complete
		l.endpointsListed(e.Endpoints)
	case DesiredState:
		l.state = e.State
	case LoadReported:
		load := e.Load
		l.others[load.Cell] = &load
	case Cancelled:
		for _, w := range slices.Clone(l.byID[e.Job]) {
			l.abandon(w, job.CallerDisconnected)
		}
	case EstimatesLoaded:
		l.remember(e.Estimates)
	case Tick:
		l.passTime()
	}
	l.dispatch()
	return l.actions
}

// StepDown ends all submissions because another home has the cell.
func (l *Leader) StepDown(now clock.Millis) []Action {
	l.now, l.actions = now, nil
	for _, w := range l.sortedWorks() {
		if !w.answered {
			l.answer(w, job.Moved{})
		}
	}
	return l.actions
}

func (l *Leader) sortedWorks() []*work {
	all := make([]*work, 0, len(l.works))
	for _, w := range l.works {
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b *work) int {
		return cmp.Or(cmp.Compare(a.Key.Entry, b.Key.Entry), cmp.Compare(a.Key.Seq, b.Key.Seq))
	})
	return all
}

func (l *Leader) do(a Action) { l.actions = append(l.actions, a) }

// interest renews the jobs of an entry VM and gives up those that nobody waits for.
func (l *Leader) interest(e JobLeasesRenewed) {
	en := l.entry(e.Entry)
	en.until = max(en.until, e.Sent+l.config.Timeouts.JobLease)
	if en.until <= l.now {
		return
	}
	for seq, w := range en.works {
		// A job that came after the message was sent is not in its list.
		if seq <= e.LastSeq && w.taken < e.Sent && !w.answered && !slices.Contains(e.Waiting, seq) {
			l.abandon(w, job.CallerDisconnected)
		}
	}
}

func (l *Leader) entry(i vm.Incarnation) *entry {
	en := l.entries[i]
	if en == nil {
		en = &entry{works: make(map[uint64]*work)}
		l.entries[i] = en
	}
	return en
}

// answer ends a submission. Its tasks are dealt with by the caller.
func (l *Leader) answer(w *work, o job.Outcome) {
	if w.answered {
		return
	}
	w.answered = true
	l.answers.keep(&w.Submission, o, l.now)
	l.do(Answer{Key: w.Key, Outcome: o})
	l.unqueue(w)
	l.forget(w)
}

// forget drops a job once it has been answered and none of its runs is left.
func (l *Leader) forget(w *work) {
	if !w.answered {
		return
	}
	for _, t := range w.tasks {
		if t.occupies() {
			return
		}
	}
	delete(l.works, w.Key)
	rest := slices.DeleteFunc(l.byID[w.Job.ID], func(o *work) bool { return o == w })
	l.byID[w.Job.ID] = rest
	if len(rest) == 0 {
		delete(l.byID, w.Job.ID)
	}
	if en := l.entries[w.Key.Entry]; en != nil {
		delete(en.works, w.Key.Seq)
	}
}

// abandon stops all runs of a job.
func (l *Leader) abandon(w *work, why job.Reason) {
	if w.answered {
		return
	}
	var outcome job.Outcome = job.Stopped{Reason: why}
	if !w.started {
		outcome = job.Refused{Reason: why, RetryAfter: retryAfter}
	}
	l.do(LogDecision{Decision: JobAbandoned, Job: w.Job.ID, Detail: string(why)})
	l.endTasks(w)
	l.answer(w, outcome)
}

// endTasks gives up what is left of a job.
func (l *Leader) endTasks(w *work) {
	for _, t := range w.tasks {
		switch t.state {
		case waiting:
			t.state = ended
		case starting, running:
			l.stop(t)
		case stopping, done, ended:
		}
	}
}

// passTime does what is due by the clock alone.
func (l *Leader) passTime() {
	for _, en := range l.entries {
		if en.until > l.now {
			continue
		}
		for _, w := range en.works {
			l.abandon(w, job.LeaseLapsed)
		}
	}
	for _, w := range l.sortedWorks() {
		if !w.answered && l.now >= w.limit {
			l.abandon(w, job.TimeLimit)
		}
	}
	l.refuseLate()
	for _, p := range l.ordered {
		l.tend(p)
	}
	l.stopUnclaimed()
	l.answers.expire(l.now)
	for i, en := range l.entries {
		if len(en.works) == 0 && en.until+clock.Minute < l.now {
			delete(l.entries, i)
		}
	}
}
