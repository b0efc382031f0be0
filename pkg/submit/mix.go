package submit

import (
	"fmt"
	"math/rand/v2"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// Part is one sort of job in a mix.
type Part struct {
	Kind  string
	Class string
	// Weight is the part's share of all jobs.
	Weight   int
	MinRun   clock.Millis
	MaxRun   clock.Millis
	MinTasks int
	MaxTasks int
}

// Mix is a set of parts from which jobs are drawn.
type Mix []Part

// ConsorcioMix resembles the playout service of Consorcio Pantallas del Plata.
func ConsorcioMix() Mix {
	return Mix{
		{Kind: "swap", Class: "urgent", Weight: 40, MinRun: 50, MaxRun: 150, MinTasks: 1, MaxTasks: 6},
		{Kind: "alert", Class: "urgent", Weight: 10, MinRun: 50, MaxRun: 100, MinTasks: 4, MaxTasks: 12},
		{Kind: "stamp", Class: "normal", Weight: 45, MinRun: 50, MaxRun: 250, MinTasks: 1, MaxTasks: 8},
		{Kind: "render", Class: "normal", Weight: 5, MinRun: 1000, MaxRun: 2500, MinTasks: 1, MaxTasks: 2},
	}
}

// TrustMix resembles the visit desk of Blue Mahoe Bedside Trust.
func TrustMix() Mix {
	return Mix{
		{Kind: "confirm", Class: "urgent", Weight: 50, MinRun: 50, MaxRun: 150, MinTasks: 1, MaxTasks: 2},
		{Kind: "book", Class: "normal", Weight: 25, MinRun: 100, MaxRun: 300, MinTasks: 1, MaxTasks: 4},
		{Kind: "reassign", Class: "normal", Weight: 20, MinRun: 100, MaxRun: 400, MinTasks: 1, MaxTasks: 4},
		{Kind: "plan", Class: "normal", Weight: 5, MinRun: 1500, MaxRun: 3000, MinTasks: 1, MaxTasks: 2},
	}
}

// Draw returns a random job.
func (m Mix) Draw(r *rand.Rand) Job {
	p := m.pick(r)
	j := Job{Kind: p.Kind, Class: p.Class, Payloads: make([]string, between(r, p.MinTasks, p.MaxTasks))}
	for i := range j.Payloads {
		run := clock.Millis(between(r, int(p.MinRun), int(p.MaxRun)))
		j.Payloads[i] = fmt.Sprintf(`{"runMs":%d}`, run)
		j.Ideal = max(j.Ideal, run)
	}
	return j
}

// MeanWork returns the mean slot time of a job.
func (m Mix) MeanWork() clock.Millis {
	total, weights := 0, 0
	for _, p := range m {
		run := int(p.MinRun+p.MaxRun) / 2
		tasks := (p.MinTasks + p.MaxTasks) // twice the mean
		total += p.Weight * run * tasks / 2
		weights += p.Weight
	}
	return clock.Millis(total / weights)
}

func (m Mix) pick(r *rand.Rand) Part {
	total := 0
	for _, p := range m {
		total += p.Weight
	}
	n := r.IntN(total)
	for _, p := range m {
		if n < p.Weight {
			return p
		}
		n -= p.Weight
	}
	return m[len(m)-1]
}

func between(r *rand.Rand, low, high int) int {
	return low + r.IntN(high-low+1)
}
