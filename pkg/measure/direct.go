package measure

import (
	"math/rand/v2"

	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// reportEvery is the interval at which the power-of-two-choices baseline receives the loads.
const reportEvery = 100_000 * micros(1)

// direct implements the baselines: it sends each task to an endpoint as soon as the job arrives.
type direct struct {
	simulation *simulation
	vms        []vm.VM
	random     *rand.Rand
	choices    int
	loads      []int
}

func (d *direct) begin() {
	d.loads = make([]int, len(d.simulation.endpoints))
	if d.choices > 1 {
		d.simulation.agenda.after(0, loadReported{})
	}
}

func (d *direct) report() {
	for i, e := range d.simulation.endpoints {
		d.loads[i] = e.load()
	}
	d.simulation.agenda.after(reportEvery, loadReported{})
}

func (d *direct) submit(j *job) {
	m := d.simulation
	for _, t := range j.tasks {
		t.endpoint = m.endpoints[d.choose()]
		m.agenda.after(m.delay(d.vms[j.vm].DataCentre, t.endpoint.dataCentre), taskArrives{task: t})
	}
}

func (d *direct) choose() int {
	best := d.random.IntN(len(d.loads))
	for range d.choices - 1 {
		if other := d.random.IntN(len(d.loads)); d.loads[other] < d.loads[best] {
			best = other
		}
	}
	return best
}
