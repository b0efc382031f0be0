package dispatch

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
)

// Job holds the properties of a submission that scheduling depends on.
type Job struct {
	Ref   contract.JobRef
	Owner owner.ID
	Rank  owner.Rank
	Kind  contract.Kind
	// Deadline is the time by which the caller needs the answer; 0 means none.
	Deadline clock.Millis
	Tasks    int
}

// AdmissionResult is the result of Admit: Admitted or Rejected.
type AdmissionResult interface{ isAdmissionResult() }

// Admitted means that all tasks of the job are queued.
type Admitted struct{}

// Rejected means that no task of the job is queued.
type Rejected struct {
	Reason     string
	RetryAfter clock.Millis
}

func (Admitted) isAdmissionResult() {}
func (Rejected) isAdmissionResult() {}

// Start is a decision to send a task to an endpoint now.
type Start struct {
	Task     contract.TaskRef
	Endpoint datacentre.EndpointID

	handle taskHandle
}
