package leader

import (
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
)

// Action is an effect that the leader requests. It is one of the types of this file.
type Action interface{ action() }

// Start asks an endpoint to start an attempt.
type Start struct {
	Endpoint endpoint.Endpoint
	Task     job.TaskName
	Attempt  job.Attempt
	Payload  job.Payload
	// LeaseUntil is the end of the attempt's lease, by the endpoint's clock.
	LeaseUntil endpoint.Clock
	// SendBy is when it is too late to send the start, after a pause of the VM: the endpoint may have
	// restarted, and LeaseUntil may be far in the future by its new clock.
	SendBy clock.Millis
	Token  shard.Token
	// Expected is how long the attempt is expected to take.
	Expected clock.Millis
	// Trace is the span of the job at this leader.
	Trace contract.TraceParent
}

// Stop asks an endpoint to stop an attempt, or never to start it.
type Stop struct {
	Endpoint endpoint.Endpoint
	Task     job.TaskName
	Attempt  job.Attempt
	Token    shard.Token
	// Sequence is the event in which the leader issued the stop.
	Sequence SequenceNumber
}

// SequenceNumber counts the events that a leader has handled. It orders requests and answers
// exactly, which a clock with millisecond resolution does not.
type SequenceNumber uint64

// Hold extends the leases at an endpoint, acknowledges ended attempts and asks for a status report.
type Hold struct {
	Endpoint endpoint.Endpoint
	Kind     HoldKind
	// LeaseUntil is the end of the leases, by the endpoint's clock; 0 extends none.
	LeaseUntil endpoint.Clock
	// SendBy is when it is too late to extend the leases, as for a start.
	SendBy clock.Millis
	// Acked is the highest number of an ended attempt that the leader has processed.
	Acked endpoint.EndNumber
	// Wait is how long the endpoint may wait for an attempt to end before it answers.
	Wait  clock.Millis
	Token shard.Token
	// Sequence is the event in which the leader issued the hold.
	Sequence SequenceNumber
}

// Answer returns the outcome of a submission to the entry VM that sent it.
type Answer struct {
	Key     job.Key
	Outcome job.Outcome
}

// Fenced means that an endpoint has accepted a higher fencing token, so this leader has to step
// down.
type Fenced struct{}

// RefreshList requests the list of endpoints from the store at once.
type RefreshList struct{}

// RefreshEvacuations requests the evacuations from the store at once.
type RefreshEvacuations struct{}

// DeadlyTaskFound means that a task is proved to crash its endpoints, so that the crashes have to
// outlast the VMs.
type DeadlyTaskFound struct{}

// LogDecision writes a decision to the log.
type LogDecision struct {
	Decision Decision
	Job      job.ID
	Task     job.TaskName
	Endpoint endpoint.Endpoint
	Detail   string
	// Details is set for the decisions that may lead to a second attempt of a task.
	Details Details
}

// Details are the figures behind a logged decision. They do not change after the decision.
type Details interface{ details() }

func (*EndedAttempt) details()   {}
func (*StartedAttempt) details() {}

// Decision is the kind of a logged decision.
type Decision int

// The logged decisions.
const (
	EndpointEjected Decision = iota
	EndpointSuspected
	EndpointReturned
	StartUncertain
	AttemptStalled
	AttemptLost
	AttemptFailed
	// AttemptNotAdopted is an attempt of an earlier leader that is stopped since no job adopted it.
	AttemptNotAdopted
	// AttemptEnded is an attempt that counts as ended without being listed as ended.
	AttemptEnded
	// AttemptStarted is an attempt of a task that may have had an earlier one.
	AttemptStarted
	// AttemptsLeft are the attempts that a leader leaves to the next one.
	AttemptsLeft
	// EndpointAppeared is an endpoint that was not in the leader's list before.
	EndpointAppeared
	EndpointRestarted
	// EndpointCold is an endpoint at which tasks take longer for a while.
	EndpointCold
	// EndpointCrashSuspected is an endpoint whose address refuses connections, and EndpointCrashed one
	// whose incarnation has ended. Both have the evidence and the tasks there.
	EndpointCrashSuspected
	EndpointCrashed
	EndpointUnlisted
	// StartsHeld and StartsResumed are the beginning and the end of a wait for a current list of endpoints or
	// the current evacuations.
	StartsHeld
	StartsResumed
	// EndpointDropped is an unlisted endpoint without tasks, whose state the leader has removed.
	EndpointDropped
	JobAccepted
	JobRefused
	// JobStarted is a job that waited and whose last task has started.
	JobStarted
	JobForwarded
	JobAdopted
	JobAbandoned
	// ShardEmptied means that no task is left in an evacuated data centre.
	ShardEmptied
	// CallsFull is a kind of requests that has reached its limit, so that others wait.
	CallsFull
	// EndpointFull is an endpoint that has as many tasks as it may, so that others wait.
	EndpointFull
	// TaskGivenUp is a task that is proved to crash its endpoints; its job has failed.
	TaskGivenUp
)

func (Start) action()              {}
func (Stop) action()               {}
func (Hold) action()               {}
func (Answer) action()             {}
func (Fenced) action()             {}
func (RefreshList) action()        {}
func (RefreshEvacuations) action() {}
func (DeadlyTaskFound) action()    {}
func (LogDecision) action()        {}
