package measure

const (
	longPart   = 0.05
	longFactor = 20
	// headOfLineLoad makes tasks wait even without long ones; at 60 % the waits are too
	// short for a ratio.
	headOfLineLoad = 0.8
)

// measureHeadOfLine compares the wait of short tasks with and without long tasks at the
// same load. The long tasks are of kinds of their own, or spread over all kinds.
func measureHeadOfLine(c Config, p Policy) []Row {
	without := steady(headOfLineLoad)
	without.drain = 240 * second
	kinds := without
	kinds.longPart, kinds.longFactor = longPart, longFactor
	spread := kinds
	spread.longInKind = true
	base := shortWait(c, p, without)
	return []Row{
		{Metric: "head of line: p99 wait without long tasks, ms", Target: "", Limit: 1e9, Values: []float64{base}},
		{Metric: "head of line: ratio, long tasks of own kinds", Target: "<= 1.5", Limit: 1.5, Values: []float64{shortWait(c, p, kinds) / base}},
		{Metric: "head of line: ratio, long tasks in all kinds", Target: "<= 1.5", Limit: 1.5, Values: []float64{shortWait(c, p, spread) / base}},
	}
}

// shortWait is the 99th percentile of the waits of short tasks, in milliseconds.
func shortWait(c Config, p Policy, s scenario) float64 {
	var waits []float64
	for _, m := range runSeeds(c, p, s) {
		for _, w := range m.waits {
			waits = append(waits, float64(w)/1000)
		}
	}
	return quantile(waits, 0.99)
}
