package leader

import (
	"fmt"
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

const (
	// retryAfter is what refused callers are told: demand swings within seconds, and the
	// shortest time that the header can name is a second.
	retryAfter = clock.Second
	// hopsMost bounds how often a job is passed on; the figures that homes have of each
	// other are a tenth of a second old.
	hopsMost = 2
	// roomFactor is how much more room than the job needs another cell must have, since
	// others see the same room.
	roomFactor = 2
)

// submit takes a job, passes it on or refuses it.
func (l *Leader) submit(s job.Submission) {
	if o, ok := l.answers.of(&s); ok {
		l.do(Answer{Key: s.Key, Outcome: o})
		return
	}
	if l.works[s.Key] != nil {
		return
	}
	if s.Expires != 0 && l.now > s.Expires {
		l.do(Answer{Key: s.Key, Outcome: job.Refused{Reason: job.LateMessage, RetryAfter: retryAfter}})
		return
	}
	q := l.state.Queue(s.Job.Queue)
	if q == nil {
		l.do(Answer{Key: s.Key, Outcome: job.Refused{Reason: job.NoDesiredState, RetryAfter: retryAfter}})
		return
	}
	w := newWork(s, l.now)
	l.setTimes(w)
	for _, earlier := range slices.Clone(l.byID[s.Job.ID]) {
		if earlier.Key.Entry != s.Key.Entry || earlier.Attempt != s.Attempt {
			// The caller has sent the job again.
			l.abandon(earlier, job.Superseded)
		}
	}
	if s.Adopt {
		l.adopt(w)
	}
	if !w.started && !s.Adopt {
		if o := l.admit(w); o != nil {
			l.noteAdmission(w, o)
			l.answers.keep(&w.Submission, o, l.now)
			l.do(Answer{Key: w.Key, Outcome: o})
			return
		}
	}
	l.works[w.Key] = w
	l.byID[w.Job.ID] = append(l.byID[w.Job.ID], w)
	en := l.entry(w.Key.Entry)
	en.works[w.Key.Seq] = w
	en.until = max(en.until, l.now+l.config.Timeouts.JobLease)
	l.noteAdmission(w, nil)
	l.enqueue(w)
	l.completeAdopted(w)
}

// noteAdmission logs what became of a submission and the figures that decided it.
func (l *Leader) noteAdmission(w *work, o job.Outcome) {
	n := LogDecision{Decision: JobAccepted, Job: w.Job.ID}
	switch o := o.(type) {
	case job.Refused:
		n.Decision, n.Detail = JobRefused, string(o.Reason)+" "
	case job.Redirected:
		n.Decision, n.Detail = JobForwarded, "to "+string(o.To)+" "
	case job.Divided:
		n.Decision, n.Detail = JobForwarded, fmt.Sprintf("divided %v ", o.Shares)
	default:
		if w.Adopt {
			n.Decision = JobAdopted
		}
	}
	oldest, fresh := clock.Millis(0), l.spareCells()
	for _, load := range fresh {
		oldest = max(oldest, l.now-load.At)
	}
	load := l.Load(l.now)
	n.Detail += fmt.Sprintf("tasks %d demand %d free %d waiting %d of %d mCPU, starts by %d ms, hops %d, cells with room %d told up to %d ms ago, desired state %d",
		len(w.tasks), w.demand(), load.FreeCPU, load.WaitingCPU(), load.TotalCPU, w.startBy-l.now, w.Hops, len(fresh), oldest, l.state.Version)
	l.do(n)
}

// completeAdopted answers a job whose last task had already ended when it was adopted.
func (l *Leader) completeAdopted(w *work) {
	if w.open == 0 {
		l.answer(w, job.Completed{})
	}
}

// setTimes derives the points in time that matter to a job from its longest chain.
func (l *Leader) setTimes(w *work) {
	chain := l.chain(w)
	span := l.state.Queue(w.queue).Objective(chain)
	w.objective = w.arrived + span
	w.startBy = w.objective - lateStart - clock.Millis(float64(chain)*startMargin/l.fastest())
	w.turn = w.startBy + clock.Millis(l.state.Queue(w.queue).Priority)*headStart
}

// headStart is by how much a job comes before one of the next lower priority that has to start
// at the same time. It is shorter than the 75 ms that the tightest jobs can wait, so that a job
// of a lower priority comes first in the last moments before it has to start, and none starves.
const headStart = clock.Millis(50)

// startMargin is how much longer than expected the tasks of a job are allowed to take. Declared
// times are off by 40 %, and a job that ends late is worth a fifth of one in time.
const startMargin = 1.15

// chain is the longest chain of expected work.
func (l *Leader) chain(w *work) clock.Millis {
	return w.Job.CriticalPath(func(s *job.Step) clock.Millis { return l.expect(w, s) })
}

// fastest is the speed of the faster endpoints.
func (l *Leader) fastest() float64 {
	best := 0.0
	for _, p := range l.ordered {
		if p.usable(l.now) {
			best = max(best, p.speed.factor())
		}
	}
	if best == 0 {
		return 1
	}
	return best
}

// adopt gives a job the runs that an earlier home started for it. Runs are found one
// endpoint after the other, so this is done again before each start.
func (l *Leader) adopt(w *work) {
	for _, t := range w.tasks {
		if t.state != waiting || l.tasks[t.name] != nil {
			continue
		}
		t.run = max(t.run, l.found.lastRun(t.name))
		f, ok := l.found.claim(t.name)
		if !ok {
			continue
		}
		l.found.forget(t.name, f.place)
		w.started = true
		if f.ended {
			l.markDoneQuietly(t)
			continue
		}
		t.run, t.place = f.run, f.place
		l.confirm(t)
		t.startedAt = f.at
		t.base = l.baseAt(t, f.place)
		t.expected = f.place.speed.takes(t.base)
		t.percent, t.percentAt = f.percent, l.now
		l.occupy(t, f.place)
	}
}

func (l *Leader) markDoneQuietly(t *task) {
	t.state = done
	t.work.open--
	t.work.stepsOpen[t.step]--
}

// admit returns nil for a job that is to run here, or else its outcome.
func (l *Leader) admit(w *work) job.Outcome {
	if w.Part || l.settling() {
		return nil
	}
	if !l.fits(w) {
		if o := l.elsewhere(w, 0); o != nil {
			return o
		}
		return job.Refused{Reason: job.NoSuchEndpoint, RetryAfter: retryAfter}
	}
	p := l.project(w)
	if p.wait == 0 {
		return nil
	}
	if o := l.elsewhere(w, p.now); o != nil {
		return o
	}
	if l.now+p.wait <= w.startBy {
		return nil
	}
	if o := l.elsewhereSoon(w, p.inTime); o != nil {
		return o
	}
	return job.Refused{Reason: job.NoCapacityInTime, RetryAfter: retryAfter}
}

// fits reports whether each step fits on some usable endpoint at all.
func (l *Leader) fits(w *work) bool {
	q := l.state.Queue(w.queue)
	for i := range w.Job.Steps {
		s := &w.Job.Steps[i]
		if !slices.ContainsFunc(l.ordered, func(p *place) bool {
			return p.Service == q.Service && !p.Draining && !p.missing && p.HasLabel(s.Requires) && p.Capacity.Fits(s.Demand)
		}) {
			return false
		}
	}
	return true
}

// settling reports whether the home is too young to know its endpoints.
func (l *Leader) settling() bool {
	return l.now < l.config.Now+settleTime && (len(l.ordered) == 0 || !l.allFenced())
}

// settleTime is how long the list of endpoints and their first answers may take; a round trip
// takes 2 ms, and reading the list some 20 ms.
const settleTime = clock.Millis(120)

// demand is the processor capacity that the waiting tasks of the job's first steps need.
func (w *work) demand() job.MilliCores {
	var sum job.MilliCores
	for _, t := range w.tasks {
		if t.state == waiting && len(t.stepOf().After) == 0 {
			sum += t.stepOf().Demand.CPU
		}
	}
	return sum
}

// Endpoints returns all endpoints where this home may have runs, those that have vanished
// from the list among them.
func (l *Leader) Endpoints() []endpoint.Endpoint {
	all := make([]endpoint.Endpoint, len(l.ordered))
	for i, p := range l.ordered {
		all[i] = p.Endpoint
	}
	return all
}
