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
	Run      job.Attempt
	Payload  job.Payload
	// Until is the end of the lease, by the endpoint's clock.
	Until endpoint.Clock
	Token shard.Token
	// Trace is the span of the job at this home.
	Trace contract.TraceParent
}

// Stop orders an endpoint to stop a run and never to start it.
type Stop struct {
	Endpoint endpoint.Endpoint
	Task     job.TaskName
	Run      job.Attempt
	Token    shard.Token
}

// Moment counts the events that a home has handled. It orders what the home asked and heard
// exactly, which a clock of milliseconds does not.
type Moment uint64

// Hold extends the leases of an endpoint, acknowledges ends and asks for both lists.
type Hold struct {
	Endpoint endpoint.Endpoint
	Kind     HoldKind
	// Until is the end of the leases, by the endpoint's clock; 0 extends nothing.
	Until endpoint.Clock
	Acked endpoint.EndNumber
	// Wait is how long the endpoint may wait for an end before it answers.
	Wait  clock.Millis
	Token shard.Token
	// Asked is when the home decided to send it.
	Asked Moment
}

// Answer ends a submission.
type Answer struct {
	Key     job.Key
	Outcome job.Outcome
}

// Fenced says that an endpoint obeys another home, so this one has to give up the cell.
type Fenced struct{}

// Note is a decision to be logged.
type Note struct {
	What     Decision
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
	StartDoubted
	RunStalled
	RunLost
	RunFailed
	RunUnclaimed
	JobTaken
	JobRefused
	JobPassedOn
	JobAdopted
	JobAbandoned
)

func (Start) action()  {}
func (Stop) action()   {}
func (Hold) action()   {}
func (Answer) action() {}
func (Fenced) action() {}
func (Note) action()   {}
