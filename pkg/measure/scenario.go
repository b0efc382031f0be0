package measure

// scenario is one run: a workload, its load over time and its faults.
type scenario struct {
	workload Workload
	seed     uint64
	phases   []phase
	// Jobs that arrive from windowFrom to windowTo are measured.
	windowFrom, windowTo micros
	// drain is the time after the last arrival in which tasks may end.
	drain micros
	// blackHole lets the first endpoint fail everything at once.
	blackHole  bool
	longPart   float64
	longFactor float64
	longInKind bool
}

func (s scenario) end() micros {
	end := s.drain
	for _, p := range s.phases {
		end += p.span
	}
	return end
}
