package dispatch

import (
	"math"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
)

const (
	minRetryAfter = 50 * clock.Millis(1)
	maxRetryAfter = 10 * clock.Second
	// Limits of probe jobs; see allowProbe. Each kind has one probe per interval.
	maxProbeTasks = 4
	probeInterval = clock.Second
	// infiniteDeadline is the deadline of a job that sets none.
	infiniteDeadline = clock.Millis(math.MaxInt64)
)

// Admit queues all tasks of the job or rejects the whole job.
func (s *Scheduler) Admit(now clock.Millis, j Job) AdmissionResult {
	a, ok := s.accounts[j.Owner]
	if !ok {
		return Rejected{Reason: "owner " + string(j.Owner) + " is not in the bundle in force", RetryAfter: clock.Second}
	}
	k := s.kind(now, j.Owner, j.Kind)
	rank := min(max(int(j.Rank), 0), rankCount-1)
	if j.Deadline == 0 {
		j.Deadline = infiniteDeadline
	}
	late := s.lateness(now, a, k, rank, j)
	probe := late > 0 && s.allowProbe(now, k, j)
	if late > 0 && !probe {
		return s.reject(a, "the deadline cannot be met", late)
	}
	if reason := s.ensureCapacity(a, rank, j.Tasks); reason != "" {
		return s.reject(a, reason, s.timeToHalve(a))
	}
	s.sequence++
	q := s.newJob()
	q.ref, q.account, q.kind, q.rank, q.lane = j.Ref, a, k, rank, k.lane()
	q.deadline, q.admitted, q.sequence = j.Deadline, now, s.sequence
	q.probe = probe
	q.tasks, q.estimate = contract.TaskIndex(j.Tasks), s.estimate(k)
	k.jobs++
	s.jobs[j.Ref] = q
	s.enqueue(now, q)
	return Admitted{}
}

func (s *Scheduler) reject(a *account, reason string, after clock.Millis) Rejected {
	a.usage.Refused++
	return Rejected{Reason: reason, RetryAfter: s.jitter(after)}
}

// jitter returns a random retry delay between 0.5 and 1.5 times the given one, so that
// callers that were rejected at the same time do not retry at the same time.
func (s *Scheduler) jitter(delay clock.Millis) clock.Millis {
	delay = min(max(delay, minRetryAfter), maxRetryAfter)
	return delay/2 + clock.Millis(s.random.Int64N(int64(delay)))
}

// lateness projects when the job ends and returns by how much that misses the deadline.
// The projection assumes that the owner gets at least the slots of its share, and all
// slots if no other owner has waiting tasks.
func (s *Scheduler) lateness(now clock.Millis, a *account, k *kind, rank int, j Job) clock.Millis {
	slots := slotMillis(s.placement.total + s.borrowable)
	if rank == 0 {
		slots = slotMillis(s.placement.total + max(s.borrowable, s.peerLoad.UrgentSlots))
	}
	if slots == 0 {
		// Without slots no projection is possible; only the queue limits apply.
		return 0
	}
	own := slotMillis(j.Tasks-1) * s.estimate(k)
	free := slotMillis(s.placement.free+s.borrowable) * s.estimate(k)
	ahead := a.workAhead(rank) + own
	others := max(s.work-a.workAhead(rankCount-1), 0)
	shares := s.activeShares
	if a.waiting == 0 {
		shares += a.share()
	}
	wait := min(ahead*shares/a.share(), ahead+others) - free
	wait = min(max(wait, 0)/slots, s.balancedWait(ahead+others))
	end := now + clock.Millis(wait) + s.upperEstimate(k)
	return end - j.Deadline
}

// balancedWait returns the projected wait if loans equalise the waits of all VMs.
func (s *Scheduler) balancedWait(work slotMillis) slotMillis {
	if s.peerLoad.Slots == 0 {
		return slotMillis(math.Inf(1))
	}
	return (work + s.peerLoad.work) / slotMillis(s.placement.total+s.peerLoad.Slots)
}

