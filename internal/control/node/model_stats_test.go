package node_test

// modelStats counts what happened in a world.
type modelStats struct {
	events, jobs, starts, completed, refused, resent, takeovers, crashes, givenUp, cancelled int
	// evacuatedStarts counts the starts in evacuated data centres.
	evacuatedStarts int
	// relayed counts the reads of the list through another VM.
	relayed int
	// takenInDrain, refusedInDrain and cancelledInDrain count the jobs that VMs took and refused during their
	// shutdowns, and the cancellations that they answered.
	takenInDrain, refusedInDrain, cancelledInDrain int
	// deadlyCrashes counts the deadly tasks that crashed one endpoint at least, two, and so on.
	deadlyCrashes [maxCrashesWithFaults + 1]int
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
	s.givenUp += o.givenUp
	s.evacuatedStarts += o.evacuatedStarts
	s.cancelled += o.cancelled
	s.relayed += o.relayed
	s.takenInDrain += o.takenInDrain
	s.refusedInDrain += o.refusedInDrain
	s.cancelledInDrain += o.cancelledInDrain
	for i, n := range o.deadlyCrashes {
		s.deadlyCrashes[i] += n
	}
}
