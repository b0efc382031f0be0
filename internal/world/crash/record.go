// Package crash describes crashes of endpoints and finds the tasks that cause them.
package crash

import (
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// ID identifies a crash: an incarnation of an endpoint crashes once.
type ID struct {
	Endpoint    datacentre.EndpointID
	Incarnation endpoint.Incarnation
}

// Record is a crash of an endpoint, or the suspicion of one. The field names are sent.
type Record struct {
	ID    ID
	Shard shard.ID
	// Tasks are those that ran there, in ascending order.
	Tasks []job.TaskName
	// Unconfirmed are those of Tasks whose starts the endpoint had not confirmed. They may never have
	// arrived.
	Unconfirmed []job.TaskName
	// Age is the time since the crash was noticed. VMs do not share a clock.
	Age clock.Millis
	// Abrupt means that the process ended while its tasks had leases. The other crashes prove
	// nothing against a task: a cut endpoint may crash after its attempts have expired.
	Abrupt bool
	// Proved means that the incarnation has ended. Until then, a reset of its connections is as likely.
	Proved bool
	// Withdrawn means that the incarnation has answered since.
	Withdrawn bool
	// Withdrawals counts the earlier crashes of the incarnation that were withdrawn.
	Withdrawals int
}

// Verdict is what the crashes under a task say about it.
type Verdict int

const (
	// Unsuspected tasks have run at no endpoint that crashed, or have ended by themselves since.
	Unsuspected Verdict = iota
	// Suspected tasks have run at an endpoint that crashed.
	Suspected
	// Pending tasks are deadly if the suspected crashes are proved and have no cause in common with
	// others.
	Pending
	// Deadly tasks have crashed two endpoints, or three if one had not confirmed the start, and ran alone at one of
	// them.
	Deadly
)
