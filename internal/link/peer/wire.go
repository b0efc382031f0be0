package peer

import (
	"github.com/sequoiacart/sequoiacart/internal/control/node"
	"github.com/sequoiacart/sequoiacart/internal/link/store"
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// SubmitRequest submits a job to the leader of a shard.
type SubmitRequest struct {
	// Cell is the shard. The name is sent.
	Cell shard.ID
	// Submission has the trace parent of the call in its job.
	Submission job.Submission
}

// SubmitReply is the outcome of a submission.
type SubmitReply struct {
	// Kind is one of the kinds of outcomes below; the other fields are those of this kind.
	Kind       int
	Task       job.TaskName
	Reason     job.Reason
	RetryAfter clock.Millis
	To         shard.ID
	Shares     []job.Share
	Cause      string
}

// Kinds of outcomes on the wire.
const (
	kindCompleted = iota + 1
	kindFailed
	kindRefused
	kindRedirected
	kindMoved
	kindStopped
	kindUnanswered
	kindDivided
	kindCancelled
)

func encodeOutcome(o job.Outcome) SubmitReply {
	switch o := o.(type) {
	case job.Completed:
		return SubmitReply{Kind: kindCompleted}
	case job.Failed:
		return SubmitReply{Kind: kindFailed, Task: o.Task}
	case job.Refused:
		return SubmitReply{Kind: kindRefused, Reason: o.Reason, RetryAfter: o.RetryAfter}
	case job.Redirected:
		return SubmitReply{Kind: kindRedirected, To: o.To}
	case job.Divided:
		return SubmitReply{Kind: kindDivided, Shares: o.Shares}
	case job.Moved:
		return SubmitReply{Kind: kindMoved}
	case job.Cancelled:
		return SubmitReply{Kind: kindCancelled}
	case job.Stopped:
		return SubmitReply{Kind: kindStopped, Reason: o.Reason}
	case job.Unanswered:
		return SubmitReply{Kind: kindUnanswered, Cause: o.Cause}
	}
	return SubmitReply{Kind: kindUnanswered, Cause: "unknown outcome"}
}

func decodeOutcome(r SubmitReply) job.Outcome {
	switch r.Kind {
	case kindCompleted:
		return job.Completed{}
	case kindFailed:
		return job.Failed{Task: r.Task}
	case kindRefused:
		return job.Refused{Reason: r.Reason, RetryAfter: r.RetryAfter}
	case kindRedirected:
		return job.Redirected{To: r.To}
	case kindDivided:
		return job.Divided{Shares: r.Shares}
	case kindMoved:
		return job.Moved{}
	case kindCancelled:
		return job.Cancelled{}
	case kindStopped:
		return job.Stopped{Reason: r.Reason}
	}
	return job.Unanswered{Cause: r.Cause}
}

// CancelRequest cancels a job.
type CancelRequest struct {
	Job    job.ID
	Origin job.Origin
}

// CancelReply names the shards that the VM leads. None of them starts a task of the job any more.
type CancelReply struct {
	Led   []shard.ID
	Found bool
}

// YieldRequest asks a successor to take over a shard.
type YieldRequest struct {
	// Lineup is the replica set of the shard. The name is sent.
	Lineup           shard.ReplicaSet
	Endpoints        []endpoint.Endpoint
	EndpointsVersion int64
	// From is the leader, Token its token.
	From  vm.Incarnation
	Token shard.Token
	// Expires is the time on the successor's clock after which it declines, or 0.
	Expires clock.Millis
}

// YieldReply reports whether the successor has taken over the shard. The name Taken is sent.
type YieldReply struct{ Taken bool }

// Empty is the argument or reply of methods that have none.
type Empty struct{}

// DesiredReply is a desired state; version 0 means none.
type DesiredReply struct {
	Version  queue.Version
	Queues   []queue.Queue
	Services map[queue.ServiceName]queue.Service
	Limits   queue.Limits
}

// EndpointsReply is a VM's list of endpoints at a version of the store.
type EndpointsReply struct {
	Endpoints []endpoint.Endpoint
	Version   int64
}

// DeploymentStateReply is what a VM has recorded of the deployment.
type DeploymentStateReply struct {
	Desired DesiredReply
	VMs     []shard.VM
	// Lineups are the replica sets of the shards. The name is sent.
	Lineups   []shard.ReplicaSet
	Endpoints EndpointsReply
	// Evacuations is nil in a deployment without any.
	Evacuations *node.EvacuationReport
}

// ChangesRequest asks for the changes of the list of endpoints after a version of the store.
type ChangesRequest struct{ After store.Revision }

// ChangesReply has the changes up to the version of the VM's latest read of the list.
type ChangesReply struct {
	Snapshot store.Snapshot
	// Age is how long ago the request of that read was sent.
	Age clock.Millis
	// Known says that the VM has all these changes.
	Known bool
}

func encodeDesired(d *queue.State) DesiredReply {
	if d == nil {
		return DesiredReply{}
	}
	return DesiredReply{Version: d.Version, Queues: d.Queues, Services: d.Services, Limits: d.Limits}
}

func decodeDesired(r *DesiredReply) *queue.State {
	if r.Version == 0 {
		return nil
	}
	return queue.NewState(r.Version, r.Queues, r.Services, r.Limits)
}

// HeartbeatRequest needs no wire type of its own: gob can encode all its fields, whose names are
// sent.
type HeartbeatRequest = node.HeartbeatRequest

// HeartbeatReply needs no wire type of its own either.
type HeartbeatReply = node.HeartbeatReply
