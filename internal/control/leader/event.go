package leader

import (
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/estimate"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// Event is an input to the leader. It is one of the types of this file.
type Event interface{ event() }

// Submitted is a job that an entry VM submits.
type Submitted struct{ Submission job.Submission }

// JobLeasesRenewed means that an entry VM is running and lists the jobs that it still waits for.
type JobLeasesRenewed struct {
	Entry vm.Incarnation
	// Sent is the latest time at which the entry VM can have sent the message, by the leader's
	// clock.
	Sent clock.Millis
	// Waiting lists the jobs up to LastSeq whose callers still wait.
	Waiting []uint64
	LastSeq uint64
}

// StartEnded is the answer to a start.
type StartEnded struct {
	Endpoint datacentre.EndpointID
	Task     job.TaskName
	Attempt  job.Attempt
	// SentTo is the incarnation that the leader knew when it sent the start.
	SentTo endpoint.Incarnation
	Result endpoint.StartResult
	// Clock is the endpoint's clock when it answered, or 0.
	Clock endpoint.Clock
}

// StartSlow means that a start has had no answer for longer than usual. The answer may still
// arrive.
type StartSlow struct {
	Endpoint datacentre.EndpointID
	Task     job.TaskName
	Attempt  job.Attempt
}

// StopEnded is the answer to a stop.
type StopEnded struct {
	Endpoint datacentre.EndpointID
	Task     job.TaskName
	Attempt  job.Attempt
	// Sequence is the one that the stop was sent with.
	Sequence SequenceNumber
	// Acknowledged means that the attempt is being stopped or can never start.
	Acknowledged bool
}

// HoldEnded is the answer to a hold.
type HoldEnded struct {
	Endpoint datacentre.EndpointID
	Kind     HoldKind
	// Sequence is the one that the hold was sent with.
	Sequence SequenceNumber
	// Report is nil when there was no usable answer.
	Report *endpoint.StatusReport
	// Rejection is why the endpoint refused; it is valid only if Report is nil.
	Rejection HoldRejection
}

// HoldKind is the purpose of a hold.
type HoldKind int

const (
	// Watch waits for the end of an attempt.
	Watch HoldKind = iota
	// Renewal is answered at once; it extends the leases while a watch is in flight.
	Renewal
)

// HoldRejection is why a hold has no status report.
type HoldRejection int

const (
	// HoldUnanswered covers every cause but those below.
	HoldUnanswered HoldRejection = iota
	// HoldFenced means that the endpoint has seen a higher fencing token.
	HoldFenced
	// HoldOtherInstance means that another instance answers at the address of the endpoint.
	HoldOtherInstance
	// HoldRefused means that the endpoint's address refuses connections.
	HoldRefused
	// HoldClosed means that the endpoint closed the connection instead of answering, as the end of its
	// process does. A link that resets connections causes HoldUnanswered.
	HoldClosed
)

// EndpointsListed is the platform's list of the endpoints of the shard.
type EndpointsListed struct {
	Endpoints []endpoint.Endpoint
	// Unproven are those of Endpoints of which it is not known what they have told the store last.
	Unproven map[datacentre.EndpointID]bool
	// Missing are those of Endpoints that have disappeared from the store's list and are kept for a
	// while.
	Missing map[datacentre.EndpointID]bool
	// Complete means that no endpoint with attempts of an earlier leader has left the list before
	// ReadAt: none has left it recently.
	Complete bool
	List     EndpointList
}

// StoreReported says whether the store, which has the list of endpoints, answers this VM.
type StoreReported struct{ Lost bool }

// DesiredState is a newer desired state.
type DesiredState struct{ State *queue.State }

// LoadReported is the load of another shard, as its leader reports it.
type LoadReported struct{ Load shard.Load }

// Cancelled means that the caller of a job has cancelled it.
type Cancelled struct{ Cancellation job.Cancellation }

// EvacuationChanged means that a data centre, this one or another, has been evacuated or taken back.
type EvacuationChanged struct{}

// CancellationsKnown means that the leader has been told of all cancellations that were stored before it took over.
type CancellationsKnown struct{}

// EstimatesLoaded holds the performance estimates of an earlier leader of the shard.
type EstimatesLoaded struct{ Estimates estimate.Estimates }

// Tick is sent at regular intervals for everything that depends on time alone.
type Tick struct{}

func (Submitted) event()          {}
func (JobLeasesRenewed) event()   {}
func (StartEnded) event()         {}
func (StartSlow) event()          {}
func (StopEnded) event()          {}
func (HoldEnded) event()          {}
func (EndpointsListed) event()    {}
func (StoreReported) event()      {}
func (DesiredState) event()       {}
func (LoadReported) event()       {}
func (Cancelled) event()          {}
func (CancellationsKnown) event() {}
func (EvacuationChanged) event()  {}
func (EstimatesLoaded) event()    {}
func (Tick) event()               {}
