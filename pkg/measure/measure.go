// Package measure simulates the scheduler and two baselines with generated arrivals and run
// times, and reports the metrics of the design page. It measures scheduling decisions only: links
// and endpoints are modelled as delays, slots and speeds.
package measure

import (
	"math"
	"slices"

	"golang.org/x/sync/errgroup"
)

// Config configures a measurement.
type Config struct {
	Workload Workload
	// Seeds holds the seed of each run; the metrics are computed over all runs together.
	Seeds []uint64
}

// Run measures one workload with each policy. The same configuration gives the same report.
func Run(c Config) Report {
	r := Report{
		Workload: c.Workload.Name,
		Seeds:    c.Seeds,
		Policies: []string{"sequoiacart", "random fifo", "two choices fifo"},
	}
	policies := []Policy{Sequoiacart{}, RandomFIFO{}, PowerOfTwoFIFO{}}
	perPolicy := make([][]Row, len(policies))
	var g errgroup.Group
	for i, p := range policies {
		g.Go(func() error {
			perPolicy[i] = measurePolicy(c, p)
			return nil
		})
	}
	_ = g.Wait()
	r.Rows = perPolicy[0]
	for _, rows := range perPolicy[1:] {
		for i := range rows {
			r.Rows[i].Values = append(r.Rows[i].Values, rows[i].Values...)
		}
	}
	return r
}

// measurePolicy returns the rows of one policy, with one value each.
func measurePolicy(c Config, p Policy) []Row {
	var rows []Row
	rows = append(rows, measureResponse(c, p)...)
	rows = append(rows, measureOverload(c, p)...)
	rows = append(rows, measureHeadOfLine(c, p)...)
	rows = append(rows, measureBlackHole(c, p)...)
	return rows
}

// runSeeds runs a scenario for each seed.
func runSeeds(c Config, p Policy, s scenario) []*simulation {
	runs := make([]*simulation, len(c.Seeds))
	var g errgroup.Group
	for i, seed := range c.Seeds {
		g.Go(func() error {
			s := s
			s.workload, s.seed = c.Workload, seed
			runs[i] = newSimulation(s, p).run()
			return nil
		})
	}
	_ = g.Wait()
	return runs
}

// quantile returns the q-quantile of the values.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	slices.Sort(values)
	return values[min(int(q*float64(len(values))), len(values)-1)]
}
