package measure

import (
	"math/rand/v2"

	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// loadReportInterval is the interval at which the power-of-two-choices baseline receives the loads
// of the endpoints.
const loadReportInterval = 100_000 * micros(1)

// baseline implements the baselines: it sends each task to an endpoint as soon as the job arrives.
type baseline struct {
	simulation *simulation
	vms        []vm.VM
	random     *rand.Rand
	// choices is the number of random endpoints among which the least loaded gets a task.
	choices int
	// loads holds the load of each endpoint at the last report; without reports, all are 0.
	loads []int
}

func (b *baseline) start() {
	b.loads = make([]int, len(b.simulation.endpoints))
	if b.choices > 1 {
		b.simulation.queue.schedule(0, loadReported{})
	}
}

func (b *baseline) recordLoads() {
	for i, e := range b.simulation.endpoints {
		b.loads[i] = e.load()
	}
	b.simulation.queue.schedule(loadReportInterval, loadReported{})
}

func (b *baseline) submit(j *job) {
	m := b.simulation
	for _, t := range j.tasks {
		t.endpoint = m.endpoints[b.chooseEndpoint()]
		m.queue.schedule(m.delay(b.vms[j.vm].DataCentre, t.endpoint.dataCentre), taskArrives{task: t})
	}
}

func (b *baseline) chooseEndpoint() int {
	best := b.random.IntN(len(b.loads))
	for range b.choices - 1 {
		if other := b.random.IntN(len(b.loads)); b.loads[other] < b.loads[best] {
			best = other
		}
	}
	return best
}
