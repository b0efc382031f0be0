package submit

import (
	"fmt"
	"math/rand/v2"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// JobType is one type of job in a mix.
type JobType struct {
	Kind  string
	Class string
	// Weight is the relative frequency of the type.
	Weight     int
	MinRunTime clock.Millis
	MaxRunTime clock.Millis
	MinTasks   int
	MaxTasks   int
}

// Mix is a set of job types from which jobs are drawn at random.
type Mix []JobType

// ConsorcioMix returns a mix like that of the playout service of Consorcio Pantallas del Plata.
func ConsorcioMix() Mix {
	return Mix{
		{Kind: "swap", Class: "urgent", Weight: 40, MinRunTime: 50, MaxRunTime: 150, MinTasks: 1, MaxTasks: 6},
		{Kind: "alert", Class: "urgent", Weight: 10, MinRunTime: 50, MaxRunTime: 100, MinTasks: 4, MaxTasks: 12},
		{Kind: "stamp", Class: "normal", Weight: 45, MinRunTime: 50, MaxRunTime: 250, MinTasks: 1, MaxTasks: 8},
		{Kind: "render", Class: "normal", Weight: 5, MinRunTime: 1000, MaxRunTime: 2500, MinTasks: 1, MaxTasks: 2},
	}
}

// TrustMix returns a mix like that of the visit desk of Blue Mahoe Bedside Trust.
func TrustMix() Mix {
	return Mix{
		{Kind: "confirm", Class: "urgent", Weight: 50, MinRunTime: 50, MaxRunTime: 150, MinTasks: 1, MaxTasks: 2},
		{Kind: "book", Class: "normal", Weight: 25, MinRunTime: 100, MaxRunTime: 300, MinTasks: 1, MaxTasks: 4},
		{Kind: "reassign", Class: "normal", Weight: 20, MinRunTime: 100, MaxRunTime: 400, MinTasks: 1, MaxTasks: 4},
		{Kind: "plan", Class: "normal", Weight: 5, MinRunTime: 1500, MaxRunTime: 3000, MinTasks: 1, MaxTasks: 2},
	}
}

// Draw returns a random job.
func (m Mix) Draw(r *rand.Rand) Job {
	t := m.pick(r)
	j := Job{Kind: t.Kind, Class: t.Class, Payloads: make([]string, randomBetween(r, t.MinTasks, t.MaxTasks))}
	for i := range j.Payloads {
		runTime := clock.Millis(randomBetween(r, int(t.MinRunTime), int(t.MaxRunTime)))
		j.Payloads[i] = fmt.Sprintf(`{"runMs":%d}`, runTime)
		j.IdealResponse = max(j.IdealResponse, runTime)
	}
	return j
}

// MeanSlotTime returns the mean slot time of a job at endpoints without a slowdown.
func (m Mix) MeanSlotTime() clock.Millis {
	total, weights := 0, 0
	for _, t := range m {
		runTime := int(t.MinRunTime+t.MaxRunTime) / 2
		tasks := (t.MinTasks + t.MaxTasks) // twice the mean
		total += t.Weight * runTime * tasks / 2
		weights += t.Weight
	}
	return clock.Millis(total / weights)
}

func (m Mix) pick(r *rand.Rand) JobType {
	total := 0
	for _, t := range m {
		total += t.Weight
	}
	n := r.IntN(total)
	for _, t := range m {
		if n < t.Weight {
			return t
		}
		n -= t.Weight
	}
	return m[len(m)-1]
}

func randomBetween(r *rand.Rand, low, high int) int {
	return low + r.IntN(high-low+1)
}
