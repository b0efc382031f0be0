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

// Order is a start, stop or hold of a home.
type Order struct {
	Cell  shard.ID
	Order leader.Action
}

// SendSubmission hands a job to a home at another VM.
type SendSubmission struct {
	To         shard.Member
	Cell       shard.ID
	Submission job.Submission
}

// SendBeat sends a beat.
type SendBeat struct {
	To   shard.Member
	Beat BeatRequest
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
	To     shard.Member
	Lineup shard.ReplicaSet
	// Endpoints is the home's own list, as of a version of the store.
	Endpoints        []endpoint.Endpoint
	EndpointsVersion int64
}

// WriteLineup writes a lineup if the store's is still at the expected revision; 0 means
// that there is none.
type WriteLineup struct {
	Lineup   shard.ReplicaSet
	Expected int64
}

// ReadExperience reads what an earlier home of a cell has learnt.
type ReadExperience struct{ Cell shard.ID }

// WriteExperience keeps what the home of a cell has learnt.
type WriteExperience struct {
	Cell       shard.ID
	Experience estimate.Estimates
}

// Probe tries whether any of the endpoints of a cell can be reached.
type Probe struct {
	Cell      shard.ID
	Endpoints []endpoint.Endpoint
}

// AskSeed asks a VM of which only the address is known for all that it knows.
type AskSeed struct{ Address string }

// FetchDesired asks a peer for its desired state.
type FetchDesired struct{ From shard.Member }

// FetchEndpoints asks a peer for its list of endpoints.
type FetchEndpoints struct{ From shard.Member }

// Report is a decision to be logged.
type Report struct {
	What   Topic
	Cell   shard.ID
	Job    job.ID
	Note   *leader.LogDecision
	Lineup shard.ReplicaSet
	Rank   int
	Token  shard.Token
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
	HomeNote
	HomeTaken
	HomeLost
	HomeYielded
	LineupLearnt
	DesiredInForce
)

func (Order) action()           {}
func (SendSubmission) action()  {}
func (SendBeat) action()        {}
func (SendCancel) action()      {}
func (SendYield) action()       {}
func (WriteLineup) action()     {}
func (ReadExperience) action()  {}
func (WriteExperience) action() {}
func (Probe) action()           {}
func (AskSeed) action()         {}
func (FetchDesired) action()    {}
func (FetchEndpoints) action()  {}
func (Report) action()          {}
