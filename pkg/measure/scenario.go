package measure

// scenario describes one run: a workload, its load over time and its faults.
type scenario struct {
	workload Workload
	seed     uint64
	phases   []phase
	// The measurement window: jobs that arrive within it are measured.
	windowFrom, windowTo micros
	// Owners' shares are measured from sharesFrom to windowTo.
	sharesFrom micros
	// drain is the time after the last phase in which tasks may still end.
	drain micros
	// blackHole makes the first endpoint fail every task immediately.
	blackHole bool
	// longFraction, longFactor and longInAllKinds are those of jobGenerator.
	longFraction   float64
	longFactor     float64
	longInAllKinds bool
}

func (s scenario) end() micros {
	end := s.drain
	for _, p := range s.phases {
		end += p.duration
	}
	return end
}
