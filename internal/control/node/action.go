package node

import (
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

// Action is work for the traffic goroutines. It is one of the types of this file.
type Action interface{ action() }

// LeadershipID identifies a leadership of this VM: the time from when it becomes the leader of a
// shard until it steps down. Each leadership has a leader of its own, whose numbers start anew.
type LeadershipID uint64

// LeaderAction is a start, stop or hold that the leader of a shard requests.
type LeaderAction struct {
	Shard      shard.ID
	Leadership LeadershipID
	Action     leader.Action
}

// Result returns the event that delivers a result of the action to the leader that requested it.
func (a LeaderAction) Result(e leader.Event) LeaderEvent {
	return LeaderEvent{Shard: a.Shard, Leadership: a.Leadership, Event: e}
}

// SendSubmission submits a job to a leader at another VM.
type SendSubmission struct {
	To         shard.Member
	Shard      shard.ID
	Submission job.Submission
}

// SendHeartbeat sends a heartbeat to a member of a replica set.
type SendHeartbeat struct {
	To      shard.Member
	Request HeartbeatRequest
	// SentAt is when the round trip begins, by this VM's clock.
	SentAt clock.Millis
	// Patience is how much longer than usual the answer may take.
	Patience clock.Millis
}

// SendCancel forwards a cancellation to a member of a replica set.
type SendCancel struct {
	To           shard.Member
	Cancellation job.Cancellation
}

// CancellationRow is the key of a row with cancellations in the store.
type CancellationRow string

// CancellationLoad numbers the reads of the stored cancellations by this VM, from 1.
type CancellationLoad uint64

// SaveCancellations stores cancellations in a row of their own.
type SaveCancellations struct {
	Row CancellationRow
	All []job.Cancellation
}

// LoadCancellations reads all stored cancellations.
type LoadCancellations struct{ Load CancellationLoad }

// RemoveCancellations removes rows from the store.
type RemoveCancellations struct{ Rows []CancellationRow }

// SendYield asks a successor to take over.
type SendYield struct {
	To         shard.Member
	From       vm.Incarnation
	Leadership LeadershipID
	ReplicaSet shard.ReplicaSet
	// Token is that of this VM as the leader.
	Token shard.Token
	// Expires is the time on the successor's clock after which it declines, or 0 if its clock is
	// unknown.
	Expires clock.Millis
	// Endpoints is the leader's own list, as of a version of the store.
	Endpoints        []endpoint.Endpoint
	EndpointsVersion int64
}

// WriteVM writes this VM's row if the one in the store still has the expected revision; 0 means that there is none.
type WriteVM struct {
	VM       shard.VM
	Expected int64
}

// WriteReplicaSet writes a replica set if the one in the store still has the expected revision; 0
// means that there is none.
type WriteReplicaSet struct {
	ReplicaSet shard.ReplicaSet
	Expected   int64
}

// LoadEstimates reads the performance estimates that an earlier leader of a shard has stored.
type LoadEstimates struct{ Shard shard.ID }

// SaveEstimates stores the performance estimates of a shard.
type SaveEstimates struct {
	Shard     shard.ID
	Estimates estimate.Estimates
}

// LoadCrashes reads the crashes that an earlier leader of a shard has stored.
type LoadCrashes struct{ Shard shard.ID }

// SaveCrashes stores the crashes that the leader of a shard knows of.
type SaveCrashes struct {
	Shard   shard.ID
	Records []crash.Record
}

// Probe tests whether any of the endpoints of a shard can be reached.
type Probe struct {
	Shard     shard.ID
	Endpoints []endpoint.Endpoint
}

// QuerySeed requests the state of the deployment from a VM of which only the address is known.
type QuerySeed struct{ Address string }

// FetchDesiredState requests the desired state from a peer.
type FetchDesiredState struct{ From shard.Member }

// FetchEndpoints requests the list of endpoints from a peer.
type FetchEndpoints struct{ From shard.Member }

// ReadEndpoints requests the list of endpoints from the store at once.
type ReadEndpoints struct{}

// LogEvent writes an event to the log.
type LogEvent struct {
	Topic      Topic
	Shard      shard.ID
	Job        job.ID
	Decision   *leader.LogDecision
	ReplicaSet shard.ReplicaSet
	Rank       int
	Token      shard.Token
	// List is the list of endpoints of LeadershipAcquired, with the number of its endpoints in the
	// shard and whether it counts as complete.
	List         leader.EndpointListState
	Endpoints    int
	ListComplete bool
	// Outcome, Waited and Parts are set for JobEnded.
	Outcome job.Outcome
	Waited  clock.Millis
	Parts   int
	// DataCentre is set for EvacuationRequested and EvacuationWithdrawn. SinceClear is how long ago it was known
	// not to be evacuated, or 0 if it never was, and Evacuations the number of evacuated data centres.
	DataCentre  datacentre.ID
	SinceClear  clock.Millis
	Evacuations int
	// VM is the row that was in the place of this VM's, for RowOverwritten and VMReplaced. It is empty if that row was
	// missing or unreadable.
	VM shard.VM
	// Version is that of the desired state, for JobEnded and DesiredStateApplied.
	Version queue.Version
}

// Topic is the subject of a LogEvent.
type Topic int

// The topics of log events.
const (
	JobEnded Topic = iota
	LeaderDecision
	LeadershipAcquired
	LeadershipLost
	LeadershipYielded
	ReplicaSetUpdated
	DesiredStateApplied
	EvacuationRequested
	EvacuationWithdrawn
	RowOverwritten
	VMReplaced
)

func (LeaderAction) action()        {}
func (SendSubmission) action()      {}
func (SendHeartbeat) action()       {}
func (SendCancel) action()          {}
func (SaveCancellations) action()   {}
func (LoadCancellations) action()   {}
func (RemoveCancellations) action() {}
func (SendYield) action()           {}
func (WriteVM) action()             {}
func (WriteReplicaSet) action()     {}
func (LoadEstimates) action()       {}
func (SaveEstimates) action()       {}
func (LoadCrashes) action()         {}
func (SaveCrashes) action()         {}
func (Probe) action()               {}
func (QuerySeed) action()           {}
func (FetchDesiredState) action()   {}
func (FetchEndpoints) action()      {}
func (ReadEndpoints) action()       {}
func (LogEvent) action()            {}
