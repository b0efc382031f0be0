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
func (m *Map) Get(t Target) *Link {
	l, ok := m.links[t]
	if !ok {
		l = &Link{Target: t}
		m.links[t] = l
	}
	return l
}

// Find returns the link to a target, if there is one.
func (m *Map) Find(t Target) (*Link, bool) {
	l, ok := m.links[t]
	return l, ok
}

// Remove deletes the link to a target.
func (m *Map) Remove(t Target) {
	delete(m.links, t)
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
	s := &Snapshot{peers: make(map[vm.Incarnation]struct{}), dataCentres: make(map[datacentre.ID]struct{})}
	for t, l := range m.links {
		if l.State(now) != Unreachable {
			continue
		}
		switch t := t.(type) {
		case Peer:
			s.peers[t.Incarnation] = struct{}{}
		case DataCentre:
			s.dataCentres[t.ID] = struct{}{}
		}
	}
	return s
}

// Snapshot is an immutable list of the unreachable targets.
type Snapshot struct {
	peers       map[vm.Incarnation]struct{}
	dataCentres map[datacentre.ID]struct{}
}

// Unreachable reports whether a call to the VM would only run into its time-out.
func (s *Snapshot) Unreachable(to vm.VM) bool {
	if s == nil {
		return false
	}
	_, peer := s.peers[to.Incarnation]
	_, dataCentre := s.dataCentres[to.DataCentre]
	return peer || dataCentre
}

// Equal reports whether two snapshots list the same targets.
func (s *Snapshot) Equal(other *Snapshot) bool {
	if s == nil || other == nil || len(s.peers) != len(other.peers) || len(s.dataCentres) != len(other.dataCentres) {
		return s == other
	}
	for p := range s.peers {
		if _, ok := other.peers[p]; !ok {
			return false
		}
	}
	for dc := range s.dataCentres {
		if _, ok := other.dataCentres[dc]; !ok {
			return false
		}
	}
	return true
}
