package dispatch

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
)

// runningTask is a task that holds a slot.
type runningTask struct {
	task      contract.TaskRef
	job       *queuedJob
	machine   *machine
	startedAt clock.Millis
	// charged is the slot time charged to the owner so far.
	charged    slotMillis
	generation uint32
	list       *runningList
	prev, next *runningTask
}

// runHandle finds a running task again without a map; the generation tells a reused
// entry from the one that was meant.
type runHandle struct {
	task       *runningTask
	generation uint32
}

// runningList is a list of running tasks in the order of their starts, oldest first.
type runningList struct {
	first, last *runningTask
	count       int
}

func (l *runningList) push(r *runningTask) {
	r.list, r.prev, r.next = l, l.last, nil
	if l.last == nil {
		l.first = r
	} else {
		l.last.next = r
	}
	l.last = r
	l.count++
}

func (l *runningList) remove(r *runningTask) {
	if r.prev == nil {
		l.first = r.next
	} else {
		r.prev.next = r.next
	}
	if r.next == nil {
		l.last = r.prev
	} else {
		r.next.prev = r.prev
	}
	r.list, r.prev, r.next = nil, nil, nil
	l.count--
}
