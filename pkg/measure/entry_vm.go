package measure

import (
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// entryVM is a simulated entry VM with a real scheduler.
type entryVM struct {
	vm        vm.VM
	scheduler *dispatch.Scheduler
	jobs      map[contract.JobRef]*job
	loans     *dispatch.LoanPlanner
	// peers lists the other VMs, those in the same data centre first.
	peers []vm.Incarnation
	ticks int
	// lenders holds the home VM of each borrowed endpoint.
	lenders map[datacentre.EndpointID]*entryVM
}

// updatePeerLoad updates the scheduler with the reported load of the peers.
func (v *entryVM) updatePeerLoad() {
	v.scheduler.SetBorrowable(v.loans.Borrowable())
	v.scheduler.SetPeerLoad(v.loans.PeerLoad())
}
