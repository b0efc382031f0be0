package leader

import (
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/control/admission"
	"github.com/sequoiacart/sequoiacart/internal/control/forecast"
	"github.com/sequoiacart/sequoiacart/internal/world/crash"
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
	// tasks are nil until they are needed.
	tasks []*task
	// openByStep counts the tasks of each step that are not done, waitingByStep those without an attempt. No task of
	// a step before the number firstWaiting waits. holding counts those that occupy resources.
	openByStep, waitingByStep, firstWaiting []int
	openTasks, holding                      int
	// startOfStep is the number of the first task of each step.
	startOfStep []int
	// unsuspectedAt is the revision of the crashes by which no waiting task may crash its endpoint, or 0 if that is
	// unknown. At revision 0 there are no crashes.
	unsuspectedAt crash.Revision
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

// newJobState returns a job whose tasks have not been made.
func newJobState(s job.Submission, now clock.Millis) *jobState {
	j := &jobState{
		Submission: s, queue: s.Job.Queue, receivedAt: now, submittedAt: now - s.Waited,
		openByStep: make([]int, len(s.Job.Steps)), waitingByStep: make([]int, len(s.Job.Steps)), firstWaiting: make([]int, len(s.Job.Steps)),
		startOfStep: make([]int, len(s.Job.Steps)),
	}
	j.limit = j.submittedAt + s.Limit
	// The steps may belong to the gateway of this VM too.
	j.Job.Steps = slices.Clone(s.Job.Steps)
	for i, step := range s.Job.Steps {
		j.firstWaiting[i], j.startOfStep[i] = j.openTasks, j.openTasks
		j.openByStep[i], j.waitingByStep[i] = step.Tasks, step.Tasks
		j.openTasks += step.Tasks
		j.Job.Steps[i].Demand.Slots = 1
	}
	return j
}

// makeTasks makes the tasks of a job, unless that was done. A job that is refused at once needs none, and may have
// thousands.
func (j *jobState) makeTasks() {
	if j.tasks != nil {
		return
	}
	all := make([]task, j.Job.Tasks())
	j.tasks = make([]*task, len(all))
	number := 0
	for i, step := range j.Job.Steps {
		for k := range step.Tasks {
			t := &all[number]
			t.job, t.name, t.stepIndex, t.number = j, TaskName(j.Job.ID, i, j.First+k), i, number
			j.tasks[number] = t
			number++
		}
	}
}

// isStepReady reports whether the tasks of a step may start: the steps before it are done.
func (j *jobState) isStepReady(step int) bool {
	if j.answered {
		return false
	}
	for _, s := range j.Job.Steps[step].After {
		if j.openByStep[s] > 0 {
			return false
		}
	}
	return true
}

// waitingTasks returns the tasks of a step from the first one that waits.
func (j *jobState) waitingTasks(step int) []*task {
	end := len(j.tasks)
	if step+1 < len(j.startOfStep) {
		end = j.startOfStep[step+1]
	}
	first := j.firstWaiting[step]
	for first < end && j.tasks[first].phase != waiting {
		first++
	}
	j.firstWaiting[step] = first
	return j.tasks[first:end]
}

// waits reports whether a task has no attempt.
func (j *jobState) waits() bool {
	return slices.ContainsFunc(j.waitingByStep, func(n int) bool { return n > 0 })
}

// queueOf returns the queue of a job. A job belongs to the queue that accepted it, also once the desired state no
// longer has it.
func (l *Leader) queueOf(j *jobState) *queue.Queue {
	if q := l.desired.Queue(j.queue); q != nil {
		j.acceptedBy = q
	}
	return j.acceptedBy
}
