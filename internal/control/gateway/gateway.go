// Package gateway decides for the jobs that callers have sent to this VM: which cells run
// each, what happens when a home answers, moves or is lost, and what the caller is told.
package gateway

import (
	"cmp"
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// Leaders tells which cells have a home that answers.
type Leaders interface {
	// Available lists cells in the order in which they are preferred.
	Available(now clock.Millis) []shard.ID
	// Leader returns the VM that is home of the cell.
	Leader(c shard.ID, now clock.Millis) (vm.Incarnation, bool)
}

// Config holds what a front is made of.
type Config struct {
	Self    vm.Incarnation
	Leaders Leaders
	// FailoverTimeout is how long a job whose home is lost waits for the next home.
	FailoverTimeout clock.Millis
}

// Gateway is the state of the jobs at this VM. It belongs to the control goroutine.
type Gateway struct {
	config  Config
	seq     uint64
	jobs    map[uint64]*request
	parts   map[uint64]*part
	actions []Action
}

// request is a job that a caller waits for. It is one part at first, and may be divided.
type request struct {
	job     job.Job
	attempt uint64
	arrived clock.Millis
	limit   clock.Millis
	// leaderWaitLimit is how long the job can wait for a home to begin with.
	leaderWaitLimit clock.Millis
	parts           []*part
	// started says that some part has been taken by a home, so that the job cannot be refused
	// any more.
	started bool
}

// part is the tasks of a job that one home runs.
type part struct {
	request    *request
	submission job.Submission
	shard      shard.ID
	leader     vm.Incarnation
	// submitted says that the submission is on its way to, or at, a home.
	submitted bool
	done      bool
	// mayHaveStarted says that an earlier home may have runs of the part.
	mayHaveStarted  bool
	leaderlessSince clock.Millis
}

// Action is what the front wants done. It is one of the types below.
type Action interface{ action() }

// Submit hands a job to the home of a cell.
type Submit struct {
	To         shard.ID
	Submission job.Submission
}

// Reply tells the caller how its job ended.
type Reply struct {
	Key     job.Key
	Job     job.ID
	Shard   shard.ID
	Parts   int
	Waited  clock.Millis
	Outcome job.Outcome
}

// ReleaseLease tells a home soon that nobody waits for a job any more.
type ReleaseLease struct{ Shard shard.ID }

func (Submit) action()       {}
func (Reply) action()        {}
func (ReleaseLease) action() {}

// New returns a front without jobs.
func New(c Config) *Gateway {
	return &Gateway{config: c, jobs: make(map[uint64]*request), parts: make(map[uint64]*part)}
}

// Len counts the jobs that callers wait for.
func (g *Gateway) Len() int { return len(g.jobs) }

// TakeActions returns and clears what is to be done.
func (g *Gateway) TakeActions() []Action {
	a := g.actions
	g.actions = nil
	return a
}

// Accept takes a job from a caller, who waits for limit at most. It waits for a home while its
// patience lasts. The key names it from now on.
func (g *Gateway) Accept(j job.Job, limit, patience, now clock.Millis) job.Key {
	r := &request{job: j, arrived: now, limit: limit, leaderWaitLimit: patience}
	p := g.newPart(r, now)
	r.attempt = p.submission.Key.Seq
	p.submission.Attempt, p.submission.Job = r.attempt, j
	g.jobs[r.attempt] = r
	g.send(p, now)
	return p.submission.Key
}

func (g *Gateway) newPart(r *request, now clock.Millis) *part {
	g.seq++
	p := &part{request: r, leaderlessSince: now, submission: job.Submission{
		Key: job.Key{Entry: g.config.Self, Seq: g.seq}, Attempt: r.attempt, Limit: r.limit,
	}}
	r.parts = append(r.parts, p)
	g.parts[g.seq] = p
	return p
}

// send hands a part to the home that is preferred, or refuses the job.
func (g *Gateway) send(p *part, now clock.Millis) {
	available := g.config.Leaders.Available(now)
	if p.mayHaveStarted {
		// Only the home of the same cell knows what runs of the part there are.
		if slices.Contains(available, p.shard) {
			g.sendTo(p, p.shard, now)
		}
		return
	}
	if len(available) == 0 {
		if now >= p.request.arrived+p.request.leaderWaitLimit {
			g.reply(p.request, p.shard, job.Refused{Reason: job.NoLeader, RetryAfter: clock.Second}, now)
		}
		return
	}
	g.sendTo(p, available[0], now)
}

func (g *Gateway) sendTo(p *part, c shard.ID, now clock.Millis) {
	home, ok := g.config.Leaders.Leader(c, now)
	if !ok {
		return
	}
	p.shard, p.leader, p.submitted = c, home, true
	s := p.submission
	s.Waited = now - p.request.arrived
	s.Adopt = p.mayHaveStarted
	g.actions = append(g.actions, Submit{To: c, Submission: s})
}

// reply ends a job. Parts that are still at homes are withdrawn.
func (g *Gateway) reply(r *request, at shard.ID, o job.Outcome, now clock.Millis) {
	if refused, ok := o.(job.Refused); ok && r.mayHaveStarted() {
		// The last home has run nothing, but another may have.
		o = job.Stopped{Reason: refused.Reason}
	}
	delete(g.jobs, r.attempt)
	for _, p := range r.parts {
		delete(g.parts, p.submission.Key.Seq)
		if p.submitted {
			g.actions = append(g.actions, ReleaseLease{Shard: p.shard})
		}
	}
	g.actions = append(g.actions, Reply{
		Key: job.Key{Entry: g.config.Self, Seq: r.attempt}, Job: r.job.ID, Shard: at, Parts: len(r.parts),
		Waited: now - r.arrived, Outcome: o,
	})
}

func (r *request) mayHaveStarted() bool {
	return r.started || slices.ContainsFunc(r.parts, func(p *part) bool { return p.mayHaveStarted || p.done || p.submitted })
}

// HandleAnswer takes in what a home, or the way to it, made of a submission.
func (g *Gateway) HandleAnswer(k job.Key, from shard.ID, o job.Outcome, now clock.Millis) {
	p := g.parts[k.Seq]
	if p == nil || p.shard != from || !p.submitted {
		return
	}
	p.submitted = false
	switch o := o.(type) {
	case job.Completed:
		p.done = true
		if !slices.ContainsFunc(p.request.parts, func(o *part) bool { return !o.done }) {
			g.reply(p.request, from, o, now)
		}
	case job.Failed, job.Stopped:
		g.reply(p.request, from, o, now)
	case job.Refused:
		g.handleRefusal(p, o, now)
	case job.Redirected:
		p.submission.Hops++
		if _, ok := g.config.Leaders.Leader(o.To, now); !ok || p.mayHaveStarted {
			g.reply(p.request, from, job.Refused{Reason: job.NoCapacityInTime, RetryAfter: clock.Second}, now)
			return
		}
		g.sendTo(p, o.To, now)
	case job.Divided:
		g.divide(p, o.Shares, now)
	case job.Moved:
		p.mayHaveStarted, p.leaderlessSince = true, now
	case job.Unanswered:
		p.leaderlessSince = now
		p.mayHaveStarted = true
	}
}

// divide hands the tasks of a job of one step to several cells.
func (g *Gateway) divide(p *part, shares []job.Share, now clock.Millis) {
	r := p.request
	tasks := 0
	for _, s := range shares {
		_, ok := g.config.Leaders.Leader(s.Cell, now)
		if !ok {
			tasks = -1
			break
		}
		tasks += s.Tasks
	}
	if p.mayHaveStarted || len(r.parts) != 1 || len(r.job.Steps) != 1 || tasks != r.job.Steps[0].Tasks {
		g.reply(r, p.shard, job.Refused{Reason: job.NoCapacityInTime, RetryAfter: clock.Second}, now)
		return
	}
	delete(g.parts, p.submission.Key.Seq)
	r.parts, r.started = nil, true
	first := 0
	for _, s := range shares {
		n := g.newPart(r, now)
		n.submission.Job = r.job
		n.submission.Job.Steps = slices.Clone(r.job.Steps)
		n.submission.Job.Steps[0].Tasks = s.Tasks
		n.submission.First, n.submission.Part = first, true
		first += s.Tasks
		g.sendTo(n, s.Cell, now)
	}
}

// handleRefusal passes a refusal on, unless it comes from a VM that is not home or from a message
// that was held up: those say nothing of the room there is.
func (g *Gateway) handleRefusal(p *part, o job.Refused, now clock.Millis) {
	switch o.Reason {
	case job.NotLeader, job.LateMessage, job.ShardLost:
		p.leaderlessSince = now
		if p.mayHaveStarted || p.submission.Part {
			return
		}
		available := g.config.Leaders.Available(now)
		other := slices.IndexFunc(available, func(c shard.ID) bool { return c != p.shard })
		if other >= 0 && p.submission.Hops < maxHops {
			p.submission.Hops++
			g.sendTo(p, available[other], now)
			return
		}
	default:
	}
	g.reply(p.request, p.shard, o, now)
}

// maxHops bounds how often a job is handed to another cell.
const maxHops = 3

// CallerDisconnected drops a job whose caller has left.
func (g *Gateway) CallerDisconnected(k job.Key, now clock.Millis) {
	if r := g.jobs[k.Seq]; r != nil {
		g.reply(r, r.parts[0].shard, job.Stopped{Reason: job.CallerDisconnected}, now)
	}
}

// EndAll ends all jobs because the VM has to exit. Their callers are told to send them again.
func (g *Gateway) EndAll(why job.Reason, now clock.Millis) {
	for _, r := range g.sorted() {
		g.reply(r, r.parts[0].shard, job.Stopped{Reason: why}, now)
	}
}

// resendDelay keeps a part from being sent in a loop to a home that does not answer.
const resendDelay = clock.Millis(30)

// Tick ends jobs whose caller waits no longer and looks after parts without a home.
func (g *Gateway) Tick(now clock.Millis) {
	for _, r := range g.sorted() {
		if now >= r.arrived+r.limit {
			g.reply(r, r.parts[0].shard, job.Stopped{Reason: job.TimeLimit}, now)
			continue
		}
		for _, p := range slices.Clone(r.parts) {
			if g.jobs[r.attempt] == nil {
				break
			}
			g.checkPart(p, now)
		}
	}
}

func (g *Gateway) checkPart(p *part, now clock.Millis) {
	switch {
	case p.done:
	case p.submitted:
		// A part at a home that is lost is without a home.
		if home, ok := g.config.Leaders.Leader(p.shard, now); !ok || home != p.leader {
			p.submitted, p.mayHaveStarted, p.leaderlessSince = false, true, now
		}
	case p.mayHaveStarted && now >= p.leaderlessSince+g.config.FailoverTimeout:
		g.reply(p.request, p.shard, job.Stopped{Reason: job.ShardLost}, now)
	case p.mayHaveStarted && now < p.leaderlessSince+resendDelay:
	default:
		g.send(p, now)
	}
}

func (g *Gateway) sorted() []*request {
	all := make([]*request, 0, len(g.jobs))
	for _, r := range g.jobs {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *request) int { return cmp.Compare(a.attempt, b.attempt) })
	return all
}

// Outstanding lists the submissions that are at the cell's home, and the latest number given out.
func (g *Gateway) Outstanding(c shard.ID) (seqs []uint64, last uint64) {
	for seq, p := range g.parts {
		if p.shard == c && p.submitted {
			seqs = append(seqs, seq)
		}
	}
	slices.Sort(seqs)
	return seqs, g.seq
}
