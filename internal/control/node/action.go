package node

import (
	"github.com/sequoiacart/sequoiacart/internal/control/leader"
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/estimate"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// Action is what the traffic goroutines have to do. It is one of the types of this file.
type Action interface{ action() }

// LeaderAction is a start, stop or hold of a home.
type LeaderAction struct {
	Shard  shard.ID
	Action leader.Action
}

// SendSubmission hands a job to a home at another VM.
type SendSubmission struct {
	To         shard.Member
	Shard      shard.ID
	Submission job.Submission
}

// SendHeartbeat sends a beat.
type SendHeartbeat struct {
	To      shard.Member
	Request HeartbeatRequest
	// SentAt is when the answer's round trip begins, by this VM's clock.
	SentAt clock.Millis
}

// SendCancel passes a cancellation on.
type SendCancel struct {
	To  shard.Member
	Job job.ID
}

// SendYield asks a successor to take over.
type SendYield struct {
	To         shard.Member
	ReplicaSet shard.ReplicaSet
	// Endpoints is the home's own list, as of a version of the store.
	Endpoints        []endpoint.Endpoint
	EndpointsVersion int64
}

// WriteReplicaSet writes a lineup if the store's is still at the expected revision; 0 means
// that there is none.
type WriteReplicaSet struct {
	ReplicaSet shard.ReplicaSet
	Expected   int64
}

// LoadEstimates reads what an earlier home of a cell has learnt.
type LoadEstimates struct{ Shard shard.ID }

// SaveEstimates keeps what the home of a cell has learnt.
type SaveEstimates struct {
	Shard     shard.ID
	Estimates estimate.Estimates
}

// Probe tries whether any of the endpoints of a cell can be reached.
type Probe struct {
	Shard     shard.ID
	Endpoints []endpoint.Endpoint
}

// QuerySeed asks a VM of which only the address is known for all that it knows.
type QuerySeed struct{ Address string }

// FetchDesiredState asks a peer for its desired state.
type FetchDesiredState struct{ From shard.Member }

// FetchEndpoints asks a peer for its list of endpoints.
type FetchEndpoints struct{ From shard.Member }

// Report is a decision to be logged.
type Report struct {
	Topic      Topic
	Shard      shard.ID
	Job        job.ID
	Decision   *leader.LogDecision
	ReplicaSet shard.ReplicaSet
	Rank       int
	Token      shard.Token
	// Outcome and Waited belong to the end of a job.
	Outcome job.Outcome
	Waited  clock.Millis
	Parts   int
	Version queue.Version
}

// Topic names what a report tells.
type Topic int

// The topics.
const (
	JobEnded Topic = iota
	LeaderDecision
	LeadershipAcquired
	LeadershipLost
	LeadershipYielded
	ReplicaSetUpdated
	DesiredStateApplied
)

func (LeaderAction) action()      {}
func (SendSubmission) action()    {}
func (SendHeartbeat) action()     {}
func (SendCancel) action()        {}
func (SendYield) action()         {}
func (WriteReplicaSet) action()   {}
func (LoadEstimates) action()     {}
func (SaveEstimates) action()     {}
func (Probe) action()             {}
func (QuerySeed) action()         {}
func (FetchDesiredState) action() {}
func (FetchEndpoints) action()    {}
func (Report) action()            {}
