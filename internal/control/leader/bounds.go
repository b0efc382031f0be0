package leader

import (
	"math"
	"strconv"

	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
)

// Bounds are what a leader may take of its VM and ask of its endpoints. Zero values are no bounds.
type Bounds struct {
	// Memory is that of the jobs, which the leaders of a VM share.
	Memory *job.MemoryBudget
	// TasksPerEndpoint bounds the tasks at an endpoint, whatever they need.
	TasksPerEndpoint job.Slots
	// Calls bounds the starts without an answer, and the stops.
	Calls int
}

// calls counts the requests of a kind that have no answer yet.
type calls struct {
	limit, open int
	// reported means that the limit was reached, and that more than half of the calls have had no answer since.
	reported bool
}

// beginCall records a request, and reports that its kind has reached the limit.
func (l *Leader) beginCall(c *calls) {
	if c.open++; c.isFull() && !c.reported {
		c.reported = true
		l.emit(LogDecision{Decision: CallsFull, Detail: strconv.Itoa(l.starts.open) + " starts and " + strconv.Itoa(l.stops.open) + " stops without an answer"})
	}
}

// end records an answer. Those of an earlier leadership do not arrive.
func (c *calls) end() {
	c.open--
	c.reported = c.reported && c.open > c.limit/2
}

// isFull reports whether another request has to wait.
func (c *calls) isFull() bool { return c.limit > 0 && c.open >= c.limit }

// withSlots returns an entry whose capacity has the slots that this leader uses.
func (l *Leader) withSlots(e endpoint.Endpoint) endpoint.Endpoint {
	if e.Capacity.Slots = l.config.Bounds.TasksPerEndpoint; e.Capacity.Slots == 0 {
		e.Capacity.Slots = math.MaxInt32
	}
	return e
}

// reportFull reports that an endpoint has as many tasks as it may.
func (l *Leader) reportFull(ep *endpointState) {
	if ep.free.Slots <= 0 && !ep.fullReported {
		ep.fullReported = true
		l.emit(LogDecision{Decision: EndpointFull, Endpoint: ep.Endpoint, Detail: strconv.Itoa(len(ep.tasks)) + " tasks"})
	}
}

// takeMemory reports whether there is memory for a job. Tasks of it may have an attempt here if the leader knows
// any, so that the job is not refused then: its caller is told to send it again.
func (l *Leader) takeMemory(s *job.Submission) (job.Outcome, bool) {
	if l.config.Bounds.Memory.Take(s.Job.FootprintAtLeader()) {
		return nil, true
	}
	l.emit(LogDecision{Decision: JobRefused, Job: s.Job.ID, Detail: string(job.TooManyJobs), Details: &Refusal{Queue: s.Job.Queue, Cause: RefusedWithoutMemory}})
	if s.Adopt || s.Part || len(l.jobsByID[s.Job.ID]) > 0 || l.orphans.hasJob(s.Job.ID) {
		return job.Stopped{Reason: job.TooManyJobs}, false
	}
	return job.Refused{Reason: job.TooManyJobs, RetryAfter: retryAfter}, false
}

// releaseMemory returns the memory of a job that has ended here.
func (l *Leader) releaseMemory(s *job.Submission) {
	l.config.Bounds.Memory.Release(s.Job.FootprintAtLeader())
}
