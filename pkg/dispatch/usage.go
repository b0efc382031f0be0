package dispatch

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
)

// OwnerUsage is what one owner has had of one entry VM since the VM started. The totals
// only grow, so the receiver of a digest takes the difference to the digest before it.
type OwnerUsage struct {
	Owner owner.ID
	// SlotTime is the measured time that tasks of the owner held slots.
	SlotTime clock.Millis
	// Backlog counts the tasks that wait now.
	Backlog int
	// Started counts tasks; a task that was not run and is started again counts once more.
	Started int64
	// Refused counts jobs, at admission and shed later.
	Refused int64
	// Waited is the sum of the waits of started tasks, in the queue of this VM.
	Waited clock.Millis
	// LongestWait is the longest wait of a started task.
	LongestWait clock.Millis
}
