package vm

import "github.com/sequoiacart/sequoiacart/pkg/clock"

// status judges a VM by its silence. A VM that sends heartbeats but answers none is
// suspected and never removed: as a witness it would hold up starts, as a home it works.
func (m *Membership) status(now clock.Millis, e *member) Status {
	silence := now - max(e.heardAt, e.answeredAt)
	switch {
	case e.vm.Incarnation == m.self.Incarnation:
		return Alive
	case e.replaced, silence >= RemoveAfter:
		return Removed
	case silence >= SuspectAfter, now-e.answeredAt >= SuspectAfter:
		return Suspected
	default:
		return Alive
	}
}

// excuse moves the evidence over a pause.
func (e *member) excuse(pause clock.Millis) {
	e.heardAt += pause
	e.answeredAt += pause
	e.refreshedAt += pause
}

// settleSuccession finds out which of the incarnations under one name or address is the
// present one.
func (m *Membership) settleSuccession(now clock.Millis, e *member) {
	e.replaced = false
	for _, other := range m.members {
		if other == e || !e.vm.sharesPlace(other.vm) {
			continue
		}
		if e.laterThan(now, other) {
			other.replaced = true
			continue
		}
		e.replaced = true
	}
}

// laterThan compares the starts of two incarnations. Where the VM's clock went back over
// a restart, the one that is heard wins against one silent for RemoveAfter.
func (e *member) laterThan(now clock.Millis, other *member) bool {
	heard := now-e.heardAt < SuspectAfter
	otherHeard := now-other.heardAt < RemoveAfter
	if heard && !otherHeard {
		return true
	}
	if e.vm.Started != other.vm.Started {
		return e.vm.Started > other.vm.Started
	}
	return e.vm.Incarnation > other.vm.Incarnation
}

// sharesPlace reports whether two incarnations cannot be at work at the same time.
func (v VM) sharesPlace(other VM) bool {
	return v.Incarnation.VM() == other.Incarnation.VM() || v.PeerAddress == other.PeerAddress
}
