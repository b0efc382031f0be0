package measure

const (
	longPart   = 0.05
	longFactor = 20
	// headOfLineLoad is higher than the usual load, so that short tasks find slots only if the
	// scheduler limits the slots of long tasks.
	headOfLineLoad = 0.8
	// longerSpan extends the run, since the 99th percentile of the waits depends on the few
	// largest jobs.
	longerSpan = 60 * second
)

// measureHeadOfLine compares the wait of short tasks with and without long tasks at the same
// load. The long tasks either have separate kinds or are spread over all kinds.
func measureHeadOfLine(c Config, p Policy) []Row {
	without := steady(headOfLineLoad)
	without.phases[0].span += longerSpan
	without.windowTo += longerSpan
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

// shortWait returns the 99th percentile of the waits of short tasks, in milliseconds.
func shortWait(c Config, p Policy, s scenario) float64 {
	var waits []float64
	for _, m := range runSeeds(c, p, s) {
		for _, w := range m.waits {
			waits = append(waits, float64(w)/1000)
		}
	}
	return quantile(waits, 0.99)
}
