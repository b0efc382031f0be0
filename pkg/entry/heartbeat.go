package entry

import (
	"github.com/sequoiacart/sequoiacart/pkg/accounting"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

const (
	// HeartbeatInterval tolerates two lost heartbeats before a VM is suspected.
	HeartbeatInterval = 400 * clock.Millis(1)
	// DataCentreHeartbeatInterval is for heartbeats between data centres.
	DataCentreHeartbeatInterval = 450 * clock.Millis(1)
	// probeInterval is the interval for removed VMs that still have a row in the platform's
	// table.
	probeInterval = clock.Second
	// HeartbeatTimeout bounds one heartbeat call.
	HeartbeatTimeout = vm.SuspectAfter
)

// Heartbeat is the state that one entry VM sends to another periodically.
type Heartbeat struct {
	From          vm.VM
	RosterVersion vm.RosterVersion
	// Backlog is the number of tasks queued at the sender.
	Backlog int
	// Lendable is the number of slots that the sender could lend.
	Lendable datacentre.Slots
	// Reports are the VMs whose latest state the receiver has not confirmed yet: VMs of the
	// sender's data centre if the receiver is in another one, else VMs of the others.
	Reports []vm.VM
	// Reaches are the other data centres that answer the sender. Sent to a receiver in the
	// same data centre, they confirm the VMs that the sender has reported as alive there.
	Reaches []datacentre.ID
	Drains  []datacentre.DrainReport
	// Usage is a part of the sender's usage by owner.
	Usage []dispatch.OwnerUsage
	// DataCentres is a part of the usage of the sender's data centre if the receiver is in
	// another one, else of the usage that the sender received from other data centres.
	DataCentres []accounting.DataCentreUsage
}

// HeartbeatReceived carries a heartbeat of a peer. Reply: HeartbeatReply.
type HeartbeatReceived struct {
	Waiter    WaiterID
	Heartbeat Heartbeat
}

// HeartbeatAnswered reports that a peer has handled a heartbeat. Answered is the incarnation
// that handled it, which may differ from the one it was sent to.
type HeartbeatAnswered struct {
	To       vm.VM
	Answered vm.Incarnation
	// RoundTripMicros is the time between the call and its answer.
	RoundTripMicros int64
	ReportedUpTo    changeNumber
}

// HeartbeatFailed reports that a heartbeat was not answered in time.
type HeartbeatFailed struct{ To vm.VM }

// RowsRead carries the entry VMs' rows of the platform's table.
type RowsRead struct {
	Rows []vm.Row
	// RequestedAt is when the read began. Rows that were written later may be missing.
	RequestedAt clock.Millis
}

// VMsListed carries the entry VMs in the platform's list.
type VMsListed struct{ Entries []vm.ListEntry }

func (HeartbeatReceived) isEvent() {}
func (HeartbeatAnswered) isEvent() {}
func (HeartbeatFailed) isEvent()   {}
func (RowsRead) isEvent()          {}
func (VMsListed) isEvent()         {}

// SendHeartbeat sends a heartbeat. It completes with HeartbeatAnswered or HeartbeatFailed.
type SendHeartbeat struct {
	To           vm.VM
	Heartbeat    Heartbeat
	reportedUpTo changeNumber
}

// DeleteRow deletes the stale row of an incarnation at the platform.
type DeleteRow struct{ Row vm.Row }

// PublishPeers passes the roster and the link states to the traffic goroutines.
type PublishPeers struct{ Peers PeerSnapshot }

func (SendHeartbeat) isAction() {}
func (DeleteRow) isAction()     {}
func (PublishPeers) isAction()  {}

// HeartbeatReply carries the incarnation that handled a heartbeat.
type HeartbeatReply struct{ Incarnation vm.Incarnation }

func (HeartbeatReply) isReply() {}
