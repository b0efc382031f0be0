package dispatch

// Queued returns how many tasks wait.
func (s *Scheduler) Queued() int { return s.waiting }
