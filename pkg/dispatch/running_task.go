package dispatch

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
)

// runningTask is a task that holds a slot.
type runningTask struct {
	task      contract.TaskRef
	job       *queuedJob
	endpoint  *endpoint
	startedAt clock.Millis
	// charged is the slot time charged to the owner so far.
	charged    slotMillis
	generation uint32
	list       *runningList
	prev, next *runningTask
}

// runHandle finds a running task again without a map; the generation tells a reused
// entry from the one that was meant.
type taskHandle struct {
	task       *runningTask
	generation uint32
}
