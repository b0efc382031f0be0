package contract

// JobRef is the short handle of an accepted submission within one process.
type JobRef uint64

// TaskRef names a task of an accepted submission within one process.
type TaskRef struct {
	Job   JobRef
	Index TaskIndex
}
