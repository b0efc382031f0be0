package dispatch

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
)

// queuedJob is an admitted job with waiting or running tasks.
type queuedJob struct {
	ref      contract.JobRef
	account  *account
	kind     *kind
	rank     int
	lane     laneIndex
	deadline clock.Millis
	// late jobs start after all others of their class; see Scheduler.pickJob.
	late bool
	// probe jobs are not shed because of the projection that they are to correct.
	probe    bool
	sequence uint64
	admitted clock.Millis
	// estimate is the slot time of one task as estimated at admission. The totals of the
	// queue are increased and decreased by this same value.
	estimate slotMillis

	tasks     contract.TaskIndex
	next      contract.TaskIndex
	requeued  []contract.TaskIndex
	running   int
	started   bool
	succeeded bool
	// ended jobs start no more tasks, not even those that an endpoint did not run.
	ended bool
	pos   int
}

func (j *queuedJob) before(o *queuedJob) bool {
	if j.late != o.late {
		return o.late
	}
	if j.deadline != o.deadline {
		return j.deadline < o.deadline
	}
	return j.sequence < o.sequence
}

func (j *queuedJob) position() *int {
	return &j.pos
}

func (j *queuedJob) waiting() int {
	return int(j.tasks-j.next) + len(j.requeued)
}

// takeTask removes and returns the next task to start. Requeued tasks go first.
func (j *queuedJob) takeTask() contract.TaskIndex {
	if n := len(j.requeued); n > 0 {
		t := j.requeued[n-1]
		j.requeued = j.requeued[:n-1]
		return t
	}
	j.next++
	return j.next - 1
}

// dropWaiting removes and returns all waiting tasks and ends the job.
func (j *queuedJob) dropWaiting() []contract.TaskIndex {
	dropped := make([]contract.TaskIndex, 0, j.waiting())
	dropped = append(dropped, j.requeued...)
	for ; j.next < j.tasks; j.next++ {
		dropped = append(dropped, j.next)
	}
	j.requeued = j.requeued[:0]
	j.ended = true
	return dropped
}
