package dispatch

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
)

// runningTask is a task that occupies a slot.
type runningTask struct {
	task      contract.TaskRef
	job       *queuedJob
	endpoint  *endpoint
	startedAt clock.Millis
	// charged is the slot time charged to the owner for this task so far.
	charged    slotMillis
	generation uint32
	list       *runningList
	prev, next *runningTask
}

// taskHandle refers to a running task without a map lookup. Entries are reused; the
// generation detects a handle of an earlier use.
type taskHandle struct {
	task       *runningTask
	generation uint32
}
