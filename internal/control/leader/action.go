package leader

import (
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
)

// Action is what a home wants done. It is one of the types of this file.
type Action interface{ action() }

// Start orders an endpoint to start a run.
type Start struct {
	Endpoint endpoint.Endpoint
	Task     job.TaskName
	Attempt  job.Attempt
	Payload  job.Payload
	// LeaseUntil is the end of the lease, by the endpoint's clock.
	LeaseUntil endpoint.Clock
	Token      shard.Token
	// Trace is the span of the job at this home.
	Trace contract.TraceParent
}

// Stop orders an endpoint to stop a run and never to start it.
type Stop struct {
	Endpoint endpoint.Endpoint
	Task     job.TaskName
	Attempt  job.Attempt
	Token    shard.Token
}

// SequenceNumber counts the events that a home has handled. It orders what the home asked and heard
// exactly, which a clock of milliseconds does not.
type SequenceNumber uint64

// Hold extends the leases of an endpoint, acknowledges ends and asks for both lists.
type Hold struct {
	Endpoint endpoint.Endpoint
	Kind     HoldKind
	// LeaseUntil is the end of the leases, by the endpoint's clock; 0 extends nothing.
	LeaseUntil endpoint.Clock
	Acked      endpoint.EndNumber
	// Wait is how long the endpoint may wait for an end before it answers.
	Wait  clock.Millis
	Token shard.Token
	// Sequence is when the home decided to send it.
	Sequence SequenceNumber
}

// Answer ends a submission.
type Answer struct {
	Key     job.Key
	Outcome job.Outcome
}

// Fenced says that an endpoint obeys another home, so this one has to give up the cell.
type Fenced struct{}

// LogDecision is a decision to be logged.
type LogDecision struct {
	Decision Decision
	Job      job.ID
	Task     job.TaskName
	Endpoint endpoint.Endpoint
	Detail   string
}

// Decision names what a note tells.
type Decision int

// The decisions that are noted.
const (
	EndpointEjected Decision = iota
	EndpointSuspected
	EndpointReturned
	StartUncertain
	AttemptStalled
	AttemptLost
	AttemptFailed
	AttemptUnclaimed
	JobAccepted
	JobRefused
	JobForwarded
	JobAdopted
	JobAbandoned
)

func (Start) action()       {}
func (Stop) action()        {}
func (Hold) action()        {}
func (Answer) action()      {}
func (Fenced) action()      {}
func (LogDecision) action() {}
