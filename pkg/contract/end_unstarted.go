package contract

// AdmittedTasks returns the tasks that were queued under the job reference.
func (e *LedgerEntry) AdmittedTasks(ref JobRef) []TaskIndex {
	for _, a := range e.admissions {
		if a.ref == ref && a.tasks != nil {
			return a.tasks
		}
	}
	all := make([]TaskIndex, len(e.tasks))
	for i := range all {
		all[i] = TaskIndex(i)
	}
	return all
}

// EndUnstarted ends tasks that were not started and will not be. The reason replaces the
// one recorded for a single task, since it explains the failure of the whole job.
func (e *LedgerEntry) EndUnstarted(tasks []TaskIndex, reason string) {
	for _, t := range tasks {
		e.End(t, NotStarted{Cause: NotSent})
	}
	e.reason = reason
}
