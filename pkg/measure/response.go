package measure

const (
	// usualLoad is a multiple of the capacity.
	usualLoad    = 0.6
	warmUp       = 5 * second
	steadyWindow = 20 * second
)

// steadyScenario returns a scenario with a constant load that is measured for steadyWindow after a
// warm-up.
func steadyScenario(load float64) scenario {
	return scenario{
		phases:     []phase{{duration: warmUp + steadyWindow, load: load}},
		windowFrom: warmUp,
		windowTo:   warmUp + steadyWindow,
		// The longest stragglers run for more than two minutes.
		drain: 300 * second,
	}
}

// measureResponse compares the response times of jobs with the ideal: the run time of the longest
// task on a free endpoint of median speed, without waiting.
func measureResponse(c Config, p Policy) []Row {
	var ratios []float64
	started, wasted, unfinished := 0, 0, 0
	for _, m := range runSeeds(c, p, steadyScenario(usualLoad)) {
		started += m.started
		wasted += m.wasted
		for _, j := range m.jobs {
			if !m.inWindow(j.arrivedAt) {
				continue
			}
			if !j.complete() {
				unfinished++
				continue
			}
			ratios = append(ratios, float64(j.endedAt-j.arrivedAt)/float64(j.idealResponse))
		}
	}
	return []Row{
		{Metric: "response / ideal at 60 % load, p50", Target: "<= 1.05, below baselines", Limit: 1.05, BelowBaselines: true, Values: []float64{quantile(ratios, 0.5)}},
		{Metric: "response / ideal at 60 % load, p99", Target: "<= 2.0, below baselines", Limit: 2, BelowBaselines: true, Values: []float64{quantile(ratios, 0.99)}},
		{Metric: "jobs refused or unfinished at 60 % load", Target: "0", Limit: 0, Values: []float64{float64(unfinished)}},
		{Metric: "wasted messages per started task", Target: "<= 0.02", Limit: 0.02, Values: []float64{float64(wasted) / float64(started)}},
	}
}
