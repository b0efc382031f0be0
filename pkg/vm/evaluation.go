package vm

import "github.com/sequoiacart/sequoiacart/pkg/clock"

// status derives the status of a VM from the time since its last contact. A VM that sends
// heartbeats but answers none is suspected and never removed: as a witness it would delay
// starts, but as a home VM it works.
func (m *Membership) status(now clock.Millis, e *member) Status {
	sinceContact := now - max(e.heartbeatAt, e.answeredAt)
	switch {
	case e.vm.Incarnation == m.self.Incarnation:
		return Alive
	case e.replaced, sinceContact >= RemoveAfter:
		return Removed
	case sinceContact >= SuspectAfter, now-e.answeredAt >= SuspectAfter:
		return Suspected
	default:
		return Alive
	}
}

// shiftTimes moves the recorded times forward by a pause.
func (e *member) shiftTimes(pause clock.Millis) {
	e.heartbeatAt += pause
	e.answeredAt += pause
	e.refreshedAt += pause
}

// resolveConflicts determines which of the incarnations under one name or address is the
// current one.
func (m *Membership) resolveConflicts(now clock.Millis, e *member) {
	e.replaced = false
	for _, other := range m.members {
		if other == e || !e.vm.conflictsWith(other.vm) {
			continue
		}
		if e.supersedes(now, other) {
			other.replaced = true
			continue
		}
		e.replaced = true
	}
}

// supersedes compares the start times of two incarnations. Where the VM's clock was set back
// over a restart, the one that sends heartbeats wins over one that has sent none for RemoveAfter.
func (e *member) supersedes(now clock.Millis, other *member) bool {
	active := now-e.heartbeatAt < SuspectAfter
	otherActive := now-other.heartbeatAt < RemoveAfter
	if active && !otherActive {
		return true
	}
	if e.vm.Started != other.vm.Started {
		return e.vm.Started > other.vm.Started
	}
	return e.vm.Incarnation > other.vm.Incarnation
}

// conflictsWith reports whether two incarnations cannot run at the same time.
func (v VM) conflictsWith(other VM) bool {
	return v.Incarnation.VM() == other.Incarnation.VM() || v.PeerAddress == other.PeerAddress
}
