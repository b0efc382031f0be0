package entry

import (
	"github.com/sequoiacart/sequoiacart/pkg/link"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// PeerSnapshot is what traffic goroutines read of the other entry VMs.
type PeerSnapshot struct {
	Roster *vm.Roster
	Links  *link.Snapshot
}

// reachable finds a VM that is worth calling.
func (s PeerSnapshot) reachable(i vm.Incarnation) (vm.VM, bool) {
	v, ok := s.Roster.Find(i)
	if !ok || s.Links.Unreachable(v) {
		return vm.VM{}, false
	}
	return v, true
}
