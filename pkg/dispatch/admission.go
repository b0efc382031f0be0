package dispatch

import (
	"math"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
)

const (
	leastRetry = 50 * clock.Millis(1)
	mostRetry  = 10 * clock.Second
	// A probe has at most this many tasks, and a kind has one in this span.
	probeTasks = 4
	probeSpan  = clock.Second
	// never is the deadline of a job that names none.
	never = clock.Millis(math.MaxInt64)
)

// Admit queues the whole job or rejects the whole job.
func (s *Scheduler) Admit(now clock.Millis, j Job) AdmissionResult {
	a, ok := s.accounts[j.Owner]
	if !ok {
		return Rejected{Reason: "owner " + string(j.Owner) + " is not in the bundle in force", RetryAfter: clock.Second}
	}
	k := s.kind(now, j.Owner, j.Kind)
	rank := min(max(int(j.Rank), 0), rankCount-1)
	if j.Deadline == 0 {
		j.Deadline = never
	}
	late := s.lateness(now, a, k, rank, j)
	probe := late > 0 && s.probes(now, k, j)
	if late > 0 && !probe {
		return s.reject(a, "the deadline cannot be met", late)
	}
	if reason := s.makeRoom(a, rank, j.Tasks); reason != "" {
		return s.reject(a, reason, s.drainTime(a))
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
	return Rejected{Reason: reason, RetryAfter: s.spread(after)}
}

// spread draws a retry hint from half to one and a half times the span, so that callers
// refused together do not come back together.
func (s *Scheduler) spread(span clock.Millis) clock.Millis {
	span = min(max(span, leastRetry), mostRetry)
	return span/2 + clock.Millis(s.random.Int64N(int64(span)))
}

// lateness projects the end of the job and returns by how much it misses the deadline.
// The owner gets at least the slots of its share, and all slots where nobody else waits.
func (s *Scheduler) lateness(now clock.Millis, a *account, k *kind, rank int, j Job) clock.Millis {
	slots := slotMillis(s.placement.total + s.borrowable)
	if rank == 0 {
		slots = slotMillis(s.placement.total + max(s.borrowable, s.peersLoad.UrgentSlots))
	}
	if slots == 0 {
		// Without endpoints there is no projection; the bounds of the queue hold.
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
	wait = min(max(wait, 0)/slots, s.levelWait(ahead+others))
	end := now + clock.Millis(wait) + s.upperEstimate(k)
	return end - j.Deadline
}

// levelWait is the wait for the work when all VMs have the same wait.
func (s *Scheduler) levelWait(work slotMillis) slotMillis {
	if s.peersLoad.Slots == 0 {
		return slotMillis(math.Inf(1))
	}
	return (work + s.peersLoad.work) / slotMillis(s.placement.total+s.peersLoad.Slots)
}

// probes admits one small job of a kind a second although the projection is late, if no
// task of the kind has succeeded for that long. Without that, an estimate that is too
// high refuses the tasks that would correct it.
func (s *Scheduler) probes(now clock.Millis, k *kind, j Job) bool {
	if j.Tasks > probeTasks || j.Deadline <= now || now-max(k.lastSuccess, k.probedAt) < probeSpan {
		return false
	}
	k.probedAt = now
	return true
}

// drainTime is the time until the owner's backlog has halved at the rate of its share.
func (s *Scheduler) drainTime(a *account) clock.Millis {
	slots := slotMillis(max(s.placement.total, 1)) * a.share() / max(s.shares, 1)
	return clock.Millis(a.workAhead(rankCount-1) / slots / 2)
}

// makeRoom sheds what has to go so that the tasks fit into the bounds of the queue. It
// returns the reason if they do not fit; nothing is shed then.
func (s *Scheduler) makeRoom(a *account, rank, tasks int) string {
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
	if slotMillis(a.waiting+tasks) <= s.guaranteed(a) && s.shedOverShare(a, excess) {
		return ""
	}
	return "the queue is full"
}

// guaranteed is the part of the queue that belongs to the owner.
func (s *Scheduler) guaranteed(a *account) slotMillis {
	return slotMillis(s.config.MaxQueuedTasks) * a.share() / max(s.shares, a.share())
}

// shedOverShare sheds jobs of the owner that is most over its part of the queue.
func (s *Scheduler) shedOverShare(a *account, excess int) bool {
	var most *account
	over := slotMillis(0)
	for _, o := range s.order {
		if o == a {
			continue
		}
		if by := slotMillis(o.waiting) / s.guaranteed(o); by > max(over, 1) {
			most, over = o, by
		}
	}
	return most != nil && s.shedFrom(most, 0, excess)
}

// shedFrom sheds jobs of an owner, the least urgent class first, until count tasks are
// gone. Classes more urgent than rank are left alone. It sheds nothing if that is not
// enough.
func (s *Scheduler) shedFrom(a *account, rank, count int) bool {
	var victims []*queuedJob
	for r := rankCount - 1; r >= rank && count > 0; r-- {
		for i := range a.lanes {
			jobs := a.lanes[i].classes[r].jobs.items
			// The end of the heap holds jobs with late deadlines, though not strictly the
			// latest; a strict order would need a second heap.
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

// shed takes a job out of which nothing has started.
func (s *Scheduler) shed(j *queuedJob, reason string) {
	a := j.account
	s.dequeue(j)
	a.usage.Refused++
	s.dropped = append(s.dropped, Shed{Job: j.ref, Reason: reason, RetryAfter: s.spread(s.drainTime(a))})
	j.next = j.tasks
	s.forgetIfEnded(j)
}

// NextDropped returns the next job that was dropped since the last call.
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
