package leader

import (
	"cmp"
	"math"
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/control/admission"
	"github.com/sequoiacart/sequoiacart/internal/world/crash"
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// enqueue inserts a job with waiting tasks into the queue, ordered by sortTime.
func (l *Leader) enqueue(j *jobState) {
	if j.answered || slices.Contains(l.queue, j) {
		return
	}
	index, _ := slices.BinarySearchFunc(l.queue, j, compareJobs)
	l.queue = slices.Insert(l.queue, index, j)
}

func (l *Leader) dequeue(j *jobState) {
	if i := slices.Index(l.queue, j); i >= 0 {
		l.queue = slices.Delete(l.queue, i, i+1)
		l.releaseHolds(j)
	}
}

// dispatch starts waiting tasks wherever there is capacity. It runs after each event, at peak load
// with dozens of queued jobs and hardly any free capacity, so it selects the endpoints with
// capacity once per round.
func (l *Leader) dispatch() {
	l.releaseEndpoints()
	if len(l.queue) == 0 {
		l.heldSince = 0
		return
	}
	if held := l.holdsStarts(); held || l.resuming || l.awaitsCancellations || l.isClosed() {
		return
	}
	r := l.newRound()
	for i := 0; i < len(l.queue); {
		j := l.queue[i]
		if l.entryVM(j.Key.Entry).leaseEnd <= l.now {
			// Its entry VM may have handed the job to another leader.
			i++
			continue
		}
		if j.Adopt && len(l.orphans) > 0 {
			l.adoptOrphans(j)
			l.completeAdopted(j)
		}
		if !l.dispatchJob(j, &r) {
			l.dequeue(j)
			l.recordStart(j)
		}
		if i < len(l.queue) && l.queue[i] == j {
			i++
		}
	}
}

// dispatchJob starts the tasks of a job that find capacity and reports whether any are left. The tasks of a step are
// looked at until one finds no capacity, unless one of the job may crash its endpoint.
func (l *Leader) dispatchJob(j *jobState, r *dispatchRound) bool {
	minSpeed := j.plan.MinSpeed(l.now)
	mayHaveSuspects, hasSuspects := j.unsuspectedAt != l.crashes.Revision(), false
	for i := range j.Job.Steps {
		isReady := j.isStepReady(i)
		if j.waitingByStep[i] == 0 || !isReady && !mayHaveSuspects {
			continue
		}
		r.beginStep()
		for _, t := range j.waitingTasks(i) {
			if l.starts.isFull() {
				return true
			}
			if r.stepIsFull && !mayHaveSuspects {
				break
			}
			if t.phase != waiting {
				continue
			}
			verdict := crash.Unsuspected
			if mayHaveSuspects {
				verdict = l.verdict(t)
			}
			switch verdict {
			case crash.Deadly:
				l.giveUp(t)
				return false
			case crash.Pending:
				hasSuspects = true
			case crash.Suspected:
				hasSuspects = true
				if isReady && l.mayStart(t) {
					l.placeSuspect(t)
				}
			case crash.Unsuspected:
				if isReady {
					l.placeUnsuspected(t, minSpeed, r)
				}
			}
		}
	}
	if !hasSuspects {
		j.unsuspectedAt = l.crashes.Revision()
	}
	return j.waits()
}

// placeUnsuspected starts a task if it finds capacity.
func (l *Leader) placeUnsuspected(t *task, minSpeed float64, r *dispatchRound) {
	if r.stepIsFull = r.stepIsFull || r.hasNoCapacityFor(t, minSpeed); r.stepIsFull || slices.Contains(r.unplacedAvoiders, avoiderOf(t)) || !l.mayStart(t) {
		return
	}
	switch {
	case l.placeTask(t, minSpeed, r):
	case t.avoidEndpoint == nil:
		r.stepIsFull = true
	default:
		r.unplacedAvoiders = append(r.unplacedAvoiders, avoiderOf(t))
	}
}

// avoider is what the tasks of a step may differ in that are to be placed.
type avoider struct {
	endpoint          *endpointState
	failed, lostThere bool
}

func avoiderOf(t *task) avoider {
	return avoider{endpoint: t.avoidEndpoint, failed: t.failures > 0, lostThere: t.lostThere}
}

// dispatchRound is one pass over the queue.
type dispatchRound struct {
	// candidates are the usable endpoints with enough free CPU for the smallest task.
	candidates []*endpointState
	// unplaced holds the demands that found no capacity in this round. Demands that only labels,
	// spreading or an earlier failure kept from an endpoint are left out.
	unplaced []unplacedDemand
	// scarce means that several jobs wait.
	scarce bool
	// stepIsFull means that no task of the present step finds capacity, except one that may crash its endpoint.
	// unplacedAvoiders are those that have found none.
	stepIsFull       bool
	unplacedAvoiders []avoider
}

func (r *dispatchRound) beginStep() { r.stepIsFull, r.unplacedAvoiders = false, r.unplacedAvoiders[:0] }

// unplacedDemand is a demand that found no capacity at endpoints of minSpeed or more.
type unplacedDemand struct {
	queue    queue.Name
	demand   job.Resources
	minSpeed float64
}

func (l *Leader) newRound() dispatchRound {
	smallest := job.MilliCores(math.MaxInt64)
	for _, j := range l.queue {
		for i := range j.Job.Steps {
			smallest = min(smallest, j.Job.Steps[i].Demand.CPU)
		}
	}
	r := dispatchRound{candidates: l.candidateBuffer[:0], scarce: len(l.queue) > 1}
	for _, ep := range l.sortedEndpoints {
		if ep.free.CPU >= smallest && ep.usable(l.now) {
			r.candidates = append(r.candidates, ep)
		}
	}
	l.candidateBuffer = r.candidates
	return r
}

// hasNoCapacityFor reports whether a task that needs no more than this one, at endpoints that are no
// faster, has found no capacity.
func (r *dispatchRound) hasNoCapacityFor(t *task, minSpeed float64) bool {
	if len(r.candidates) == 0 {
		return true
	}
	demand := t.stepSpec().Demand
	return slices.ContainsFunc(r.unplaced, func(d unplacedDemand) bool {
		return d.queue == t.job.queue && minSpeed >= d.minSpeed && demand.Fits(d.demand)
	})
}

// mayStart reports whether no other attempt of the task can exist.
func (l *Leader) mayStart(t *task) bool {
	if other := l.activeTasks[t.name]; other != nil && other != t {
		return false
	}
	if l.orphans.anyActive(t.name) {
		return false
	}
	// An earlier leader may have started the task at an endpoint that has not reported yet. It
	// stops the attempts of jobs whose leases are not renewed.
	return !t.job.Adopt || l.adoptionWaitEnded(t.job) || l.earlierAttemptsReported(t.job)
}

// adoptionWaitEnded reports whether all attempts that an earlier leader has started for a job have
// expired.
func (l *Leader) adoptionWaitEnded(j *jobState) bool {
	return l.now >= j.receivedAt+l.config.Timeouts.EarlierAttemptsExpireAfter()
}

// earlierAttemptsReported reports whether every endpoint at which an earlier leader can have started
// a task of the job, or can still start one, has accepted this leader's token.
func (l *Leader) earlierAttemptsReported(j *jobState) bool {
	return (l.isHandedOver(j) || l.isListProof(j)) && l.allTokensAccepted()
}

// isHandedOver reports whether the only earlier leader of a job has handed over the list of its
// endpoints. It may have led again since, but not before its earlier attempts would have expired.
func (l *Leader) isHandedOver(j *jobState) bool {
	return j.Earlier != "" && j.Earlier == l.list.HandedOverBy &&
		j.receivedAt < l.config.Now+l.config.Timeouts.EarlierAttemptsExpireAfter()
}

// isListProof reports whether the list has every endpoint at which an earlier leader can have started
// a task of the job, or can still start one. Such an endpoint was in the store's list newEndpointDelay
// before the start, and the earlier leader starts nothing once the lease of the job has expired there.
// None has left it since the earlier leaders knew them all to be listed.
func (l *Leader) isListProof(j *jobState) bool {
	timeouts := l.config.Timeouts
	latestStart := j.receivedAt + timeouts.SubmissionTimeout + timeouts.JobLease
	listedSince := j.receivedAt - timeouts.SubmissionTimeout - j.EarlierListAge
	return l.listComplete && j.EarlierListAge > 0 && l.list.LastMissingAt < listedSince && l.list.ReadAt >= max(l.config.Now, latestStart-timeouts.newEndpointDelay())
}

func (l *Leader) allTokensAccepted() bool {
	for _, ep := range l.sortedEndpoints {
		if !ep.tokenAccepted() && (!ep.unlisted || l.mayHaveEarlierAttempts(ep)) {
			return false
		}
	}
	return true
}

// mayHaveEarlierAttempts reports whether an endpoint that has not answered this leader may have
// attempts of an earlier one.
func (l *Leader) mayHaveEarlierAttempts(ep *endpointState) bool {
	return !ep.contacted && l.now < l.config.Now+l.config.Timeouts.EarlierAttemptsExpireAfter()
}

// placeTask starts a task at the most suitable endpoint of a speed at which it ends in time, if there is
// one.
func (l *Leader) placeTask(t *task, minSpeed float64, r *dispatchRound) bool {
	q, step := l.queueOf(t.job), t.stepSpec()
	var best *endpointState
	var bestCandidate admission.Candidate
	allowed := true
	for _, ep := range r.candidates {
		if ep.Service != q.Service || !ep.takes(step.Demand, l.now) || !ep.usable(l.now) {
			continue
		}
		if !ep.HasLabel(step.Requires) || l.avoids(t, ep) {
			allowed = false
			continue
		}
		if step.PerEndpoint > 0 && l.countStepTasks(t, ep) >= step.PerEndpoint {
			allowed = false
			continue
		}
		c := l.candidate(t, ep)
		if c.Speed < minSpeed {
			allowed = allowed && step.Rack == ""
			continue
		}
		if !ep.allows(t, l.now+l.durationAt(ep, l.baseDuration(t, ep))) {
			allowed = false
			continue
		}
		if best == nil || c.Compare(bestCandidate, r.scarce) < 0 {
			best, bestCandidate = ep, c
		}
	}
	if best == nil {
		if allowed {
			r.unplaced = append(r.unplaced, unplacedDemand{queue: t.job.queue, demand: step.Demand, minSpeed: minSpeed})
		}
		return false
	}
	l.startAttempt(t, best, l.baseDuration(t, best))
	return true
}

// candidate describes an endpoint for a task.
func (l *Leader) candidate(t *task, ep *endpointState) admission.Candidate {
	return admission.Candidate{Speed: l.speedOf(ep) / l.distanceFactor(t.stepSpec(), ep), Free: ep.free.CPU}
}

// avoids reports whether a task must not start at an endpoint: its last attempt failed there, or was
// lost there while there is another endpoint for it.
func (l *Leader) avoids(t *task, ep *endpointState) bool {
	if ep != t.avoidEndpoint {
		return false
	}
	return t.failures > 0 || t.lostThere && slices.ContainsFunc(l.sortedEndpoints, func(o *endpointState) bool {
		return o != ep && o.Service == ep.Service && o.HasLabel(t.stepSpec().Requires) && o.Capacity.Fits(t.stepSpec().Demand) && o.accepts(l.now)
	})
}

// baseDuration is the expected duration of a task at an endpoint of speed 1 in ep's rack.
func (l *Leader) baseDuration(t *task, ep *endpointState) clock.Millis {
	step := t.stepSpec()
	return clock.Millis(float64(l.expectedWork(t.job, step)) * l.distanceFactor(step, ep))
}

// distanceFactor is how many times as long a task of a step takes in the rack of an endpoint.
func (l *Leader) distanceFactor(s *job.Step, ep *endpointState) float64 {
	if s.Rack != "" && ep.Rack != s.Rack {
		return l.config.FarFactor
	}
	return 1
}

// startOverhead is the time that a start and the report of the attempt's end take.
const startOverhead = clock.Millis(8)

// countStepTasks counts the tasks of t's step at an endpoint, of all submissions and parts of the job and of
// earlier leaders.
func (l *Leader) countStepTasks(t *task, ep *endpointState) int {
	n := 0
	for _, other := range ep.tasks {
		if other.job.Job.ID == t.job.Job.ID && other.stepIndex == t.stepIndex {
			n++
		}
	}
	if ep.activeOrphans > 0 {
		n += l.orphans.countActive(stepPrefix(t.job.Job.ID, t.stepIndex), ep)
	}
	return n
}

// sortedTasks returns the tasks at an endpoint in a fixed order.
func (ep *endpointState) sortedTasks() []*task {
	all := make([]*task, 0, len(ep.tasks))
	for _, t := range ep.tasks {
		all = append(all, t)
	}
	slices.SortFunc(all, func(a, b *task) int { return cmp.Compare(a.name, b.name) })
	return all
}

// updateEndpoints applies the platform's list of endpoints.
func (l *Leader) updateEndpoints(all []endpoint.Endpoint) {
	listed := make(map[datacentre.EndpointID]bool, len(all))
	var appeared, cold, unlisted, dropped []EndpointChange
	for _, e := range all {
		e = l.withSlots(e)
		listed[e.ID] = true
		ep := l.endpoints[e.ID]
		if ep == nil {
			ep = newEndpointState(e, l.now)
			if d, ok := l.dropped[e.ID]; ok {
				ep.Born, ep.formerBorn, ep.refutedBorn, ep.epoch, ep.crashed = d.born, d.formerBorn, d.refutedBorn, d.epoch, d.crashed
				delete(l.dropped, e.ID)
			}
			if l.listed {
				ep.usableFrom = l.now + l.config.Timeouts.newEndpointDelay()
			}
			if m, ok := l.inheritedEstimates.Speeds[e.ID]; ok {
				ep.speed = speed{logMean: m.Log, samples: min(m.Samples, speedWindow)}
			}
			l.endpoints[e.ID] = ep
			index, _ := slices.BinarySearchFunc(l.sortedEndpoints, ep, func(a, b *endpointState) int { return cmp.Compare(a.ID, b.ID) })
			l.sortedEndpoints = slices.Insert(l.sortedEndpoints, index, ep)
			appeared = append(appeared, ep.change())
		}
		l.updateListedBorn(ep, e.Born)
		if ep.unlisted && l.listed {
			ep.usableFrom = l.now + l.config.Timeouts.newEndpointDelay()
		}
		used := ep.Capacity.Minus(ep.free)
		if ep.warmUp.update(e.ColdFor, e.Born, l.now) {
			cold = append(cold, ep.change())
		}
		if ep.Born != 0 {
			e.Born = ep.Born
		}
		ep.Endpoint, ep.free, ep.unlisted = e, e.Capacity.Minus(used), false
		ep.unguarded = l.isUnguarded(e.Service)
		if !ep.watching {
			l.sendHold(ep, Watch)
		}
	}
	for _, ep := range slices.Clone(l.sortedEndpoints) {
		if listed[ep.ID] {
			continue
		}
		if !ep.unlisted {
			unlisted = append(unlisted, ep.change())
		}
		ep.unlisted = true
		if len(ep.tasks) == 0 && len(ep.lost) == 0 && ep.activeOrphans == 0 && !l.mayHaveEarlierAttempts(ep) {
			dropped = append(dropped, ep.change())
			delete(l.endpoints, ep.ID)
			l.dropped[ep.ID] = droppedEndpoint{born: ep.Born, formerBorn: ep.formerBorn, refutedBorn: ep.refutedBorn, epoch: ep.epoch, crashed: ep.crashed}
			i := slices.Index(l.sortedEndpoints, ep)
			l.sortedEndpoints = slices.Delete(l.sortedEndpoints, i, i+1)
		}
	}
	if l.listed {
		l.logEndpointChanges(EndpointAppeared, appeared)
	}
	l.listed = true
	l.logEndpointChanges(EndpointCold, cold)
	l.logEndpointChanges(EndpointUnlisted, unlisted)
	l.logEndpointChanges(EndpointDropped, dropped)
}
