package leader

import (
	"strconv"
	"strings"

	"github.com/sequoiacart/sequoiacart/internal/world/crash"
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// task is one task of a job and its current attempt.
type task struct {
	job       *jobState
	name      job.TaskName
	stepIndex int
	// number is the position among the tasks of the job.
	number int
	// phase is changed by enter alone.
	phase    taskPhase
	endpoint *endpointState
	attempt  job.Attempt
	// startGrant is the lease of the start of the current attempt, and lastEnd the attempt before,
	// for the log.
	startGrant LeaseGrant
	lastEnd    *EndedAttempt
	// startedAt is when the start was sent, confirmedAt when the endpoint first confirmed the attempt,
	// and confirmedIn the incarnation that did.
	startedAt, confirmedAt clock.Millis
	confirmedIn            endpoint.Incarnation
	// sentTo is the incarnation that the leader knew when it sent the start.
	sentTo       endpoint.Incarnation
	startedSeq   SequenceNumber
	confirmedSeq SequenceNumber
	// baseDuration is how long the attempt is expected to take at speed 1, expectedDuration at its
	// endpoint.
	baseDuration, expectedDuration clock.Millis
	// startedCold means that the endpoint was cold when the attempt started.
	startedCold bool
	// uncertainSeq is the event in which the start was found to be unanswered, or 0.
	uncertainSeq SequenceNumber
	// percent was first reported at percentAt.
	percent   int
	percentAt clock.Millis
	// stopBegunAt is when the first stop was sent and stopSentAt when the last one was, stopAckedAt
	// when one was acknowledged.
	stopBegunAt, stopSentAt, stopAckedAt clock.Millis
	stopAckedSeq                         SequenceNumber
	// stopPending means that a stop waits to be sent.
	stopPending   bool
	failures      int
	avoidEndpoint *endpointState
	// lostThere means that an attempt was lost at avoidEndpoint.
	lostThere bool
	// suspected means that the task ran at an endpoint that crashed, as of verdictAt.
	suspected bool
	verdictAt crash.Revision
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

// enter changes the phase, and what the job counts by it.
func (t *task) enter(p taskPhase) {
	j := t.job
	if t.phase == waiting {
		j.waitingByStep[t.stepIndex]--
	}
	if t.holdsResources() {
		j.holding--
	}
	t.phase = p
	if t.phase == waiting {
		j.waitingByStep[t.stepIndex]++
		j.firstWaiting[t.stepIndex] = min(j.firstWaiting[t.stepIndex], t.number)
		// Crashes may have become known while the task had an attempt.
		j.unsuspectedAt = 0
	}
	if t.holdsResources() {
		j.holding++
	}
}

// TaskName builds the unique name of a task from its job, occurrence, step and index.
func TaskName(id job.ID, step, index int) job.TaskName {
	return job.TaskName(stepPrefix(id, step) + strconv.Itoa(index))
}

// belongsTo reports whether a name is that of a task of the job.
func belongsTo(n job.TaskName, id job.ID) bool { return strings.HasPrefix(string(n), string(id)+".") }

// stepPrefix is what the names of the tasks of a step have in common.
func stepPrefix(id job.ID, step int) string { return string(id) + ".0." + strconv.Itoa(step) + "." }
