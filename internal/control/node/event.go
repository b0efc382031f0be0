package node

import (
	"github.com/sequoiacart/sequoiacart/internal/control/failover"
	"github.com/sequoiacart/sequoiacart/internal/control/gateway"
	"github.com/sequoiacart/sequoiacart/internal/control/leader"
	"github.com/sequoiacart/sequoiacart/internal/world/crash"
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/estimate"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// Event is an input of the control goroutine. It is one of the types of this file.
type Event interface{ event() }

// JobArrived delivers a job that a caller has sent to this VM.
type JobArrived struct {
	Job   job.Job
	Limit clock.Millis
	// WaitsSince is the earliest time at which the caller may have sent the job, by this VM's clock: a
	// request may have waited in its socket while the VM was paused. Limit counts from then on.
	WaitsSince clock.Millis
	// Accepted receives the key of the job, or is closed if its limit has passed. Ended receives the
	// outcome. Both must have a buffer of one.
	Accepted chan<- job.Key
	Ended    chan<- job.Outcome
}

// CallerDisconnected says that the caller of a job no longer waits.
type CallerDisconnected struct{ Key job.Key }

// CancelRequested asks for a job to be cancelled wherever it runs.
type CancelRequested struct {
	Cancellation job.Cancellation
	// Limit is how long the leaders of all shards may take to confirm it.
	Limit clock.Millis
	// Done receives the outcome. It must have a buffer of one.
	Done chan<- CancelOutcome
}

// CancelOutcome is how the request to cancel a job ends. It is one of the types below.
type CancelOutcome interface{ cancelOutcome() }

// CancelConfirmed means that no task of the job starts any more. Found says that a VM had the job.
type CancelConfirmed struct{ Found bool }

// CancelUnconfirmed means that the job may go on.
type CancelUnconfirmed struct{ Reason job.Reason }

func (CancelConfirmed) cancelOutcome()   {}
func (CancelUnconfirmed) cancelOutcome() {}

// CancellationsSaved says whether a row of cancellations has been stored.
type CancellationsSaved struct {
	Row CancellationRow
	OK  bool
}

// CancellationsLoaded is the answer to LoadCancellations: the stored cancellations by their rows, or OK false.
type CancellationsLoaded struct {
	Load CancellationLoad
	Rows map[CancellationRow][]job.Cancellation
	OK   bool
}

// CancellationsRemoved says whether rows have been removed from the store.
type CancellationsRemoved struct {
	Rows []CancellationRow
	OK   bool
}

// CancelAnswered is a peer's answer to a cancellation.
type CancelAnswered struct {
	Cancellation job.Cancellation
	From         vm.Incarnation
	Answer       CancelAnswer
}

// CancelAnswer is what a VM has done about a cancellation.
type CancelAnswer struct {
	// Led are the shards that it leads. None of them starts a task of the job any more.
	Led []shard.ID
	// Found says that it had the job.
	Found bool
}

// SubmitAnswered is the outcome of a submission: the leader's answer or a failed call.
type SubmitAnswered struct {
	Key job.Key
	// From is the leader that the submission was sent to.
	From    gateway.Responder
	Outcome job.Outcome
}

// PeerSubmitted is a submission of another VM for a shard that this VM should lead.
type PeerSubmitted struct {
	Shard      shard.ID
	Submission job.Submission
	// Ended must have a buffer of one.
	Ended chan<- job.Outcome
}

// PeerHeartbeat is a heartbeat of another VM.
type PeerHeartbeat struct {
	Request HeartbeatRequest
	// Reply must have a buffer of one.
	Reply chan<- HeartbeatReply
}

// HeartbeatAnswered is the result of a heartbeat that this VM has sent.
type HeartbeatAnswered struct {
	Shard  shard.ID
	Answer failover.Answer
	Reply  HeartbeatReply
}

// PeerCancelled is a cancellation forwarded by another VM.
type PeerCancelled struct {
	Cancellation job.Cancellation
	// Reply must have a buffer of one.
	Reply chan<- CancelAnswer
}

// PeerYielded is the request of a shard's leader that this VM take over, because the leader shuts
// down or this VM is a better one.
type PeerYielded struct {
	ReplicaSet shard.ReplicaSet
	// From is the leader, or empty if its version of the program does not send it.
	From vm.Incarnation
	// Token is that of the leader, or 0 if its version of the program does not send it.
	Token shard.Token
	// Expires is the time on this VM's clock after which the request is declined, or 0 for none.
	Expires clock.Millis
	// Endpoints is the leader's own list, as of a version of the store.
	Endpoints        []endpoint.Endpoint
	EndpointsVersion int64
	// Done receives whether this VM is the leader now. It must have a buffer of one.
	Done chan<- bool
}

// YieldEnded says whether a successor has taken over a shard.
type YieldEnded struct {
	Shard shard.ID
	// Leadership is the one that asked the successor.
	Leadership LeadershipID
	Accepted   bool
}

// LeaderEvent is the result of an action for the leader that requested it.
type LeaderEvent struct {
	Shard      shard.ID
	Leadership LeadershipID
	Event      leader.Event
}

// DesiredStateLoaded is a desired state, from the store or a peer.
type DesiredStateLoaded struct{ State *queue.State }

// EndpointsLoaded is the store's list of all endpoints, as of a version of the store.
type EndpointsLoaded struct {
	Endpoints []endpoint.Endpoint
	// Unreadable are the keys of rows that describe no endpoint.
	Unreadable []datacentre.EndpointID
	Version    int64
	// ReadAt is when the request was sent to the store, or 0 for a list from a peer.
	ReadAt clock.Millis
	// Gap says that endpoints may have left the list since the one before without being in either.
	Gap bool
	// Leaving are those that said so just before their rows were removed. Whole means that the list was read as a
	// whole, so that it does not tell what those that have disappeared said last.
	Leaving []datacentre.EndpointID
	Whole   bool
}

// StoreReported says whether the store has answered a read of the list of endpoints in time.
type StoreReported struct{ Lost bool }

// VMsLoaded is the store's list of entry VMs, as of a version of the store.
type VMsLoaded struct {
	VMs []shard.VM
	// Version is 0 if nothing was ever written to the store.
	Version int64
	// OwnRevision is the revision of the row under this VM's name, readable or not, or 0 if there is none.
	OwnRevision int64
}

// VMWritten is the result of writing this VM's row.
type VMWritten struct {
	// Revision is that of the row if Written says that the write succeeded.
	Revision int64
	Written  bool
}

// ReplicaSetsLoaded holds replica sets from the store.
type ReplicaSetsLoaded struct{ ReplicaSets []shard.ReplicaSet }

// ReplicaSetWritten is the result of writing a replica set.
type ReplicaSetWritten struct {
	ReplicaSet shard.ReplicaSet
	// Written says that the write succeeded. ReplicaSet then has its revision set.
	Written bool
}

// EstimatesLoaded holds the performance estimates that an earlier leader of a shard has stored.
type EstimatesLoaded struct {
	Shard     shard.ID
	Estimates estimate.Estimates
}

// CrashesLoaded holds crashes that the store has.
type CrashesLoaded struct{ Records []crash.Record }

// DeploymentState is the data about a deployment that a VM needs. It is read from the store, or
// requested from a peer while the store is unavailable.
type DeploymentState struct {
	Desired          *queue.State
	VMs              []shard.VM
	ReplicaSets      []shard.ReplicaSet
	Endpoints        []endpoint.Endpoint
	EndpointsVersion int64
	Evacuations      *EvacuationReport
}

// PeerStateRequested is a peer's request for the state of the deployment.
type PeerStateRequested struct {
	// Reply must have a buffer of one.
	Reply chan<- DeploymentState
}

// SeedAnswered is a seed's answer: the state of the deployment as the seed has it.
type SeedAnswered struct{ State DeploymentState }

// ProbeEnded says whether endpoints of a shard can be reached.
type ProbeEnded struct {
	Shard     shard.ID
	Reachable bool
}

// ShutdownRequested makes the VM hand over the shards that it leads, and refuse the jobs that may last beyond FinishBy.
type ShutdownRequested struct{ FinishBy clock.Millis }

// ShutdownOverdue ends all jobs and leaderships that remain when the process has to exit. Nothing is taken after it.
type ShutdownOverdue struct{}

// Tick triggers periodic work.
type Tick struct{}

func (JobArrived) event()           {}
func (CallerDisconnected) event()   {}
func (CancelRequested) event()      {}
func (CancelAnswered) event()       {}
func (CancellationsSaved) event()   {}
func (CancellationsLoaded) event()  {}
func (CancellationsRemoved) event() {}
func (SubmitAnswered) event()       {}
func (PeerSubmitted) event()        {}
func (PeerHeartbeat) event()        {}
func (HeartbeatAnswered) event()    {}
func (PeerCancelled) event()        {}
func (PeerYielded) event()          {}
func (YieldEnded) event()           {}
func (LeaderEvent) event()          {}
func (DesiredStateLoaded) event()   {}
func (EndpointsLoaded) event()      {}
func (StoreReported) event()        {}
func (VMsLoaded) event()            {}
func (VMWritten) event()            {}
func (ReplicaSetsLoaded) event()    {}
func (ReplicaSetWritten) event()    {}
func (EstimatesLoaded) event()      {}
func (CrashesLoaded) event()        {}
func (PeerStateRequested) event()   {}
func (SeedAnswered) event()         {}
func (ProbeEnded) event()           {}
func (ShutdownRequested) event()    {}
func (ShutdownOverdue) event()      {}
func (Tick) event()                 {}

// HeartbeatRequest is the message of an entry VM to the leader of a shard. It renews the leases of
// the VM's jobs there. The field names are sent.
type HeartbeatRequest struct {
	// Cell is the shard.
	Cell shard.ID
	// From has only the incarnation once the receiver has answered a heartbeat with all of it.
	From shard.VM
	// Sent is a lower bound of the leader's clock when the message was sent; 0 while the sender
	// has no reading of that clock.
	Sent clock.Millis
	// Waiting lists the sender's submissions up to LastSeq whose callers still wait.
	Waiting []uint64
	LastSeq uint64
	// Revision is that of the sender's replica set, Desired the version of its desired state.
	Revision int64
	Desired  queue.Version
	// Clock is the sender's clock when it sent the message.
	Clock clock.Millis
	// Leaving says that the sender shuts down and is no longer available as a successor.
	Leaving bool
	// Loads are the loads of the shards that the sender leads.
	Loads []shard.Load
	// Crashes are those that the receiver does not know yet.
	Crashes CrashUpdate
	// Evacuations are those that the sender knows of, or nil.
	Evacuations *EvacuationReport
}

// HeartbeatReply is the answer of a member of a replica set to a heartbeat. The field names are
// sent.
type HeartbeatReply struct {
	// Home says that the member leads the shard, under Token.
	Home  bool
	Token shard.Token
	// Clock is the member's clock when it answered.
	Clock    clock.Millis
	Draining bool
	// Lineup is the member's replica set, if it is later than the sender's.
	Lineup shard.ReplicaSet
	// Desired is the version of the member's desired state.
	Desired queue.Version
	// Load is that of the shard, if the member leads it.
	Load shard.Load
	// OrphansEndIn is how long after the answer the attempts in the shard have to have ended that no job
	// adopts after this leader, or 0 or less if that is unknown.
	OrphansEndIn clock.Millis
	// ListAge is how long ago each endpoint that the leader uses was in the store's list at the earliest,
	// or 0 if that is unknown.
	ListAge clock.Millis
	// EndpointsVersion is the store's version of the list of endpoints that the member has.
	EndpointsVersion int64
	From             vm.Incarnation
	// Crashes are those that the receiver does not know yet.
	Crashes CrashUpdate
	// Evacuations are those that the sender knows of, or nil.
	Evacuations *EvacuationReport
}
