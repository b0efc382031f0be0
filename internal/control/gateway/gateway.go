// Package gateway makes the decisions for jobs that callers have sent to this VM: which shards run
// a job, what follows when a leader answers, moves or fails, and which reply the caller receives.
package gateway

import (
	"cmp"
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/link"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// Leaders looks up the shards whose leader responds.
type Leaders interface {
	// Available lists the shards with a responsive leader in order of preference.
	Available(now clock.Millis) []shard.ID
	// Destination returns the shard that a job which has run nowhere is sent to, unless there is none now.
	Destination(j job.ID, now clock.Millis) (shard.ID, bool)
	// Leader returns the VM that leads the shard.
	Leader(id shard.ID, now clock.Millis) (vm.Incarnation, bool)
	// ListedSince returns a time from which on each endpoint that the leader uses was in the store's list,
	// or 0 if that is unknown.
	ListedSince(id shard.ID) clock.Millis
}

// Config holds the dependencies and time limits of a Gateway.
type Config struct {
	Self       vm.Incarnation
	DataCentre datacentre.ID
	Leaders    Leaders
	// FailoverTimeout is how long a job whose leader has failed waits for the next leader.
	FailoverTimeout clock.Millis
	// MaxJobs bounds the jobs that callers wait for; 0 means no bound. Memory is what they may take; nil means as
	// much as they take.
	MaxJobs int
	Memory  *job.MemoryBudget
}

// Gateway holds the jobs that callers of this VM wait for. It belongs to the control goroutine.
type Gateway struct {
	config Config
	// seq is the latest sequence number issued. jobs are by the number of their first submission,
	// parts by their own.
	seq   uint64
	jobs  map[uint64]*request
	parts map[uint64]*part
	// requests has the request of each job. There is one at most, so that a job has no attempts at
	// two shards that do not know of each other.
	requests map[job.ID]*request
	actions  []Action
}

// request is a job that a caller waits for. It starts as one part and may be divided among shards.
type request struct {
	job job.Job
	// firstSeq is the Seq of the key of its first submission.
	firstSeq uint64
	arrived  clock.Millis
	limit    clock.Millis
	// leaderWaitLimit is how long the job may wait for the first available leader.
	leaderWaitLimit clock.Millis
	parts           []*part
	// divided says that the job has been divided among shards. Some of its tasks may have run, so
	// it can no longer be refused.
	divided bool
	// memory is what it has taken of the budget.
	memory link.Bytes
}

// part is the share of a job's tasks that one shard runs.
type part struct {
	request    *request
	submission job.Submission
	shard      shard.ID
	leader     vm.Incarnation
	// submitted says that the submission has been sent to a leader and its outcome is outstanding.
	submitted bool
	done      bool
	// mayHaveStarted says that an earlier leader may have started attempts of the part.
	mayHaveStarted bool
	// startedBy is the VM that may have started them, and severalStarted says that others may too.
	startedBy      vm.Incarnation
	severalStarted bool
	// listedSince is a time from which on each endpoint with such attempts was in the store's list, or 0
	// if that is unknown.
	listedSince     clock.Millis
	leaderlessSince clock.Millis
}

// Action is a step that the gateway requests. It is one of the types below.
type Action interface{ action() }

// Submit sends a job to the leader of a shard.
type Submit struct {
	To         shard.ID
	Leader     vm.Incarnation
	Submission job.Submission
}

// Responder is a VM that answers a submission as the leader of a shard.
type Responder struct {
	Shard shard.ID
	VM    vm.Incarnation
}

// Reply returns the outcome of a job to its caller. Shard is the one whose answer ended the job,
// or else that of its first part.
type Reply struct {
	Key     job.Key
	Job     job.ID
	Shard   shard.ID
	Parts   int
	Waited  clock.Millis
	Outcome job.Outcome
}

// ReleaseLease renews the job leases at a shard's leader ahead of time. The renewal leaves out a
// job whose caller no longer waits, so that the leader stops its attempts early.
type ReleaseLease struct{ Shard shard.ID }

func (Submit) action()       {}
func (Reply) action()        {}
func (ReleaseLease) action() {}

// New returns a gateway without jobs.
func New(c Config) *Gateway {
	if c.Memory == nil {
		c.Memory = job.NewMemoryBudget(0)
	}
	return &Gateway{config: c, jobs: make(map[uint64]*request), parts: make(map[uint64]*part), requests: make(map[job.ID]*request)}
}

// Len counts the jobs that callers wait for.
func (g *Gateway) Len() int { return len(g.jobs) }

// TakeActions returns the pending actions and clears them.
func (g *Gateway) TakeActions() []Action {
	a := g.actions
	g.actions = nil
	return a
}

// Accept adds a job and returns its key. The caller waits for limit at most. The job is refused if
// no leader is available within leaderWaitLimit. It replaces an earlier request of the same job, whose
// caller has sent it again on another connection. It is refused while there is another job of its ID,
// since tasks are known by the ID alone, and if there are too many jobs.
func (g *Gateway) Accept(j job.Job, limit, leaderWaitLimit, now clock.Millis) job.Key {
	r := &request{job: j, arrived: now, limit: limit, leaderWaitLimit: leaderWaitLimit}
	p := g.newPart(r, now)
	r.firstSeq = p.submission.Key.Seq
	p.submission.Attempt, p.submission.Job = r.firstSeq, j
	earlier := g.requests[j.ID]
	g.jobs[r.firstSeq] = r
	if earlier != nil && earlier.job.Origin != j.Origin {
		g.reply(r, "", job.Refused{Reason: job.IDInUse, RetryAfter: clock.Second}, now)
		return p.submission.Key
	}
	if earlier == nil && !g.takeMemory(r) {
		g.reply(r, "", job.Refused{Reason: job.TooManyJobs, RetryAfter: clock.Second}, now)
		return p.submission.Key
	}
	g.requests[j.ID] = r
	if earlier != nil {
		g.replace(earlier, p, now)
		return p.submission.Key
	}
	g.send(p, now)
	return p.submission.Key
}

// takeMemory reports whether there may be another job, and takes the memory for it.
func (g *Gateway) takeMemory(r *request) bool {
	// The new one is among the jobs already.
	if g.config.MaxJobs > 0 && len(g.jobs) > g.config.MaxJobs {
		return false
	}
	memory := r.job.Footprint()
	if !g.config.Memory.Take(memory) {
		return false
	}
	r.memory = memory
	return true
}

// replace ends an earlier request of a job, and submits the job again where attempts of the earlier
// submission may be running: only the leader of that shard knows when they have ended.
func (g *Gateway) replace(earlier *request, p *part, now clock.Millis) {
	open := slices.DeleteFunc(slices.Clone(earlier.parts), func(e *part) bool { return e.done || !e.submitted && !e.mayHaveStarted })
	g.reply(earlier, earlier.parts[0].shard, job.Stopped{Reason: job.Superseded}, now)
	if !g.takeMemory(p.request) {
		g.reply(p.request, earlier.parts[0].shard, job.Stopped{Reason: job.TooManyJobs}, now)
		return
	}
	if len(open) == 0 {
		g.send(p, now)
		return
	}
	p.shard, p.listedSince = open[0].shard, open[0].listedSince
	for _, e := range open {
		p.listedSince = min(p.listedSince, e.listedSince)
	}
	if slices.ContainsFunc(open, func(e *part) bool { return e.shard != p.shard }) {
		// No leader knows all attempts. They have ended when the caller sends the job once more.
		p.mayHaveStarted = true
		g.reply(p.request, p.shard, job.Stopped{Reason: job.Superseded}, now)
		return
	}
	leader, ok := g.config.Leaders.Leader(p.shard, now)
	if ok && !slices.ContainsFunc(open, func(e *part) bool { return e.mayHaveStarted || e.leader != leader }) {
		// The leader knows the attempts, so none has to be adopted.
		listedSince := p.listedSince
		g.sendTo(p, p.shard, now)
		p.mayHaveStarted, p.listedSince = true, min(p.listedSince, listedSince)
		return
	}
	p.mayHaveStarted = true
	g.send(p, now)
}

func (g *Gateway) newPart(r *request, now clock.Millis) *part {
	g.seq++
	p := &part{request: r, leaderlessSince: now, submission: job.Submission{
		Key: job.Key{Entry: g.config.Self, Seq: g.seq}, Attempt: r.firstSeq, Limit: r.limit, From: g.config.DataCentre,
	}}
	r.parts = append(r.parts, p)
	g.parts[g.seq] = p
	return p
}

// send submits a part to the preferred shard, or refuses the job if no leader has been available
// within the job's wait limit.
func (g *Gateway) send(p *part, now clock.Millis) {
	if p.mayHaveStarted {
		// Only a leader of the same shard can adopt the attempts that may exist.
		if slices.Contains(g.config.Leaders.Available(now), p.shard) {
			g.sendTo(p, p.shard, now)
		}
		return
	}
	if p.submission.Part {
		if permitted := p.permitted(g.config.Leaders.Available(now)); len(permitted) > 0 {
			g.sendTo(p, permitted[0], now)
			return
		}
		g.checkFailover(p, now)
		return
	}
	to, ok := g.config.Leaders.Destination(p.request.job.ID, now)
	if !ok {
		if now >= p.request.arrived+p.request.leaderWaitLimit {
			g.reply(p.request, p.shard, job.Refused{Reason: job.NoLeader, RetryAfter: clock.Second}, now)
		}
		return
	}
	g.sendTo(p, to, now)
}

// permitted returns the shards to which a part of a divided job may be sent that has not started: its own if it is
// available, or else those without another part of the job. The parts of a job run at different endpoints, since a
// leader bounds the tasks of a step at an endpoint for the submissions that it knows.
func (p *part) permitted(available []shard.ID) []shard.ID {
	if slices.Contains(available, p.shard) {
		return []shard.ID{p.shard}
	}
	return slices.DeleteFunc(available, func(id shard.ID) bool {
		return slices.ContainsFunc(p.request.parts, func(o *part) bool { return o != p && o.shard == id })
	})
}

func (g *Gateway) sendTo(p *part, id shard.ID, now clock.Millis) {
	leader, ok := g.config.Leaders.Leader(id, now)
	if !ok {
		return
	}
	p.shard, p.leader, p.submitted = id, leader, true
	s := p.submission
	s.Waited = now - p.request.arrived
	s.Adopt = p.mayHaveStarted
	if p.mayHaveStarted && !p.severalStarted {
		s.Earlier = p.startedBy
	}
	if p.mayHaveStarted && p.listedSince != 0 {
		s.EarlierListAge = max(now-p.listedSince, 1)
	}
	p.recordLeader(leader, g.config.Leaders.ListedSince(id))
	g.actions = append(g.actions, Submit{To: id, Leader: leader, Submission: s})
}

// recordLeader records that a leader has the part. One that has refused it has started nothing.
func (p *part) recordLeader(leader vm.Incarnation, listedSince clock.Millis) {
	if !p.mayHaveStarted {
		p.startedBy, p.severalStarted, p.listedSince = leader, false, listedSince
		return
	}
	p.listedSince = min(p.listedSince, listedSince)
	if p.startedBy != leader {
		p.severalStarted = true
	}
}

// reply ends a job and releases the leases of parts whose outcome is outstanding.
func (g *Gateway) reply(r *request, id shard.ID, o job.Outcome, now clock.Millis) {
	if refused, ok := o.(job.Refused); ok && r.mayHaveStarted() {
		// This leader has run nothing, but another one may have.
		o = job.Stopped{Reason: refused.Reason}
	}
	delete(g.jobs, r.firstSeq)
	g.config.Memory.Release(r.memory)
	if g.requests[r.job.ID] == r {
		delete(g.requests, r.job.ID)
	}
	for _, p := range r.parts {
		delete(g.parts, p.submission.Key.Seq)
		if p.submitted {
			g.actions = append(g.actions, ReleaseLease{Shard: p.shard})
		}
	}
	g.actions = append(g.actions, Reply{
		Key: job.Key{Entry: g.config.Self, Seq: r.firstSeq}, Job: r.job.ID, Shard: id, Parts: len(r.parts),
		Waited: now - r.arrived, Outcome: o,
	})
}

func (r *request) mayHaveStarted() bool {
	return r.divided || slices.ContainsFunc(r.parts, func(p *part) bool { return p.mayHaveStarted || p.done || p.submitted })
}

// HandleAnswer processes the outcome of a submission: the leader's answer or a failed call. An
// earlier leader, whose answer is late, can only say that the part has ended; otherwise the outcome
// at the present leader counts.
func (g *Gateway) HandleAnswer(k job.Key, from Responder, o job.Outcome, now clock.Millis) {
	p := g.parts[k.Seq]
	if p == nil || p.shard != from.Shard || !p.submitted || p.leader != from.VM && !isEnd(o) {
		return
	}
	// After the answer of an earlier leader, the present one still has the part.
	p.submitted = p.leader != from.VM
	switch o := o.(type) {
	case job.Completed:
		p.done = true
		if !slices.ContainsFunc(p.request.parts, func(o *part) bool { return !o.done }) {
			g.reply(p.request, p.shard, o, now)
		} else if p.submitted {
			p.submitted = false
			g.actions = append(g.actions, ReleaseLease{Shard: p.shard})
		}
	case job.Failed, job.Stopped, job.Cancelled:
		g.reply(p.request, p.shard, o, now)
	case job.Refused:
		g.handleRefusal(p, o, now)
	case job.Redirected:
		p.submission.Hops++
		if _, ok := g.config.Leaders.Leader(o.To, now); !ok || p.mayHaveStarted {
			g.reply(p.request, p.shard, job.Refused{Reason: job.NoCapacityInTime, RetryAfter: clock.Second}, now)
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

// isEnd reports whether an outcome follows from the ends of tasks alone, so that no other leader can
// change it.
func isEnd(o job.Outcome) bool {
	switch o.(type) {
	case job.Completed, job.Failed, job.Cancelled:
		return true
	}
	return false
}

// divide distributes the tasks of a job with a single step over several shards.
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
	r.parts, r.divided = nil, true
	first := 0
	for _, s := range shares {
		np := g.newPart(r, now)
		np.submission.Job = r.job
		np.submission.Job.Steps = slices.Clone(r.job.Steps)
		np.submission.Job.Steps[0].Tasks = s.Tasks
		np.submission.First, np.submission.Part, np.shard = first, true, s.Cell
		first += s.Tasks
		g.sendTo(np, s.Cell, now)
	}
}

// handleRefusal returns a refusal to the caller. A refusal because the VM does not lead the shard
// or because a message was late does not depend on capacity: a job is then sent to another shard,
// and Tick resends a part of a divided job and one whose tasks may have started.
func (g *Gateway) handleRefusal(p *part, o job.Refused, now clock.Millis) {
	switch o.Reason {
	case job.NotLeader, job.LateMessage, job.ShardLost:
		p.leaderlessSince = now
		if p.mayHaveStarted || p.submission.Part {
			return
		}
		available := g.config.Leaders.Available(now)
		other := slices.IndexFunc(available, func(id shard.ID) bool { return id != p.shard })
		if other >= 0 && p.submission.Hops < maxResubmitHops {
			p.submission.Hops++
			g.sendTo(p, available[other], now)
			return
		}
	default:
	}
	g.reply(p.request, p.shard, o, now)
}

// maxResubmitHops is the number of hops after which a refused job is not sent to another shard.
const maxResubmitHops = 3

// CallerDisconnected ends the job of a caller that has closed its connection.
func (g *Gateway) CallerDisconnected(k job.Key, now clock.Millis) {
	if r := g.jobs[k.Seq]; r != nil {
		g.reply(r, r.parts[0].shard, job.Stopped{Reason: job.CallerDisconnected}, now)
	}
}

// Has reports whether a job has a request that waits for its end.
func (g *Gateway) Has(j job.ID) bool { return g.requests[j] != nil }

// Cancel ends a job that its caller has cancelled, and reports whether it was here.
func (g *Gateway) Cancel(c job.Cancellation, now clock.Millis) bool {
	r := g.requests[c.Job]
	if r == nil || !c.Covers(&r.job) {
		return false
	}
	g.reply(r, r.parts[0].shard, job.Cancelled{}, now)
	return true
}

// EndAll ends all jobs because the VM has to exit. The reply asks callers to send them again.
func (g *Gateway) EndAll(reason job.Reason, now clock.Millis) {
	for _, r := range g.sorted() {
		g.reply(r, r.parts[0].shard, job.Stopped{Reason: reason}, now)
	}
}

// resendDelay prevents a tight loop of submissions to a leader that does not answer.
const resendDelay = clock.Millis(30)

// Tick ends jobs whose time limit has passed, and sends the parts that wait for a first leader or
// have lost theirs.
func (g *Gateway) Tick(now clock.Millis) {
	for _, r := range g.sorted() {
		if now >= r.arrived+r.limit {
			g.reply(r, r.parts[0].shard, job.Stopped{Reason: job.TimeLimit}, now)
			continue
		}
		for _, p := range slices.Clone(r.parts) {
			if g.jobs[r.firstSeq] == nil {
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
		// The leader that received the part has failed or has been replaced.
		if leader, ok := g.config.Leaders.Leader(p.shard, now); !ok || leader != p.leader {
			p.submitted, p.mayHaveStarted, p.leaderlessSince = false, true, now
		}
	case p.mayHaveStarted && g.checkFailover(p, now):
	case (p.mayHaveStarted || p.submission.Part) && now < p.leaderlessSince+resendDelay:
	default:
		g.send(p, now)
	}
}

// checkFailover ends the job of a part that has waited too long for the next leader of its shard. It reports
// whether it did.
func (g *Gateway) checkFailover(p *part, now clock.Millis) bool {
	if now < p.leaderlessSince+g.config.FailoverTimeout {
		return false
	}
	g.reply(p.request, p.shard, job.Stopped{Reason: job.ShardLost}, now)
	return true
}

// sorted returns the requests in the order of their arrival.
func (g *Gateway) sorted() []*request {
	all := make([]*request, 0, len(g.jobs))
	for _, r := range g.jobs {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *request) int { return cmp.Compare(a.firstSeq, b.firstSeq) })
	return all
}

// Outstanding lists the sequence numbers of the parts that the leader of the shard may be running for
// callers that wait, and the latest sequence number issued. A part that will be submitted again is
// one of them: the call may have failed at a leader that goes on.
func (g *Gateway) Outstanding(id shard.ID) (seqs []uint64, last uint64) {
	for seq, p := range g.parts {
		if p.shard == id && !p.done && (p.submitted || p.mayHaveStarted) {
			seqs = append(seqs, seq)
		}
	}
	slices.Sort(seqs)
	return seqs, g.seq
}
