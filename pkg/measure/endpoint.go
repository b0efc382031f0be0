package measure

import (
	"math"
	"math/rand/v2"

	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// speedRange is the ratio of run times between the slowest and the fastest endpoint.
const speedRange = 4

// blackHoleRunTime is how long a black-hole endpoint takes to fail a task.
const blackHoleRunTime micros = 1000

// endpoint is a simulated endpoint with slotsPerEndpoint slots.
type endpoint struct {
	id         datacentre.EndpointID
	dataCentre datacentre.ID
	index      int
	// slowdown is the factor of run times relative to an endpoint of median speed.
	slowdown  float64
	blackHole bool
	running   int
	// queue holds the tasks that wait at the endpoint. Only the baselines queue tasks there.
	queue []*task
}

func (e *endpoint) load() int {
	return e.running + len(e.queue)
}

// assignSpeeds spreads the speeds evenly on a logarithmic scale with a median of 1.
func assignSpeeds(endpoints []*endpoint, random *rand.Rand) {
	for i, n := range random.Perm(len(endpoints)) {
		position := (float64(n)+0.5)/float64(len(endpoints)) - 0.5
		endpoints[i].slowdown = math.Pow(speedRange, position)
	}
}

// capacity returns the work per unit of time that the endpoints can do, where the work of a task is
// its run time at median speed. A black hole does none.
func capacity(endpoints []*endpoint) float64 {
	sum := 0.0
	for _, e := range endpoints {
		if !e.blackHole {
			sum += float64(slotsPerEndpoint) / e.slowdown
		}
	}
	return sum
}
