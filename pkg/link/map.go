package link

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// Map holds the links of one entry VM.
type Map struct {
	links map[Target]*Link
	// checkedAt is the time of the last CompensatePause, to detect a pause of this VM.
	checkedAt clock.Millis
}

// NewMap returns a map without links.
func NewMap() *Map {
	return &Map{links: make(map[Target]*Link)}
}

// Get returns the link to a target and adds it if needed.
func (m *Map) Get(e Target) *Link {
	l, ok := m.links[e]
	if !ok {
		l = &Link{Target: e}
		m.links[e] = l
	}
	return l
}

// Find returns the link to a target, if there is one.
func (m *Map) Find(e Target) (*Link, bool) {
	l, ok := m.links[e]
	return l, ok
}

// Remove deletes the link to a target.
func (m *Map) Remove(e Target) {
	delete(m.links, e)
}

// CompensatePause detects a pause of this VM and extends the time-outs of all links by it.
func (m *Map) CompensatePause(now clock.Millis) {
	pause := now - m.checkedAt
	first := m.checkedAt == 0
	m.checkedAt = now
	if first || pause <= vm.SuspectAfter {
		return
	}
	for _, l := range m.links {
		l.shiftTimes(pause)
	}
}

// Snapshot returns the unreachable targets, for goroutines that must not wait for them.
func (m *Map) Snapshot(now clock.Millis) *Snapshot {
	v := &Snapshot{peers: make(map[vm.Incarnation]struct{}), dataCentres: make(map[datacentre.ID]struct{})}
	for e, l := range m.links {
		if l.State(now) != Unreachable {
			continue
		}
		switch e := e.(type) {
		case Peer:
			v.peers[e.Incarnation] = struct{}{}
		case DataCentre:
			v.dataCentres[e.ID] = struct{}{}
		}
	}
	return v
}

// Snapshot is an immutable list of the unreachable targets.
type Snapshot struct {
	peers       map[vm.Incarnation]struct{}
	dataCentres map[datacentre.ID]struct{}
}

// Unreachable reports whether a call to the VM would only run into its time-out.
func (v *Snapshot) Unreachable(to vm.VM) bool {
	if v == nil {
		return false
	}
	_, peer := v.peers[to.Incarnation]
	_, dataCentre := v.dataCentres[to.DataCentre]
	return peer || dataCentre
}

// Equal reports whether two snapshots list the same targets.
func (v *Snapshot) Equal(other *Snapshot) bool {
	if v == nil || other == nil || len(v.peers) != len(other.peers) || len(v.dataCentres) != len(other.dataCentres) {
		return v == other
	}
	for p := range v.peers {
		if _, ok := other.peers[p]; !ok {
			return false
		}
	}
	for dc := range v.dataCentres {
		if _, ok := other.dataCentres[dc]; !ok {
			return false
		}
	}
	return true
}
