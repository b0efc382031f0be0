package dispatch

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
)

// Dropped is a job that the scheduler takes out of the queue by itself: Shed or Unrunnable.
type Dropped interface{ isDropped() }

// Shed is an admitted job of which nothing has started, refused to make room for others.
type Shed struct {
	Job        contract.JobRef
	Reason     string
	RetryAfter clock.Millis
}

// Unrunnable is a job whose kind fails on every endpoint. Tasks have not been started and
// will not be; the others end as usual.
type Unrunnable struct {
	Job    contract.JobRef
	Reason string
	Tasks  []contract.TaskIndex
}

func (Shed) isDropped()       {}
func (Unrunnable) isDropped() {}
