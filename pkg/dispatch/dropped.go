package dispatch

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
)

// Dropped is a job that the scheduler removed from the queue without a Cancel: Shed or
// Unrunnable.
type Dropped interface{ isDropped() }

// Shed is an admitted job that was removed before any of its tasks started, to free queue
// capacity or because its deadline can no longer be met.
type Shed struct {
	Job        contract.JobRef
	Reason     string
	RetryAfter clock.Millis
}

// Unrunnable is a job whose kind fails on every endpoint. Tasks lists the tasks that will
// not start; tasks that have started end as usual.
type Unrunnable struct {
	Job    contract.JobRef
	Reason string
	Tasks  []contract.TaskIndex
}

func (Shed) isDropped()       {}
func (Unrunnable) isDropped() {}
