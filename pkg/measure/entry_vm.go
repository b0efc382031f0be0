package measure

import (
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// entryVM is an entry VM with its real scheduler.
type entryVM struct {
	vm        vm.VM
	scheduler *dispatch.Scheduler
	jobs      map[contract.JobRef]*job
	loans     *dispatch.LoanPlanner
	// peers lists the others, those of the same data centre first.
	peers []vm.Incarnation
	ticks int
	// lenders names the home of each borrowed endpoint.
	lenders map[datacentre.EndpointID]*entryVM
}

// learnLoad tells the scheduler what is known of the peers.
func (v *entryVM) learnLoad() {
	v.scheduler.SetBorrowable(v.loans.Borrowable())
	v.scheduler.SetPeerLoad(v.loans.PeerLoad())
}
