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

// Event is what a home hears. It is one of the types of this file.
type Event interface{ event() }

// Submitted is a job that an entry VM wants to have run.
type Submitted struct{ Submission job.Submission }

// JobLeasesRenewed says that an entry VM lives and which of its jobs it still waits for.
type JobLeasesRenewed struct {
	Entry vm.Incarnation
	// Sent is when the entry VM sent the message, by the home's clock and at the latest.
	Sent clock.Millis
	// Waiting lists the jobs up to LastSeq that somebody waits for.
	Waiting []uint64
	LastSeq uint64
}

// StartEnded is the answer to a start.
type StartEnded struct {
	Endpoint datacentre.EndpointID
	Task     job.TaskName
	Attempt  job.Attempt
	Result   endpoint.StartResult
	// Clock is the endpoint's clock when it answered, or 0.
	Clock endpoint.Clock
}

// StartSlow says that a start has had no answer for longer than usual. The answer may still come.
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
	// Acknowledged says that the run has been stopped or can never start.
	Acknowledged bool
}

// HoldEnded is the answer to a hold.
type HoldEnded struct {
	Endpoint datacentre.EndpointID
	Kind     HoldKind
	// Sequence is that of the hold.
	Sequence SequenceNumber
	// Report is nil when there was no usable answer.
	Report *endpoint.StatusReport
	// Rejection tells why the endpoint refused; it counts only without a Look.
	Rejection HoldRejection
}

// HoldKind tells the two purposes of holds apart.
type HoldKind int

const (
	// Watch waits for the end of a run.
	Watch HoldKind = iota
	// Renewal is answered at once; it extends the leases while a watch is under way.
	Renewal
)

// HoldRejection is why a hold had no look.
type HoldRejection int

const (
	// HoldUnanswered covers everything but the two below.
	HoldUnanswered HoldRejection = iota
	// HoldFenced means that the endpoint has seen a higher fencing token.
	HoldFenced
	// HoldOtherIncarnation means that the endpoint has restarted.
	HoldOtherIncarnation
)

// EndpointsListed is the content of the platform's list for the cell.
type EndpointsListed struct {
	Endpoints []endpoint.Endpoint
	// Complete says that no endpoint has vanished from the list for long enough that an
	// earlier home can have runs only at those that are listed.
	Complete bool
}

// DesiredState is a newer desired state.
type DesiredState struct{ State *queue.State }

// LoadReported is what another cell's home told of its load.
type LoadReported struct{ Load shard.Load }

// Cancelled says that the caller of a job does not want it any more.
type Cancelled struct{ Job job.ID }

// EstimatesLoaded is what an earlier home of the cell has learnt.
type EstimatesLoaded struct{ Estimates estimate.Estimates }

// Tick lets time pass.
type Tick struct{}

func (Submitted) event()        {}
func (JobLeasesRenewed) event() {}
func (StartEnded) event()       {}
func (StartSlow) event()        {}
func (StopEnded) event()        {}
func (HoldEnded) event()        {}
func (EndpointsListed) event()  {}
func (DesiredState) event()     {}
func (LoadReported) event()     {}
func (Cancelled) event()        {}
func (EstimatesLoaded) event()  {}
func (Tick) event()             {}
