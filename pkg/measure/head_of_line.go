package measure

const (
	// The fraction longTaskFraction of the tasks runs longTaskFactor times longer.
	longTaskFraction = 0.05
	longTaskFactor   = 20
	// headOfLineLoad is higher than the usual load, so that short tasks find slots only if the
	// scheduler limits the slots of long tasks.
	headOfLineLoad = 0.8
	// extraDuration extends the run, since the 99th percentile of the waits depends on the few
	// largest jobs.
	extraDuration = 60 * second
)

// measureHeadOfLine compares the waits of tasks with and without long tasks at the same load. The
// long tasks either have separate kinds, whose waits don't count, or are spread over all kinds,
// where the waits of all tasks count.
func measureHeadOfLine(c Config, p Policy) []Row {
	without := steadyScenario(headOfLineLoad)
	without.phases[0].duration += extraDuration
	without.windowTo += extraDuration
	without.drain = 240 * second
	separateKinds := without
	separateKinds.longFraction, separateKinds.longFactor = longTaskFraction, longTaskFactor
	spread := separateKinds
	spread.longInAllKinds = true
	baseWait := taskWaitP99(c, p, without)
	return []Row{
		{Metric: "head of line: p99 wait without long tasks, ms", Target: "", Limit: 1e9, Values: []float64{baseWait}},
		{Metric: "head of line: ratio, long tasks of own kinds", Target: "<= 1.5", Limit: 1.5, Values: []float64{taskWaitP99(c, p, separateKinds) / baseWait}},
		{Metric: "head of line: ratio, long tasks in all kinds", Target: "<= 1.5", Limit: 1.5, Values: []float64{taskWaitP99(c, p, spread) / baseWait}},
	}
}

// taskWaitP99 returns the 99th percentile of the waits of tasks, in milliseconds, without the
// tasks of long kinds.
func taskWaitP99(c Config, p Policy, s scenario) float64 {
	var waits []float64
	for _, m := range runSeeds(c, p, s) {
		for _, w := range m.waits {
			waits = append(waits, float64(w)/1000)
		}
	}
	return quantile(waits, 0.99)
}
