// Package dispatch decides which task runs where and when. It does no I/O and knows no
// encoding; the control goroutine calls it with the time of the event at hand.
package dispatch

import (
	"math/rand/v2"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
)

// Config bounds a scheduler.
type Config struct {
	// MaxQueuedTasks bounds the tasks of all owners that wait.
	MaxQueuedTasks int
	// Seed spreads retry hints; VMs with different seeds give different hints.
	Seed uint64
}

// Scheduler holds the queue and the free slots of one entry VM.
type Scheduler struct {
	config Config
	random *rand.Rand

	accounts map[owner.ID]*account
	// order lists the accounts in the order of the bundle.
	order   []*account
	lanes   [laneCount]indexedHeap[*lane]
	virtual virtualTime
	shares  slotMillis
	urgent  indexedHeap[*urgentLane]
	fair    virtualTime
	fairAt  clock.Millis

	jobs     map[contract.JobRef]*queuedJob
	spare    []*queuedJob
	sequence uint64
	waiting  int
	// work is the estimated slot time of all waiting tasks, and activeShares the sum of
	// the shares of the owners that they belong to.
	work         slotMillis
	urgentWork   slotMillis
	urgentTasks  int
	activeShares slotMillis
	dropped      []Dropped

	kinds    map[kindKey]*kind
	times    histogram
	longFrom clock.Millis

	endpoints map[datacentre.EndpointID]*endpoint
	all       []*endpoint
	// sweepAt is the number of endpoints at which those that are gone are forgotten.
	sweepAt   int
	held      []*endpoint
	placement placement

	promises []promise
	returns  []SlotLoan
	// borrowable slots are idle at peers.
	borrowable datacentre.Slots
	peersLoad  PeerLoad

	// running has a list for each lane; a task that outruns short work moves to long.
	running  [laneCount]runningList
	idleRuns *runningTask
}

// New returns a scheduler without endpoints.
func New(c Config) *Scheduler {
	return &Scheduler{
		config:    c,
		random:    rand.New(rand.NewPCG(c.Seed, c.Seed)),
		accounts:  make(map[owner.ID]*account),
		jobs:      make(map[contract.JobRef]*queuedJob),
		kinds:     make(map[kindKey]*kind),
		longFrom:  initialLongFrom,
		sweepAt:   leastSweep,
		endpoints: make(map[datacentre.EndpointID]*endpoint),
	}
}

// SetOwners takes over the shares and classes of a new bundle. The jobs of an owner that
// is no longer in it end as they would have.
func (s *Scheduler) SetOwners(_ clock.Millis, owners []owner.Owner) {
	s.order = s.order[:0]
	s.shares, s.activeShares = 0, 0
	listed := make(map[owner.ID]bool, len(owners))
	for _, o := range owners {
		a, ok := s.accounts[o.ID]
		if !ok {
			a = newAccount(o, len(s.accounts))
			a.usage.Owner = o.ID
			s.accounts[o.ID] = a
		}
		a.owner = o
		listed[o.ID] = true
		s.order = append(s.order, a)
		s.shares += a.share()
	}
	for id, a := range s.accounts {
		if !listed[id] && a.waiting == 0 {
			delete(s.accounts, id)
		}
		if a.waiting > 0 {
			s.activeShares += a.share()
		}
	}
}

// SetSlots sets how many slots of an endpoint are this VM's own; 0 takes the endpoint
// away. What has been learnt of the endpoint stays.
func (s *Scheduler) SetSlots(now clock.Millis, e datacentre.EndpointID, capacity datacentre.Slots) {
	if len(s.all) > s.sweepAt {
		s.forgetMachines(now)
	}
	m := s.endpoint(e)
	if m.owned == capacity {
		return
	}
	s.placement.before(m)
	m.owned = capacity
	s.placement.after(m)
}

// forgetMachines drops what is known of endpoints that are gone. Endpoints are replaced
// all the time, and their names may not come back.
func (s *Scheduler) forgetMachines(now clock.Millis) {
	kept := s.all[:0]
	for _, m := range s.all {
		if m.gone() && now-m.drainedAt > drainMemory {
			delete(s.endpoints, m.id)
			continue
		}
		kept = append(kept, m)
	}
	clear(s.all[len(kept):])
	s.all = kept
	s.sweepAt = 2*len(kept) + leastSweep
}

func (s *Scheduler) endpoint(e datacentre.EndpointID) *endpoint {
	m, ok := s.endpoints[e]
	if !ok {
		m = &endpoint{id: e, bucket: absent}
		s.endpoints[e] = m
		s.all = append(s.all, m)
	}
	return m
}

// Next takes the next task to start, as long as there is one and a slot for it. The
// slot is held until Finish.
func (s *Scheduler) Next(now clock.Millis) (Start, bool) {
	for s.placement.free > 0 && s.waiting > 0 {
		l := s.pickUrgent(now)
		if l == nil {
			l = s.pickLane()
		}
		if l == nil {
			return Start{}, false
		}
		if j := s.pickJob(now, l); j != nil {
			return s.start(now, l, j), true
		}
	}
	return Start{}, false
}

