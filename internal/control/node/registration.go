package node

import (
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

const (
	// registrationRetry is the pause after a write of this VM's row that failed. A row that changed meanwhile has been
	// read again by then.
	registrationRetry = clock.Millis(150)
	// registrationInterval is the pause after a write that succeeded, so that another writer that keeps overwriting the
	// row costs few calls to the store.
	registrationInterval = clock.Second
)

// registration is this VM's row in the store. It is only written on the condition that the store still has the row that
// was read before, so that a write that the store carries out late replaces no later one.
type registration struct {
	// generation is that of this process, or 0 until the row has been read.
	generation shard.Generation
	// confirmed means that the store has had the row of this process.
	confirmed bool
	// due means that the row has to be written, at nextWriteAt at the earliest, and writing that a write is pending.
	due, writing bool
	nextWriteAt  clock.Millis
	// replaced means that a later process of this VM has written its row. This one leaves that alone from then on.
	replaced bool
	// revision is that of the row in the latest read, which has the store's version, or of a later write.
	revision, version int64
	// written is the revision of the latest write that was answered.
	written int64
}

// checkRegistration decides from a read of the store whether this VM's row has to be written.
func (n *Control) checkRegistration(e VMsLoaded) {
	r := &n.registration
	if e.Version < r.written || r.replaced {
		return
	}
	r.revision, r.version = e.OwnRevision, e.Version
	found := n.ownRow(e)
	switch {
	case found.Incarnation == n.config.Self.Incarnation:
		r.confirmed, r.due = true, false
	case !r.confirmed:
		// The processes before may have rows that are carried out late, so a later one may still appear.
		r.generation, r.due = max(r.generation, found.Generation+1), true
	case found.Generation > r.generation:
		r.replaced = true
		n.emit(LogEvent{Topic: VMReplaced, VM: found})
	default:
		if found.Generation == r.generation {
			r.generation++
		}
		r.due = true
		n.emit(LogEvent{Topic: RowOverwritten, VM: found})
	}
	n.register()
}

// ownRow returns the row of a process of this VM, or an empty one if there is none that can be read.
func (n *Control) ownRow(e VMsLoaded) shard.VM {
	for _, v := range e.VMs {
		if v.Revision == e.OwnRevision && v.Incarnation.VM() == n.config.Self.Incarnation.VM() {
			return v
		}
	}
	return shard.VM{}
}

// register writes this VM's row if that is due.
func (n *Control) register() {
	r := &n.registration
	if !r.due || r.writing || r.replaced || n.isLeaving() || n.now < r.nextWriteAt {
		return
	}
	r.writing = true
	v := n.config.Self
	v.Generation = r.generation
	n.emit(WriteVM{VM: v, Expected: r.revision})
}

// handleVMWritten records the result of a write. A read that includes the write may have been answered before it.
func (n *Control) handleVMWritten(e VMWritten) {
	r := &n.registration
	r.writing = false
	if !e.Written {
		r.nextWriteAt = n.now + registrationRetry
		return
	}
	r.confirmed, r.written, r.nextWriteAt = true, e.Revision, n.now+registrationInterval
	if e.Revision > r.version {
		r.due, r.revision = false, e.Revision
	}
}
