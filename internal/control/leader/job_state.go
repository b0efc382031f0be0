package leader

import (
	"strconv"

	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// work is a job that the home has taken.
type jobState struct {
	job.Submission
	queue queue.Name
	tasks []*task
	// stepsOpen counts the tasks of each step that are not done.
	openByStep []int
	openTasks  int
	// started says that a start was sent for a task; from then on the job cannot be
	// refused.
	started bool
	// answered says that the submission has ended; tasks may still be stopping.
	answered bool

	// taken is when the home got the job.
	receivedAt clock.Millis
	// arrived is when the caller sent the job, by the home's clock. objective and limit
	// are points in time.
	submittedAt, objective, limit clock.Millis
	// startBy is the time until which its tasks have to start to meet the objective.
	latestStart clock.Millis
	// turn orders the queue: startBy, later by headStart for each step of priority.
	sortTime clock.Millis
	// blamed are the endpoints that this job has counted a failure against.
	failedEndpoints map[*endpointState]bool
}

// task is one task of a job.
type task struct {
	job       *jobState
	name      job.TaskName
	stepIndex int
	phase     taskPhase
	endpoint  *endpointState
	attempt   job.Attempt
	// startedAt is when the start was sent, confirmedAt when the endpoint was first known
	// to have the run.
	startedAt, confirmedAt clock.Millis
	confirmedSeq           SequenceNumber
	// base is how long the run is expected to take at speed 1, expected at its place.
	baseDuration, expectedDuration clock.Millis
	// doubtedIn is when the start was found to have no answer, or 0.
	uncertainSeq SequenceNumber
	// percent was first seen at percentAt.
	percent   int
	percentAt clock.Millis
	// stopAcknowledged is when a stop was answered, stopSent when the last was sent.
	stopAckedAt, stopSentAt clock.Millis
	stopAckedSeq            SequenceNumber
	failures                int
	avoidEndpoint           *endpointState
}

// state is where a task stands.
type taskPhase int

const (
	waiting taskPhase = iota
	// starting means that the endpoint has not yet answered the start.
	starting
	running
	// stopping means that the run must be gone before anything else is done with the task.
	stopping
	done
	// ended means that the task is given up and no run of it is left.
	ended
)

func (t *task) stepSpec() *job.Step { return &t.job.Job.Steps[t.stepIndex] }

// occupies reports whether the task holds room at its place.
func (t *task) holdsResources() bool {
	return t.phase == starting || t.phase == running || t.phase == stopping
}

// ready reports whether the task may be started now, as far as its job is concerned.
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

// TaskName names a task of a job without repeats: job, occurrence, step and index.
func TaskName(id job.ID, step, index int) job.TaskName {
	return job.TaskName(string(id) + ".0." + strconv.Itoa(step) + "." + strconv.Itoa(index))
}
