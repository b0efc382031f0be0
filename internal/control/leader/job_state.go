package leader

import (
	"strconv"

	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// jobState is a job that the leader has accepted.
type jobState struct {
	job.Submission
	queue queue.Name
	tasks []*task
	// openByStep counts the tasks of each step that are not done.
	openByStep []int
	openTasks  int
	// started means that a start was sent for a task; from then on the job cannot be refused.
	started bool
	// answered means that the submission has ended; attempts may still be stopping.
	answered bool

	// receivedAt is when the leader received the job.
	receivedAt clock.Millis
	// submittedAt is when the caller sent the job, by the leader's clock. objective and limit are
	// points in time.
	submittedAt, objective, limit clock.Millis
	// latestStart is when its tasks have to start at the latest to meet the objective.
	latestStart clock.Millis
	// sortTime orders the queue: latestStart plus priorityOffset for each level of priority.
	sortTime clock.Millis
	// failedEndpoints are the endpoints that this job has counted a failure against.
	failedEndpoints map[*endpointState]bool
}

// task is one task of a job and its current attempt.
type task struct {
	job       *jobState
	name      job.TaskName
	stepIndex int
	phase     taskPhase
	endpoint  *endpointState
	attempt   job.Attempt
	// startedAt is when the start was sent, confirmedAt when the endpoint first confirmed the
	// attempt.
	startedAt, confirmedAt clock.Millis
	confirmedSeq           SequenceNumber
	// baseDuration is how long the attempt is expected to take at speed 1, expectedDuration at its
	// endpoint.
	baseDuration, expectedDuration clock.Millis
	// uncertainSeq is the event in which the start was found to be unanswered, or 0.
	uncertainSeq SequenceNumber
	// percent was first reported at percentAt.
	percent   int
	percentAt clock.Millis
	// stopAckedAt is when a stop was acknowledged, stopSentAt when the last one was sent.
	stopAckedAt, stopSentAt clock.Millis
	stopAckedSeq            SequenceNumber
	failures                int
	avoidEndpoint           *endpointState
}

// taskPhase is the phase in the life cycle of a task.
type taskPhase int

const (
	waiting taskPhase = iota
	// starting means that the endpoint has not yet answered the start.
	starting
	running
	// stopping means that the attempt has to end before anything else is done with the task.
	stopping
	done
	// ended means that the task has been abandoned and has no attempt left.
	ended
)

func (t *task) stepSpec() *job.Step { return &t.job.Job.Steps[t.stepIndex] }

// holdsResources reports whether the task occupies resources of its endpoint.
func (t *task) holdsResources() bool {
	return t.phase == starting || t.phase == running || t.phase == stopping
}

// ready reports whether the job allows the task to start now: the steps before it are done.
func (t *task) ready() bool {
	if t.phase != waiting || t.job.answered {
		return false
	}
	for _, s := range t.stepSpec().After {
		if t.job.openByStep[s] > 0 {
			return false
		}
	}
	return true
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

// TaskName builds the unique name of a task from its job, occurrence, step and index.
func TaskName(id job.ID, step, index int) job.TaskName {
	return job.TaskName(string(id) + ".0." + strconv.Itoa(step) + "." + strconv.Itoa(index))
}
