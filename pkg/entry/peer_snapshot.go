package entry

import (
	"github.com/sequoiacart/sequoiacart/pkg/link"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// PeerSnapshot is the state of the other entry VMs as published to the traffic goroutines.
type PeerSnapshot struct {
	Roster *vm.Roster
	Links  *link.Snapshot
}

// reachable finds a VM in the roster whose link is not marked unreachable.
func (s PeerSnapshot) reachable(i vm.Incarnation) (vm.VM, bool) {
	v, ok := s.Roster.Find(i)
	if !ok || s.Links.Unreachable(v) {
		return vm.VM{}, false
	}
	return v, true
}
