package leader

import (
	"strconv"

	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// work is a job that the home has taken.
type work struct {
	job.Submission
	queue queue.Name
	tasks []*task
	// stepsOpen counts the tasks of each step that are not done.
	stepsOpen []int
	open      int
	// started says that a start was sent for a task; from then on the job cannot be
	// refused.
	started bool
	// answered says that the submission has ended; tasks may still be stopping.
	answered bool

	// taken is when the home got the job.
	taken clock.Millis
	// arrived is when the caller sent the job, by the home's clock. objective and limit
	// are points in time.
	arrived, objective, limit clock.Millis
	// startBy is the time until which its tasks have to start to meet the objective.
	startBy clock.Millis
	// turn orders the queue: startBy, later by headStart for each step of priority.
	turn clock.Millis
	// blamed are the endpoints that this job has counted a failure against.
	blamed map[*place]bool
}

// task is one task of a job.
type task struct {
	work  *work
	name  job.TaskName
	step  int
	state state
	place *place
	run   job.Attempt
	// startedAt is when the start was sent, confirmedAt when the endpoint was first known
	// to have the run.
	startedAt, confirmedAt clock.Millis
	confirmedIn            SequenceNumber
	// base is how long the run is expected to take at speed 1, expected at its place.
	base, expected clock.Millis
	// doubtedIn is when the start was found to have no answer, or 0.
	doubtedIn SequenceNumber
	// percent was first seen at percentAt.
	percent   int
	percentAt clock.Millis
	// stopAcknowledged is when a stop was answered, stopSent when the last was sent.
	stopAcknowledged, stopSent clock.Millis
	stopAcknowledgedIn         SequenceNumber
	failures                   int
	avoid                      *place
}

// state is where a task stands.
type state int

const (
	waiting state = iota
	// starting means that the endpoint has not yet answered the start.
	starting
	running
	// stopping means that the run must be gone before anything else is done with the task.
	stopping
	done
	// ended means that the task is given up and no run of it is left.
	ended
)

func (t *task) stepOf() *job.Step { return &t.work.Job.Steps[t.step] }

// occupies reports whether the task holds room at its place.
func (t *task) occupies() bool {
	return t.state == starting || t.state == running || t.state == stopping
}

// ready reports whether the task may be started now, as far as its job is concerned.
func (t *task) ready() bool {
	if t.state != waiting || t.work.answered {
		return false
	}
	for _, s := range t.stepOf().After {
		if t.work.stepsOpen[s] > 0 {
			return false
		}
	}
	return true
}

func newWork(s job.Submission, now clock.Millis) *work {
	w := &work{Submission: s, queue: s.Job.Queue, taken: now, arrived: now - s.Waited, stepsOpen: make([]int, len(s.Job.Steps))}
	w.limit = w.arrived + s.Limit
	for i, step := range s.Job.Steps {
		w.stepsOpen[i] = step.Tasks
		w.open += step.Tasks
		for k := range step.Tasks {
			w.tasks = append(w.tasks, &task{work: w, name: TaskName(s.Job.ID, i, s.First+k), step: i, run: 0})
		}
	}
	return w
}

// TaskName names a task of a job without repeats: job, occurrence, step and index.
func TaskName(id job.ID, step, index int) job.TaskName {
	return job.TaskName(string(id) + ".0." + strconv.Itoa(step) + "." + strconv.Itoa(index))
}
