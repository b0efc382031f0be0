package measure

// measureBlackHole measures the fraction of tasks lost in one data centre when one of 12 endpoints
// fails every task immediately.
func measureBlackHole(c Config, p Policy) []Row {
	const endpoints = 12
	s := steadyScenario(usualLoad)
	s.blackHole = true
	dc := c.Workload.DataCentres[0]
	dc.Endpoints = endpoints
	c.Workload.DataCentres = []DataCentre{dc}
	started, lost := 0, 0
	for _, m := range runSeeds(c, p, s) {
		started += m.started
		lost += m.lost
	}
	return []Row{
		{Metric: "black hole among 12: part of tasks lost", Target: "<= 0.01", Limit: 0.01, Values: []float64{float64(lost) / float64(started)}},
	}
}
