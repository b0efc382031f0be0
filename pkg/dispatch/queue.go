package dispatch

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
)

// maxLead bounds how far an owner's virtual time may be ahead of or behind that of the
// others, in slot time of the whole VM. It limits how long an owner that used a peer's slots
// has to wait, and how much an owner that could not run for a while may catch up.
const maxLead = 2 * clock.Second

func (s *Scheduler) maxVirtualLead() virtualTime {
	return virtualTime(slotMillis(maxLead) * slotMillis(max(s.placement.total, 1)) / max(s.shares, 1))
}

// enqueue adds a job with waiting tasks to its lane.
func (s *Scheduler) enqueue(now clock.Millis, j *queuedJob) {
	a := j.account
	if a.waiting == 0 {
		a.virtual = min(max(a.virtual, s.virtual), s.virtual+s.maxVirtualLead())
	}
	s.addWaiting(j, j.waiting())
	l := &a.lanes[j.lane]
	if l.add(now, j) {
		a.virtual = max(a.virtual, s.virtual-s.maxVirtualLead())
		s.lanes[j.lane].push(l)
	}
	s.updateUrgentLane(l)
}

// dequeue removes a job with all its waiting tasks from its lane.
func (s *Scheduler) dequeue(j *queuedJob) {
	s.addWaiting(j, -j.waiting())
	s.unlink(j)
}

// addWaiting adds tasks of a job to the totals of the queue; a negative count removes them.
func (s *Scheduler) addWaiting(j *queuedJob, tasks int) {
	a, work := j.account, slotMillis(tasks)*j.estimate
	if a.waiting == 0 {
		s.activeShares += a.share()
	}
	s.waiting += tasks
	a.waiting += tasks
	s.work += work
	a.work[j.rank] += work
	if j.rank == 0 {
		s.urgentWork += work
		s.urgentTasks += tasks
	}
	if a.waiting > 0 {
		return
	}
	// Resets the sums, which would otherwise accumulate rounding errors.
	s.activeShares -= a.share()
	clear(a.work[:])
	if s.waiting == 0 {
		s.work, s.urgentWork, s.activeShares = 0, 0, 0
	}
}

func (s *Scheduler) unlink(j *queuedJob) {
	l := &j.account.lanes[j.lane]
	if l.remove(j) {
		s.lanes[j.lane].remove(l)
	}
	s.updateUrgentLane(l)
}

// requeue queues a task again that an endpoint did not run. If the job was cancelled, the
// task isn't queued but stored for the next Cancel, which returns it.
func (s *Scheduler) requeue(now clock.Millis, j *queuedJob, t contract.TaskIndex) {
	if j.ended {
		j.requeued = append(j.requeued, t)
		return
	}
	if j.waiting() > 0 {
		s.dequeue(j)
	}
	j.requeued = append(j.requeued, t)
	s.enqueue(now, j)
}

func (s *Scheduler) newJob() *queuedJob {
	n := len(s.freeJobs)
	if n == 0 {
		return &queuedJob{pos: absent}
	}
	j := s.freeJobs[n-1]
	s.freeJobs = s.freeJobs[:n-1]
	return j
}

// removeIfEnded removes a job without waiting or running tasks.
func (s *Scheduler) removeIfEnded(j *queuedJob) {
	if j.running > 0 || j.waiting() > 0 {
		return
	}
	delete(s.jobs, j.ref)
	j.kind.jobs--
	requeued := j.requeued[:0]
	*j = queuedJob{pos: absent, requeued: requeued}
	s.freeJobs = append(s.freeJobs, j)
}

func (s *Scheduler) newRunningTask() *runningTask {
	r := s.freeRunningTasks
	if r == nil {
		return &runningTask{}
	}
	s.freeRunningTasks = r.next
	r.next = nil
	return r
}

func (s *Scheduler) recycleRunningTask(r *runningTask) {
	r.generation++
	r.job, r.endpoint, r.prev = nil, nil, nil
	r.next = s.freeRunningTasks
	s.freeRunningTasks = r
}
