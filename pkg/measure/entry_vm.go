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
	loans     *dispatch.LoanRequests
	// peers lists the others, those of the same data centre first.
	peers []vm.Incarnation
	ticks int
	// lenders names the home of each borrowed endpoint; owed counts the slots of expired
	// loans that still run tasks.
	lenders map[datacentre.EndpointID]*entryVM
	owed    map[datacentre.EndpointID]datacentre.Slots
}