// pickLane returns the lane of the owner with the least virtual time, among the lanes
// that may hold more slots.
func (s *Scheduler) pickLane() *lane {
	var best *lane
	for i := range s.lanes {
		if s.lanes[i].empty() || !s.mayStart(laneIndex(i)) {
			continue
		}
		if l := s.lanes[i].top(); best == nil || l.goesBefore(best) {
			best = l
		}
	}
	return best
}

// pickJob returns the job of the lane whose turn it is, or nothing if it moved the job
// elsewhere first: to the lane that its kind has turned out to belong to, out of the
// queue if it can no longer end in time and nothing of it has started, or behind the
// others if it is late. Late jobs in front would make those behind them late too.
func (s *Scheduler) pickJob(now clock.Millis, l *lane) *queuedJob {
	j := l.classes[l.choose(now)].jobs.top()
	if j.kind.lane() != j.lane {
		s.dequeue(j)
		j.lane = j.kind.lane()
		s.enqueue(now, j)
		return nil
	}
	if j.late || j.probe || now+clock.Millis(j.kind.mean/2) <= j.deadline {
		return j
	}
	if !j.started {
		s.shed(j, "the deadline can no longer be met")
		return nil
	}
	j.late = true
	l.classes[j.rank].jobs.fix(j)
	return nil
}

func (s *Scheduler) start(now clock.Millis, l *lane, j *queuedJob) Start {
	a := j.account
	l.served(now, j.rank)
	s.virtual = max(s.virtual, a.virtual)
	task := contract.TaskRef{Job: j.ref, Index: j.take()}
	s.addWaiting(j, -1)
	if j.waiting() == 0 {
		s.unlink(j)
	}
	j.started = true
	j.running++
	a.started(now - j.admitted)

	r := s.newRun()
	r.task, r.job, r.startedAt = task, j, now
	r.endpoint = s.hold(s.placement.fastest())
	s.running[j.lane].push(r)
	r.charged = min(s.estimate(j.kind), chargeAhead)
	s.charge(a, r.charged)
	if j.rank == 0 {
		s.chargeUrgent(now, a, r.charged)
	}
	return Start{Task: task, Endpoint: r.endpoint.id, run: runHandle{task: r, generation: r.generation}}
}

func (s *Scheduler) hold(m *endpoint) *endpoint {
	s.placement.before(m)
	m.used++
	s.placement.after(m)
	s.placement.rotate(m)
	return m
}

// charge books slot time of this VM to the owner; a negative charge corrects an estimate.
func (s *Scheduler) charge(a *account, work slotMillis) {
	a.charged += work
	s.advance(a, a.virtualOf(work))
}

// advance moves the owner on in virtual time and restores the order between owners.
func (s *Scheduler) advance(a *account, by virtualTime) {
	a.virtual += by
	for i := range a.lanes {
		if a.lanes[i].pos != absent {
			s.lanes[i].fix(&a.lanes[i])
		}
	}
}

// Finish frees the slot of a start. A task that was not started is queued again; it
// returns whether that is so. A second Finish of the same start changes nothing.
func (s *Scheduler) Finish(now clock.Millis, st Start, result contract.AttemptResult) (requeued bool) {
	r := st.run.task
	if r == nil || r.generation != st.run.generation {
		return false
	}
	j, m := r.job, r.endpoint
	span := now - r.startedAt
	s.release(r)
	j.running--
	_, requeued = result.(contract.NotStarted)
	if requeued {
		s.charge(j.account, -r.charged)
		s.requeue(now, j, r.task.Index)
	} else {
		s.charge(j.account, slotMillis(span)-r.charged)
		j.account.slotTime += slotMillis(span)
	}
	s.learn(now, j, m, span, result)
	s.forgetIfEnded(j)
	s.freeRun(r)
	return requeued
}

// Abandon frees the slot of a start that was never sent. The task is not queued again,
// and the endpoint is not blamed.
func (s *Scheduler) Abandon(_ clock.Millis, st Start) {
	r := st.run.task
	if r == nil || r.generation != st.run.generation {
		return
	}
	s.release(r)
	r.job.running--
	s.charge(r.job.account, -r.charged)
	s.forgetIfEnded(r.job)
	s.freeRun(r)
}

func (s *Scheduler) release(r *runningTask) {
	r.list.remove(r)
	m := r.endpoint
	if m.overdue > 0 {
		m.overdue--
		s.returns = append(s.returns, SlotLoan{Endpoint: m.id, Slots: 1})
		return
	}
	s.placement.before(m)
	m.used--
	s.placement.after(m)
}

// Cancel drops the tasks of a job that wait, and returns them. A running task that was not
// started after all is returned by a further Cancel.
func (s *Scheduler) Cancel(_ clock.Millis, job contract.JobRef) []contract.TaskIndex {
	j, ok := s.jobs[job]
	if !ok {
		return nil
	}
	if j.waiting() > 0 && !j.ended {
		s.dequeue(j)
	}
	dropped := j.drop()
	s.forgetIfEnded(j)
	return dropped
}
