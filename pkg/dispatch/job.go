package dispatch

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
)

// Job is what the scheduler needs to know of a submission.
type Job struct {
	Ref   contract.JobRef
	Owner owner.ID
	Rank  owner.Rank
	Kind  contract.Kind
	// Deadline is the point in time by which the answer is wanted; 0 is none.
	Deadline clock.Millis
	Tasks    int
}

// AdmissionResult says whether a job is taken: Admitted or Rejected.
type AdmissionResult interface{ isAdmissionResult() }

// Admitted says that every task of the job is queued.
type Admitted struct{}

// Rejected says that nothing of the job is queued.
type Rejected struct {
	Reason     string
	RetryAfter clock.Millis
}

func (Admitted) isAdmissionResult() {}
func (Rejected) isAdmissionResult() {}

// Start is the decision to send a task to an endpoint now.
type Start struct {
	Task     contract.TaskRef
	Endpoint datacentre.EndpointID

	run runHandle
}
