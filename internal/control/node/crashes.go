package node

import (
	"github.com/sequoiacart/sequoiacart/internal/world/crash"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// CrashUpdate carries the crashes of endpoints that the receiver does not know yet. The field names
// are sent.
type CrashUpdate struct {
	Records []crash.Record
	// Revision is that of the sender's history which the receiver has after this update.
	Revision crash.Revision
	// Received is the revision of the receiver's history that the sender has.
	Received crash.Revision
}

// maxUpdateRecords bounds the records of an update. Further ones follow with the next heartbeat.
const maxUpdateRecords = 32

// crashExchange is how far this VM and another one know each other's histories.
type crashExchange struct{ sent, received crash.Revision }

// crashUpdate returns the crashes that another VM does not know yet.
func (n *Control) crashUpdate(to vm.Incarnation) CrashUpdate {
	x := n.crashExchanges[to]
	u := CrashUpdate{Received: x.received}
	u.Records, u.Revision = n.crashes.Since(x.sent, maxUpdateRecords, n.now)
	return u
}

// applyCrashUpdate records the crashes that another VM has sent.
func (n *Control) applyCrashUpdate(from vm.Incarnation, u CrashUpdate) {
	if u.Revision == 0 && u.Received == 0 && n.crashes.Revision() == 0 {
		return
	}
	for _, r := range u.Records {
		n.crashes.Add(r, n.now)
	}
	x := n.crashExchanges[from]
	// Answers may arrive out of order, and the sender of an older version of the program has no
	// revisions.
	n.crashExchanges[from] = crashExchange{sent: max(x.sent, u.Received), received: max(x.received, u.Revision)}
}

// saveCrashes stores the known crashes, so that they outlast all VMs.
func (n *Control) saveCrashes(id shard.ID) {
	led := n.ledShards[id]
	if led == nil || led.savedCrashes == n.crashes.Revision() {
		return
	}
	led.savedCrashes = n.crashes.Revision()
	n.emit(SaveCrashes{Shard: id, Records: n.crashes.Latest(maxStoredRecords, n.now)})
}

// maxStoredRecords bounds the row of a shard.
const maxStoredRecords = 128

func (n *Control) handleCrashesLoaded(e CrashesLoaded) {
	for _, r := range e.Records {
		n.crashes.Add(r, n.now)
	}
}
