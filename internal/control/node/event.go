package node

import (
	"github.com/sequoiacart/sequoiacart/internal/control/failover"
	"github.com/sequoiacart/sequoiacart/internal/control/leader"
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/estimate"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// Event is what the control goroutine hears. It is one of the types of this file.
type Event interface{ event() }

// JobArrived is a job that a caller has sent to this VM.
type JobArrived struct {
	Job   job.Job
	Limit clock.Millis
	// Accepted receives the key of the job, Ended its outcome. Both have room for one.
	Accepted chan<- job.Key
	Ended    chan<- job.Outcome
}

// CallerDisconnected says that the caller of a job waits no longer.
type CallerDisconnected struct{ Key job.Key }

// CancelRequested asks for a job to be cancelled wherever it runs.
type CancelRequested struct{ Job job.ID }

// SubmitAnswered is what a home, or the way to it, made of a submission.
type SubmitAnswered struct {
	Key     job.Key
	From    shard.ID
	Outcome job.Outcome
}

// PeerSubmitted is a submission of another VM, to a cell whose home this VM should be.
type PeerSubmitted struct {
	Shard      shard.ID
	Submission job.Submission
	// Ended has room for one.
	Ended chan<- job.Outcome
}

// PeerHeartbeat is a beat of another VM.
type PeerHeartbeat struct {
	Request HeartbeatRequest
	// Reply has room for one.
	Reply chan<- HeartbeatReply
}

// HeartbeatAnswered is the answer of a member to this VM's beat.
type HeartbeatAnswered struct {
	Shard  shard.ID
	Answer failover.Answer
	Reply  HeartbeatReply
}

// PeerCancelled is a cancellation that another VM passes on.
type PeerCancelled struct{ Job job.ID }

// PeerYielded says that the home of a cell shuts down and wants this VM to take over.
type PeerYielded struct {
	ReplicaSet shard.ReplicaSet
	// Endpoints is the home's own list, as of a version of the store.
	Endpoints        []endpoint.Endpoint
	EndpointsVersion int64
	// Done has room for one and tells whether this VM is home now.
	Done chan<- bool
}

// YieldEnded says whether a successor has taken a cell over.
type YieldEnded struct {
	Shard    shard.ID
	Accepted bool
}

// LeaderEvent is an event for the home of a cell.
type LeaderEvent struct {
	Shard shard.ID
	Event leader.Event
}

// DesiredStateLoaded is a desired state, from the store or a peer.
type DesiredStateLoaded struct{ State *queue.State }

// EndpointsLoaded is the store's list of all endpoints, as of a version of the store.
type EndpointsLoaded struct {
	Endpoints []endpoint.Endpoint
	Version   int64
}

// VMsLoaded is the store's list of entry VMs.
type VMsLoaded struct{ VMs []shard.VM }

// ReplicaSetsLoaded are lineups in the store.
type ReplicaSetsLoaded struct{ ReplicaSets []shard.ReplicaSet }

// ReplicaSetWritten is the result of writing a lineup.
type ReplicaSetWritten struct {
	ReplicaSet shard.ReplicaSet
	// Written says that the lineup stands, with its revision filled in.
	Written bool
}

// EstimatesLoaded is what an earlier home of a cell has learnt.
type EstimatesLoaded struct {
	Shard     shard.ID
	Estimates estimate.Estimates
}

// DeploymentState is all that a VM has to know of a deployment: what it reads from the store, or
// asks a peer for while the store is away.
type DeploymentState struct {
	Desired          *queue.State
	VMs              []shard.VM
	ReplicaSets      []shard.ReplicaSet
	Endpoints        []endpoint.Endpoint
	EndpointsVersion int64
}

// PeerStateRequested asks for all that this VM knows.
type PeerStateRequested struct {
	// Reply has room for one.
	Reply chan<- DeploymentState
}

// SeedAnswered is what a seed knows.
type SeedAnswered struct{ State DeploymentState }

// ProbeEnded says whether endpoints of a cell can be reached.
type ProbeEnded struct {
	Shard     shard.ID
	Reachable bool
}

// ShutdownRequested makes the VM hand over what it is home of.
type ShutdownRequested struct{}

// ShutdownOverdue ends what is left when the process has to exit.
type ShutdownOverdue struct{}

// Tick lets time pass.
type Tick struct{}

func (JobArrived) event()         {}
func (CallerDisconnected) event() {}
func (CancelRequested) event()    {}
func (SubmitAnswered) event()     {}
func (PeerSubmitted) event()      {}
func (PeerHeartbeat) event()      {}
func (HeartbeatAnswered) event()  {}
func (PeerCancelled) event()      {}
func (PeerYielded) event()        {}
func (YieldEnded) event()         {}
func (LeaderEvent) event()        {}
func (DesiredStateLoaded) event() {}
func (EndpointsLoaded) event()    {}
func (VMsLoaded) event()          {}
func (ReplicaSetsLoaded) event()  {}
func (ReplicaSetWritten) event()  {}
func (EstimatesLoaded) event()    {}
func (PeerStateRequested) event() {}
func (SeedAnswered) event()       {}
func (ProbeEnded) event()         {}
func (ShutdownRequested) event()  {}
func (ShutdownOverdue) event()    {}
func (Tick) event()               {}

// HeartbeatRequest is what an entry VM tells the home of a cell.
type HeartbeatRequest struct {
	Cell shard.ID
	From shard.VM
	// Sent is when the message was sent, by the home's clock and at the latest; 0 while
	// the sender does not know the home's clock.
	Sent    clock.Millis
	Waiting []uint64
	LastSeq uint64
	// Revision is that of the lineup that the sender knows.
	Revision int64
	Desired  queue.Version
	// Leaving says that the sender shuts down and stands in for nobody any more.
	Leaving bool
	// Loads are the figures of the cells whose home the sender is.
	Loads []shard.Load
}

// HeartbeatReply is what a member answers.
type HeartbeatReply struct {
	Home     bool
	Token    shard.Token
	Clock    clock.Millis
	Draining bool
	// Lineup is filled in when it is later than the sender's.
	Lineup  shard.ReplicaSet
	Desired queue.Version
	Load    shard.Load
	// EndpointsVersion is the store's version of the list of endpoints that the member has.
	EndpointsVersion int64
	From             vm.Incarnation
}
