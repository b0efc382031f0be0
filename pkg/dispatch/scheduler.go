// Package dispatch decides which task starts when and on which endpoint: admission control,
// weighted fair queueing between owners, placement, outlier ejection of endpoints, and slot
// loans between VMs. It does no I/O and no encoding; the control goroutine calls it with the
// time of the current event.
package dispatch

import (
	"math/rand/v2"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
)

// Config holds the settings of a scheduler.
type Config struct {
	// MaxQueuedTasks bounds the waiting tasks of all owners together.
	MaxQueuedTasks int
	// Seed seeds the jitter of retry delays. Use a different one on each VM.
	Seed uint64
}

// Scheduler holds the queue and the free slots of one entry VM.
type Scheduler struct {
	config Config
	random *rand.Rand

	accounts map[owner.ID]*account
	// bundleOrder lists the accounts in the order of the bundle.
	bundleOrder  []*account
	lanes        [laneCount]indexedHeap[*lane]
	virtual      virtualTime
	shares       slotMillis
	urgent       indexedHeap[*urgentLane]
	urgentFair   virtualTime
	urgentFairAt clock.Millis

	jobs map[contract.JobRef]*queuedJob
	// freeJobs holds entries for reuse, and so does freeRunningTasks.
	freeJobs []*queuedJob
	sequence uint64
	waiting  int
	// work is the estimated slot time of all waiting tasks. activeShares is the sum of the
	// shares of the owners with waiting tasks.
	work         slotMillis
	urgentWork   slotMillis
	urgentTasks  int
	activeShares slotMillis
	dropped      []Dropped

	kinds         map[kindKey]*kind
	times         histogram
	longThreshold clock.Millis

	endpoints    map[datacentre.EndpointID]*endpoint
	endpointList []*endpoint
	// sweepThreshold is the number of endpoints above which unused ones are removed.
	sweepThreshold int
	blocked        []*endpoint
	placement      placement

	deferredLoans []deferredLoan
	returns       []SlotLoan
	// borrowable is the number of idle slots that peers would lend.
	borrowable datacentre.Slots
	peerLoad   PeerLoad

	// running has one list per lane. A task that reaches the threshold for long work moves
	// to the list of the long lane.
	running          [laneCount]runningList
	freeRunningTasks *runningTask
}

// New returns a scheduler without endpoints.
func New(c Config) *Scheduler {
	return &Scheduler{
		config:         c,
		random:         rand.New(rand.NewPCG(c.Seed, c.Seed)),
		accounts:       make(map[owner.ID]*account),
		jobs:           make(map[contract.JobRef]*queuedJob),
		kinds:          make(map[kindKey]*kind),
		longThreshold:  initialLongThreshold,
		sweepThreshold: minSweepSize,
		endpoints:      make(map[datacentre.EndpointID]*endpoint),
	}
}

