package contract

// GiveUp ends tasks that were not started and will not be. The reason replaces that of a
// single task, since it explains the failure of the whole job.
func (e *LedgerEntry) GiveUp(tasks []TaskIndex, reason string) {
	for _, t := range tasks {
		e.End(t, NotStarted{})
	}
	e.reason = reason
}
