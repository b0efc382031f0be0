package node_test

// modelStats counts what happened in a world.
type modelStats struct {
	events, jobs, starts, completed, refused, resent, takeovers, crashes int
}

func (s *modelStats) add(o modelStats) {
	s.events += o.events
	s.jobs += o.jobs
	s.starts += o.starts
	s.completed += o.completed
	s.refused += o.refused
	s.resent += o.resent
	s.takeovers += o.takeovers
	s.crashes += o.crashes
}
