package contract

// JobRef is a short handle for an accepted submission, valid within one process.
type JobRef uint64

// TaskRef identifies a task of an accepted submission within one process. Index
// refers to the tasks that were queued under the job reference.
type TaskRef struct {
	Job   JobRef
	Index TaskIndex
}