// SetOwners applies the shares and limits of a new bundle. Jobs of an owner that is no
// longer in the bundle continue.
func (s *Scheduler) SetOwners(_ clock.Millis, owners []owner.Owner) {
	s.bundleOrder = s.bundleOrder[:0]
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
		s.bundleOrder = append(s.bundleOrder, a)
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

// SetSlots sets the number of this VM's own slots on an endpoint; 0 takes it out of
// use. The speed and health of the endpoint are kept.
func (s *Scheduler) SetSlots(now clock.Millis, e datacentre.EndpointID, capacity datacentre.Slots) {
	if len(s.endpointList) > s.sweepThreshold {
		s.removeUnusedEndpoints(now)
	}
	ep := s.endpoint(e)
	if ep.owned == capacity {
		return
	}
	s.placement.beginChange(ep)
	ep.owned = capacity
	s.placement.endChange(ep)
}

// removeUnusedEndpoints removes the state of endpoints that are no longer in use. Endpoints
// are replaced all the time and their IDs may not be used again, so their state would
// otherwise accumulate.
func (s *Scheduler) removeUnusedEndpoints(now clock.Millis) {
	kept := s.endpointList[:0]
	for _, ep := range s.endpointList {
		if ep.unused() && now-ep.drainedAt > drainRetention {
			delete(s.endpoints, ep.id)
			continue
		}
		kept = append(kept, ep)
	}
	clear(s.endpointList[len(kept):])
	s.endpointList = kept
	s.sweepThreshold = 2*len(kept) + minSweepSize
}

func (s *Scheduler) endpoint(e datacentre.EndpointID) *endpoint {
	ep, ok := s.endpoints[e]
	if !ok {
		ep = &endpoint{id: e, bucket: absent}
		s.endpoints[e] = ep
		s.endpointList = append(s.endpointList, ep)
	}
	return ep
}

// Next returns the next task to start, if there is one and a slot for it. The slot is
// occupied until Finish or Abandon.
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

// pickLane returns the lane of the owner with the lowest virtual time, among the lanes that
// may occupy more slots.
func (s *Scheduler) pickLane() *lane {
	var best *lane
	for i := range s.lanes {
		if s.lanes[i].empty() || !s.mayStart(laneIndex(i)) {
			continue
		}
		if l := s.lanes[i].top(); best == nil || l.precedes(best) {
			best = l
		}
	}
	return best
}

// pickJob returns the next job of the lane. It returns nil if it has moved the job instead:
// to the lane that its kind belongs to by now, out of the queue if the job cannot meet its
// deadline and none of its tasks has started, or behind the other jobs of its class if it is
// late. A late job at the head of the queue would delay the jobs behind it past their
// deadlines too.
func (s *Scheduler) pickJob(now clock.Millis, l *lane) *queuedJob {
	j := l.classes[l.nextClass(now)].jobs.top()
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
	l.recordStart(now, j.rank)
	s.virtual = max(s.virtual, a.virtual)
	task := contract.TaskRef{Job: j.ref, Index: j.takeTask()}
	s.addWaiting(j, -1)
	if j.waiting() == 0 {
		s.unlink(j)
	}
	j.started = true
	j.running++
	a.recordStart(now - j.admitted)

	r := s.newRunningTask()
	r.task, r.job, r.startedAt = task, j, now
	r.endpoint = s.occupySlot(s.placement.fastest())
	s.running[j.lane].push(r)
	r.charged = min(s.estimate(j.kind), maxInitialCharge)
	s.charge(a, r.charged)
	if j.rank == 0 {
		s.chargeUrgent(now, a, r.charged)
	}
	return Start{Task: task, Endpoint: r.endpoint.id, handle: taskHandle{task: r, generation: r.generation}}
}

func (s *Scheduler) occupySlot(ep *endpoint) *endpoint {
	s.placement.beginChange(ep)
	ep.used++
	s.placement.endChange(ep)
	s.placement.rotate(ep)
	return ep
}

// charge charges slot time of this VM to the owner; a negative charge corrects an estimate.
func (s *Scheduler) charge(a *account, work slotMillis) {
	a.charged += work
	s.advance(a, a.toVirtualTime(work))
}

// advance adds to the owner's virtual time and restores the order between owners.
func (s *Scheduler) advance(a *account, by virtualTime) {
	a.virtual += by
	for i := range a.lanes {
		if a.lanes[i].pos != absent {
			s.lanes[i].fix(&a.lanes[i])
		}
	}
}

// Finish frees the slot of a start and records the result. It queues the task again if the
// endpoint did not start it, and reports whether it did so. A second Finish of the same
// start has no effect.
func (s *Scheduler) Finish(now clock.Millis, st Start, result contract.AttemptResult) (requeued bool) {
	r := st.handle.task
	if r == nil || r.generation != st.handle.generation {
		return false
	}
	j, ep := r.job, r.endpoint
	runTime := now - r.startedAt
	s.releaseSlot(r)
	j.running--
	_, requeued = result.(contract.NotStarted)
	if requeued {
		s.charge(j.account, -r.charged)
		s.requeue(now, j, r.task.Index)
	} else {
		s.charge(j.account, slotMillis(runTime)-r.charged)
		j.account.slotTime += slotMillis(runTime)
	}
	s.recordResult(now, j, ep, runTime, result)
	s.removeIfEnded(j)
	s.recycleRunningTask(r)
	return requeued
}

// Abandon frees the slot of a start that was never sent. The task is not queued again, and
// no failure is recorded for the endpoint.
func (s *Scheduler) Abandon(_ clock.Millis, st Start) {
	r := st.handle.task
	if r == nil || r.generation != st.handle.generation {
		return
	}
	s.releaseSlot(r)
	r.job.running--
	s.charge(r.job.account, -r.charged)
	s.removeIfEnded(r.job)
	s.recycleRunningTask(r)
}

func (s *Scheduler) releaseSlot(r *runningTask) {
	r.list.remove(r)
	ep := r.endpoint
	if ep.expired > 0 {
		ep.expired--
		s.returns = append(s.returns, SlotLoan{Endpoint: ep.id, Slots: 1})
		return
	}
	s.placement.beginChange(ep)
	ep.used--
	s.placement.endChange(ep)
}

// Cancel removes and returns the waiting tasks of a job. A task in flight that the endpoint
// then turns out not to have started is returned by the next Cancel.
func (s *Scheduler) Cancel(_ clock.Millis, job contract.JobRef) []contract.TaskIndex {
	j, ok := s.jobs[job]
	if !ok {
		return nil
	}
	if j.waiting() > 0 && !j.ended {
		s.dequeue(j)
	}
	dropped := j.dropWaiting()
	s.removeIfEnded(j)
	return dropped
}
