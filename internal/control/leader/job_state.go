package leader

import (
	"github.com/sequoiacart/sequoiacart/internal/control/admission"
	"github.com/sequoiacart/sequoiacart/internal/control/forecast"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// jobState is a job that the leader has accepted.
type jobState struct {
	job.Submission
	queue queue.Name
	// acceptedBy is the queue as of the latest desired state that had it.
	acceptedBy *queue.Queue
	tasks      []*task
	// openByStep counts the tasks of each step that are not done.
	openByStep []int
	openTasks  int
	// started means that a start was sent for a task, or that an orphan was adopted; from then on
	// the job cannot be refused.
	started bool
	// answered means that the submission has ended; attempts may still be stopping.
	answered bool

	// receivedAt is when the leader received the job.
	receivedAt clock.Millis
	// waitedAt is when the caller was last known to wait for the job.
	waitedAt clock.Millis
	// submittedAt is when the caller sent the job, by the leader's clock. objective and limit are
	// points in time.
	submittedAt, objective, limit clock.Millis
	// latestStart is when its tasks have to start at the fastest endpoint to meet the objective.
	latestStart clock.Millis
	// sortTime orders the queue, as of the latest plan.
	sortTime clock.Millis
	// plan is what the planner knows of the job.
	plan admission.Job
	// expectedStart is when the last task is to start by the plan at the job's arrival, or zero if it did
	// not have to wait.
	expectedStart forecast.Instant
	// served means that all tasks have started at least once.
	served bool
	// failedEndpoints are the endpoints that this job has counted a failure against.
	failedEndpoints map[*endpointState]bool
}

func newJobState(s job.Submission, now clock.Millis) *jobState {
	j := &jobState{Submission: s, queue: s.Job.Queue, receivedAt: now, submittedAt: now - s.Waited, openByStep: make([]int, len(s.Job.Steps))}
	j.limit = j.submittedAt + s.Limit
	for i, step := range s.Job.Steps {
		j.openByStep[i] = step.Tasks
		j.openTasks += step.Tasks
		for k := range step.Tasks {
			j.tasks = append(j.tasks, &task{job: j, name: TaskName(s.Job.ID, i, s.First+k), stepIndex: i, attempt: 0})
		}
	}
	return j
}

// queueOf returns the queue of a job. A job belongs to the queue that accepted it, also once the desired state no
// longer has it.
func (l *Leader) queueOf(j *jobState) *queue.Queue {
	if q := l.desired.Queue(j.queue); q != nil {
		j.acceptedBy = q
	}
	return j.acceptedBy
}