// allowProbe admits one small job per kind and second despite a late projection if no
// task of the kind has succeeded for that long. Otherwise an estimate that is too high
// would reject all tasks that could correct it.
func (s *Scheduler) allowProbe(now clock.Millis, k *kind, j Job) bool {
	if j.Tasks > maxProbeTasks || j.Deadline <= now || now-max(k.lastSuccess, k.probedAt) < probeInterval {
		return false
	}
	k.probedAt = now
	return true
}

// timeToHalve returns how long the owner's backlog takes to halve at the rate of its share.
func (s *Scheduler) timeToHalve(a *account) clock.Millis {
	slots := slotMillis(max(s.placement.total, 1)) * a.share() / max(s.shares, 1)
	return clock.Millis(a.workAhead(rankCount-1) / slots / 2)
}

// ensureCapacity sheds queued jobs until the new tasks fit into the queue limits. If they
// cannot fit, it returns the reason and sheds nothing.
func (s *Scheduler) ensureCapacity(a *account, rank, tasks int) string {
	limits := a.owner.Limits
	switch {
	case tasks <= 0:
		return "the job has no tasks"
	case limits.TasksPerJob > 0 && tasks > limits.TasksPerJob:
		return "the job has more tasks than the owner's limit"
	case limits.QueuedTasks > 0 && a.waiting+tasks > limits.QueuedTasks:
		if !s.shedFrom(a, rank+1, a.waiting+tasks-limits.QueuedTasks) {
			return "the owner's queue is full"
		}
	}
	excess := s.waiting + tasks - s.config.MaxQueuedTasks
	if excess <= 0 {
		return ""
	}
	if s.shedFrom(a, rank+1, excess) {
		return ""
	}
	if slotMillis(a.waiting+tasks) <= s.guaranteedTasks(a) && s.shedOverShare(a, excess) {
		return ""
	}
	return "the queue is full"
}

// guaranteedTasks returns the owner's share of the queue, in tasks.
func (s *Scheduler) guaranteedTasks(a *account) slotMillis {
	return slotMillis(s.config.MaxQueuedTasks) * a.share() / max(s.shares, a.share())
}

// shedOverShare sheds jobs of the owner that exceeds its guaranteed tasks by the largest
// factor.
func (s *Scheduler) shedOverShare(a *account, excess int) bool {
	var largest *account
	maxRatio := slotMillis(0)
	for _, o := range s.bundleOrder {
		if o == a {
			continue
		}
		if ratio := slotMillis(o.waiting) / s.guaranteedTasks(o); ratio > max(maxRatio, 1) {
			largest, maxRatio = o, ratio
		}
	}
	return largest != nil && s.shedFrom(largest, 0, excess)
}

// shedFrom sheds jobs of an owner until count tasks are removed, starting with the least
// urgent class. It spares classes more urgent than rank and jobs that have started, and
// sheds nothing if the rest has fewer than count tasks.
func (s *Scheduler) shedFrom(a *account, rank, count int) bool {
	var victims []*queuedJob
	for r := rankCount - 1; r >= rank && count > 0; r-- {
		for i := range a.lanes {
			jobs := a.lanes[i].classes[r].jobs.items
			// The end of the heap has late deadlines, though not necessarily the latest. An
			// exact order would need a second heap.
			for n := len(jobs) - 1; n >= 0 && count > 0; n-- {
				if jobs[n].started {
					continue
				}
				victims = append(victims, jobs[n])
				count -= jobs[n].waiting()
			}
		}
	}
	if count > 0 {
		return false
	}
	for _, j := range victims {
		s.shed(j, "shed for more urgent jobs or for owners inside their share")
	}
	return true
}

// shed removes a job of which no task has started and records it as dropped.
func (s *Scheduler) shed(j *queuedJob, reason string) {
	a := j.account
	s.dequeue(j)
	a.usage.Refused++
	s.dropped = append(s.dropped, Shed{Job: j.ref, Reason: reason, RetryAfter: s.jitter(s.timeToHalve(a))})
	j.next = j.tasks
	s.removeIfEnded(j)
}

// NextDropped returns and removes the oldest dropped job, if there is one.
func (s *Scheduler) NextDropped() (Dropped, bool) {
	if len(s.dropped) == 0 {
		return nil, false
	}
	d := s.dropped[0]
	s.dropped = s.dropped[1:]
	if len(s.dropped) == 0 {
		s.dropped = nil
	}
	return d, true
}
