package measure

import (
	"fmt"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// Workload describes the deployment and jobs of one user of the service, as in section 1.6 of the
// design page.
type Workload struct {
	Name        string
	DataCentres []DataCentre
	Owners      []owner.Owner
	Kinds       []KindProfile
	// LinkDelay is the one-way delay between data centres beyond that within a data centre.
	LinkDelay micros
}

// DataCentre describes the entry VMs and endpoints of one data centre.
type DataCentre struct {
	ID datacentre.ID
	// VMSizes holds the size of each entry VM.
	VMSizes []vm.Size
	// Endpoints is the number of endpoints.
	Endpoints int
}

// KindProfile describes how jobs of a kind arrive and how long their tasks run.
type KindProfile struct {
	Kind     contract.Kind
	Rank     owner.Rank
	Deadline clock.Millis
	// Weight is the fraction of jobs that are of this kind.
	Weight float64
	// Run times on an endpoint of median speed are spread evenly on a logarithmic scale from
	// MinRunTime to MaxRunTime.
	MinRunTime, MaxRunTime clock.Millis
}

// maxTasks returns the largest number of tasks in a job of the kind.
func (k *KindProfile) maxTasks() int {
	if k.MaxRunTime > 2*clock.Second {
		return maxLongJobTasks
	}
	return maxJobTasks
}

// slotsPerEndpoint is the slot limit of an endpoint over all entry VMs.
const slotsPerEndpoint datacentre.Slots = 8

// Consorcio returns the workload of the Consorcio Pantallas del Plata.
func Consorcio() Workload {
	return Workload{
		Name:        "consorcio",
		DataCentres: newDataCentres([]datacentre.ID{"centro", "norte", "sur", "oeste"}, []vm.Size{2, 1}, 12),
		Owners:      []owner.Owner{{ID: "subte", Share: 3}, {ID: "avenida", Share: 2}, {ID: "rio", Share: 1}},
		LinkDelay:   500,
		Kinds: []KindProfile{
			{Kind: "notice", Rank: 0, Deadline: 2 * clock.Second, Weight: 0.08, MinRunTime: 50, MaxRunTime: 150},
			{Kind: "swap", Rank: 1, Deadline: 5 * clock.Second, Weight: 0.52, MinRunTime: 50, MaxRunTime: 600},
			{Kind: "stamp", Rank: 2, Deadline: 30 * clock.Second, Weight: 0.38, MinRunTime: 100, MaxRunTime: 1000},
			{Kind: "audit", Rank: 2, Deadline: 60 * clock.Second, Weight: 0.02, MinRunTime: 2000, MaxRunTime: 6000},
		},
	}
}

// Trust returns the workload of the Blue Mahoe Bedside Trust.
func Trust() Workload {
	return Workload{
		Name:        "trust",
		DataCentres: newDataCentres([]datacentre.ID{"kingston", "stthomas", "portland"}, []vm.Size{2, 1, 1}, 16),
		Owners:      []owner.Owner{{ID: "coordinators", Share: 2}, {ID: "carers", Share: 1}, {ID: "nurses", Share: 1}},
		LinkDelay:   900,
		Kinds: []KindProfile{
			{Kind: "confirm", Rank: 0, Deadline: 2 * clock.Second, Weight: 0.10, MinRunTime: 50, MaxRunTime: 200},
			{Kind: "reassign", Rank: 1, Deadline: 8 * clock.Second, Weight: 0.40, MinRunTime: 100, MaxRunTime: 800},
			{Kind: "book", Rank: 2, Deadline: 30 * clock.Second, Weight: 0.48, MinRunTime: 100, MaxRunTime: 1000},
			{Kind: "roster", Rank: 2, Deadline: 60 * clock.Second, Weight: 0.02, MinRunTime: 3000, MaxRunTime: 8000},
		},
	}
}

func newDataCentres(ids []datacentre.ID, sizes []vm.Size, endpoints int) []DataCentre {
	all := make([]DataCentre, len(ids))
	for i, id := range ids {
		all[i] = DataCentre{ID: id, VMSizes: sizes, Endpoints: endpoints}
	}
	return all
}

// roster lists the entry VMs of all data centres.
func (w Workload) roster() []vm.VM {
	var all []vm.VM
	for _, dc := range w.DataCentres {
		for i, size := range dc.VMSizes {
			id := vm.ID(fmt.Sprintf("%s%d", dc.ID, i))
			all = append(all, vm.VM{Incarnation: vm.NewIncarnation(id, "1"), DataCentre: dc.ID, Size: size})
		}
	}
	return all
}
