package leader

import (
	"fmt"

	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// RefusalCause says when it was known that a job has no capacity in time.
type RefusalCause int

const (
	// RefusedOnArrival is a job that had no place when it arrived.
	RefusedOnArrival RefusalCause = iota
	// RefusedDisplaced is a job that had a place and has given way to others, or to a worse forecast.
	RefusedDisplaced
	// RefusedTooLate is a job whose latest start has passed.
	RefusedTooLate
	// RefusedEvacuated is a job that waited in a data centre which the operator has asked to be empty.
	RefusedEvacuated
	// RefusedWithoutMemory is a job that the VM of the leader had no memory for.
	RefusedWithoutMemory
)

// Refusal is a job that is refused.
type Refusal struct {
	Queue queue.Name
	Cause RefusalCause
	// Held is how long the leader had the job.
	Held clock.Millis
}

// ForecastError is a job that waited, whose last task has started Error later than it was expected to
// when the job arrived.
type ForecastError struct {
	Queue queue.Name
	Error clock.Millis
	// Spread is the standard deviation that the forecast had.
	Spread clock.Millis
}

func (*Refusal) details()       {}
func (*ForecastError) details() {}

// recordRefusal tells the planner of a job that no shard serves.
func (l *Leader) recordRefusal(j *jobState, o job.Outcome) {
	if _, refused := o.(job.Refused); refused {
		l.planner.Refused(l.now, &j.plan)
	}
}

// recordStart records that all tasks of a job have started, and how far the forecast was off.
func (l *Leader) recordStart(j *jobState) {
	if j.served || !j.started {
		return
	}
	j.served = true
	l.planner.Served(l.now, &j.plan)
	if j.expectedStart.At != 0 {
		l.emit(LogDecision{Decision: JobStarted, Job: j.Job.ID, Details: &ForecastError{
			Queue: j.queue, Error: l.now - j.expectedStart.At, Spread: j.expectedStart.Spread,
		}})
	}
}

// logAdmission logs the outcome of a submission and the figures that decided it.
func (l *Leader) logAdmission(j *jobState, o job.Outcome, cause RefusalCause) {
	decision := LogDecision{Decision: JobAccepted, Job: j.Job.ID}
	switch o := o.(type) {
	case job.Refused:
		decision.Decision, decision.Detail = JobRefused, string(o.Reason)+" "
		decision.Details = &Refusal{Queue: j.queue, Cause: cause, Held: l.now - j.receivedAt}
	case job.Redirected:
		decision.Decision, decision.Detail = JobForwarded, "to "+string(o.To)+" "
	case job.Divided:
		decision.Decision, decision.Detail = JobForwarded, fmt.Sprintf("divided %v ", o.Shares)
	default:
		if j.Adopt {
			decision.Decision = JobAdopted
		}
	}
	oldestAge, spare := clock.Millis(0), l.loadsWithSpareCPU()
	for _, load := range spare {
		oldestAge = max(oldestAge, l.now-load.At)
	}
	free, total := l.capacity(l.now)
	var waitingCPU job.MilliCores
	for _, other := range l.queue {
		waitingCPU += other.demand()
	}
	decision.Detail += fmt.Sprintf("tasks %d demand %d free %d waiting %d of %d mCPU, starts by %d ms, hops %d, shards with spare CPU %d reported up to %d ms ago, desired state %d",
		j.Job.Tasks(), j.demand(), free, waitingCPU, total, j.latestStart-l.now, j.Hops, len(spare), oldestAge, l.desired.Version)
	l.emit(decision)
}
