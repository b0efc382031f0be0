package entry

import (
	"github.com/sequoiacart/sequoiacart/pkg/accounting"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

const (
	// HeartbeatInterval leaves room for two lost heartbeats before a VM is suspected.
	HeartbeatInterval = 400 * clock.Millis(1)
	// DataCentreHeartbeatInterval is for heartbeats between data centres.
	DataCentreHeartbeatInterval = 450 * clock.Millis(1)
	// probeEvery is for VMs that are listed but silent.
	probeEvery = clock.Second
	// HeartbeatTimeout bounds one heartbeat call.
	HeartbeatTimeout = vm.SuspectAfter
)

// Heartbeat is what one entry VM tells another at intervals.
type Heartbeat struct {
	From          vm.VM
	RosterVersion vm.RosterVersion
	// Backlog counts the tasks that wait at the sender.
	Backlog int
	// Idle counts the slots that the sender could lend.
	Idle datacentre.Slots
	// Reports are the VMs of which the receiver has not yet confirmed the latest news:
	// those of the sender's data centre for another one, those of others inside it.
	Reports []vm.VM
	// Reaches are the other data centres that answer the sender. Inside its data centre
	// the sender vouches for what it reported alive of them.
	Reaches []datacentre.ID
	Drains  []datacentre.DrainReport
	// Usage is a part of the figures of the sender's owners.
	Usage []dispatch.OwnerUsage
	// DataCentres is a part of the figures of the sender's data centre, toward another one, or
	// of those that the sender heard of others, inside it.
	DataCentres []accounting.DataCentreUsage
}

// HeartbeatReceived brings a heartbeat of a peer. Reply: HeartbeatReply.
type HeartbeatReceived struct {
	Waiter    WaiterID
	Heartbeat Heartbeat
}

// HeartbeatAnswered reports that a peer has handled a heartbeat. Answered is the
// incarnation that did, which may be another than the one it was sent to.
type HeartbeatAnswered struct {
	To       vm.VM
	Answered vm.Incarnation
	// RoundTripMicros is the time between the call and its answer.
	RoundTripMicros int64
	ReportedUpTo    change
}

// HeartbeatFailed reports that a heartbeat was not answered in time.
type HeartbeatFailed struct{ To vm.VM }

// RowsRead brings the entry VMs' rows of the platform's table.
type RowsRead struct{ Rows []vm.Row }

// VMsListed brings what the platform's list says of entry VMs.
type VMsListed struct{ Entries []vm.ListEntry }

func (HeartbeatReceived) isEvent() {}
func (HeartbeatAnswered) isEvent() {}
func (HeartbeatFailed) isEvent()   {}
func (RowsRead) isEvent()          {}
func (VMsListed) isEvent()         {}

// SendHeartbeat sends a heartbeat. Ends with HeartbeatAnswered or HeartbeatFailed.
type SendHeartbeat struct {
	To           vm.VM
	Heartbeat    Heartbeat
	reportedUpTo change
}

// DeleteRow deletes the stale row of an incarnation at the platform.
type DeleteRow struct{ Row vm.Row }

// PublishPeers brings the roster and the links to the traffic goroutines.
type PublishPeers struct{ Peers PeerSnapshot }

func (SendHeartbeat) isAction() {}
func (DeleteRow) isAction()     {}
func (PublishPeers) isAction()  {}

// HeartbeatReply names the incarnation that handled a heartbeat.
type HeartbeatReply struct{ Incarnation vm.Incarnation }

func (HeartbeatReply) isReply() {}
