package measure

// measureBlackHole lets one endpoint of 12 fail everything at once, in one data centre.
func measureBlackHole(c Config, p Policy) []Row {
	const endpoints = 12
	s := steady(usualLoad)
	s.blackHole = true
	site := c.Workload.DataCentres[0]
	site.Endpoints = endpoints
	c.Workload.DataCentres = []DataCentre{site}
	started, lost := 0, 0
	for _, m := range runSeeds(c, p, s) {
		started += m.started
		lost += m.lost
	}
	return []Row{
		{Metric: "black hole among 12: part of tasks lost", Target: "<= 0.01", Limit: 0.01, Values: []float64{float64(lost) / float64(started)}},
	}
}
