// Package front decides for the jobs that callers have sent to this VM: which cell runs
// each, what happens when a home answers, moves or is lost, and what the caller is told.
package front

import (
	"cmp"
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/world/cell"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// Homes tells which cells have a home that answers.
type Homes interface {
	// Available lists cells in the order in which they are preferred.
	Available(now clock.Millis) []cell.ID
	// Home returns the VM that is home of the cell.
	Home(c cell.ID, now clock.Millis) (vm.Incarnation, bool)
}

// Config holds what a front is made of.
type Config struct {
	Self  vm.Incarnation
	Homes Homes
	// Homeless is how long a job whose home is lost waits for the next home.
	Homeless clock.Millis
}

// Front is the state of the jobs at this VM. It belongs to the control goroutine.
type Front struct {
	config  Config
	seq     uint64
	jobs    map[uint64]*pending
	actions []Action
}

// pending is a job that a caller waits for.
type pending struct {
	submission job.Submission
	arrived    clock.Millis
	at         cell.ID
	home       vm.Incarnation
	// placed says that the submission is on its way to, or at, a home.
	placed bool
	// mayRun says that an earlier home may have runs of the job.
	mayRun        bool
	homelessSince clock.Millis
	// patience is how long the job can wait for a home to begin with.
	patience clock.Millis
}

// Action is what the front wants done. It is one of the types below.
type Action interface{ action() }

// Submit hands a job to the home of a cell.
type Submit struct {
	To         cell.ID
	Submission job.Submission
}

// Reply tells the caller how its job ended.
type Reply struct {
	Key     job.Key
	Job     job.ID
	At      cell.ID
	Waited  clock.Millis
	Outcome job.Outcome
}

// Withdraw tells a home soon that nobody waits for a job any more.
type Withdraw struct{ From cell.ID }

func (Submit) action()   {}
func (Reply) action()    {}
func (Withdraw) action() {}

// New returns a front without jobs.
func New(c Config) *Front {
	return &Front{config: c, jobs: make(map[uint64]*pending)}
}

// Len counts the jobs that callers wait for.
func (f *Front) Len() int { return len(f.jobs) }

// Take returns and clears what is to be done.
func (f *Front) Take() []Action {
	a := f.actions
	f.actions = nil
	return a
}

// Arrive takes a job from a caller, who waits for limit at most. It waits for a home while its
// patience lasts. The key names it from now on.
func (f *Front) Arrive(j job.Job, limit, patience, now clock.Millis) job.Key {
	f.seq++
	k := job.Key{Entry: f.config.Self, Seq: f.seq}
	p := &pending{arrived: now, patience: patience, homelessSince: now, submission: job.Submission{Key: k, Job: j, Limit: limit}}
	f.jobs[f.seq] = p
	f.send(p, now)
	return k
}

// send hands a job to the home that is preferred, or refuses it.
func (f *Front) send(p *pending, now clock.Millis) {
	available := f.config.Homes.Available(now)
	if p.mayRun {
		// Only the home of the same cell knows what runs of the job there are.
		if slices.Contains(available, p.at) {
			f.sendTo(p, p.at, now)
		}
		return
	}
	if len(available) == 0 {
		if now >= p.arrived+p.patience {
			f.reply(p, job.Refused{Reason: job.NoHome, RetryAfter: clock.Second}, now)
		}
		return
	}
	f.sendTo(p, available[0], now)
}

func (f *Front) sendTo(p *pending, c cell.ID, now clock.Millis) {
	home, ok := f.config.Homes.Home(c, now)
	if !ok {
		return
	}
	p.at, p.home, p.placed = c, home, true
	s := p.submission
	s.Waited = now - p.arrived
	s.Adopt = p.mayRun
	f.actions = append(f.actions, Submit{To: c, Submission: s})
}

func (f *Front) reply(p *pending, o job.Outcome, now clock.Millis) {
	if r, ok := o.(job.Refused); ok && p.mayRun {
		// The last home has run nothing, but an earlier one may have.
		o = job.Stopped{Reason: r.Reason}
	}
	delete(f.jobs, p.submission.Key.Seq)
	f.actions = append(f.actions, Reply{Key: p.submission.Key, Job: p.submission.Job.ID, At: p.at, Waited: now - p.arrived, Outcome: o})
}

// Answered takes in what a home, or the way to it, made of a submission.
func (f *Front) Answered(k job.Key, from cell.ID, o job.Outcome, now clock.Millis) {
	p := f.jobs[k.Seq]
	if p == nil || p.at != from || !p.placed {
		return
	}
	p.placed = false
	switch o := o.(type) {
	case job.Completed, job.Failed:
		f.reply(p, o, now)
	case job.Refused:
		f.refused(p, o, now)
	case job.Redirected:
		p.submission.Hops++
		if _, ok := f.config.Homes.Home(o.To, now); !ok || p.mayRun {
			f.reply(p, job.Refused{Reason: job.NoRoomInTime, RetryAfter: clock.Second}, now)
			return
		}
		f.sendTo(p, o.To, now)
	case job.Moved:
		p.mayRun, p.homelessSince = true, now
	case job.Unanswered:
		p.homelessSince = now
		p.mayRun = true
		f.retry(p, now)
	case job.Stopped:
		f.reply(p, o, now)
	}
}

// refused passes a refusal on, unless it comes from a VM that is not home or from a message
// that was held up: those say nothing of the room there is.
func (f *Front) refused(p *pending, o job.Refused, now clock.Millis) {
	switch o.Reason {
	case job.NotHome, job.LateMessage, job.CellLost:
		p.homelessSince = now
		if p.mayRun {
			return
		}
		available := f.config.Homes.Available(now)
		other := slices.IndexFunc(available, func(c cell.ID) bool { return c != p.at })
		if other >= 0 && p.submission.Hops < hopsMost {
			p.submission.Hops++
			f.sendTo(p, available[other], now)
			return
		}
	default:
	}
	f.reply(p, o, now)
}

// hopsMost bounds how often a job is handed to another cell.
const hopsMost = 3

// retry hands a job without an answer to the same home again, which knows the key. Where
// the home has changed, the next one is asked to adopt its runs.
func (f *Front) retry(p *pending, now clock.Millis) {
	if _, ok := f.config.Homes.Home(p.at, now); ok && now-p.homelessSince >= retryPause {
		f.sendTo(p, p.at, now)
	}
}

// retryPause keeps a job from being sent in a loop to a home that does not answer.
const retryPause = clock.Millis(30)

// Gone drops a job whose caller has left.
func (f *Front) Gone(k job.Key, now clock.Millis) {
	p := f.jobs[k.Seq]
	if p == nil {
		return
	}
	f.reply(p, job.Stopped{Reason: job.CallerGone}, now)
	f.actions = append(f.actions, Withdraw{From: p.at})
}

// Tick ends jobs whose caller waits no longer and looks after those without a home.
func (f *Front) Tick(now clock.Millis) {
	for _, p := range f.sorted() {
		switch {
		case now >= p.arrived+p.submission.Limit:
			f.reply(p, job.Stopped{Reason: job.TimeLimit}, now)
			f.actions = append(f.actions, Withdraw{From: p.at})
		case p.placed:
			// A job at a home that is lost is without a home.
			if home, ok := f.config.Homes.Home(p.at, now); !ok || home != p.home {
				p.placed, p.mayRun, p.homelessSince = false, true, now
			}
		case p.mayRun && now >= p.homelessSince+f.config.Homeless:
			f.reply(p, job.Stopped{Reason: job.CellLost}, now)
		default:
			f.send(p, now)
		}
	}
}

func (f *Front) sorted() []*pending {
	all := make([]*pending, 0, len(f.jobs))
	for _, p := range f.jobs {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b *pending) int { return cmp.Compare(a.submission.Key.Seq, b.submission.Key.Seq) })
	return all
}

// Waiting lists the jobs that are at the cell's home, and the latest number given out.
func (f *Front) Waiting(c cell.ID) (seqs []uint64, last uint64) {
	for seq, p := range f.jobs {
		if p.at == c && p.placed {
			seqs = append(seqs, seq)
		}
	}
	slices.Sort(seqs)
	return seqs, f.seq
}
