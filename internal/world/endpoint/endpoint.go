// Package endpoint describes the back-end instances that run tasks under leases.
package endpoint

import (
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// Incarnation is the start time of an endpoint process, in milliseconds since the Unix epoch by the
// endpoint's clock. An endpoint that restarts under its ID has a new one.
type Incarnation int64

// Clock is a point on the monotonic clock of an endpoint, in milliseconds. It may run 2 %
// slow.
type Clock int64

// Revision orders the entries of an endpoint: one that was written later has a higher revision.
type Revision int64

// EndNumber numbers the ended attempts that an endpoint lists, from 1 in each incarnation.
type EndNumber int64

// Endpoint is one incarnation of a back-end instance, as the platform's store lists it.
type Endpoint struct {
	ID datacentre.EndpointID
	// Born is the incarnation, or 0 if none has been reported yet. The field name is sent.
	Born       Incarnation
	Service    queue.ServiceName
	DataCentre datacentre.ID
	Address    string
	Rack       datacentre.RackID
	Labels     []string
	Capacity   job.Resources
	Draining   bool
	// ColdFor is how much longer tasks take longer here, as of when the endpoint wrote it.
	ColdFor clock.Millis
	// Revision is that of the entry in the store, or 0 if a VM has passed it on without. The field name is sent.
	Revision Revision
}

// HasLabel reports whether the endpoint has the label; every endpoint has the empty label.
func (e *Endpoint) HasLabel(l string) bool {
	return l == "" || slices.Contains(e.Labels, l)
}

// ActiveAttempt is an attempt that an endpoint lists as active.
type ActiveAttempt struct {
	Task    job.TaskName
	Attempt job.Attempt
	// Percent is how much of the work is done.
	Percent int
}

// EndedAttempt is an attempt that an endpoint lists as ended.
type EndedAttempt struct {
	Number  EndNumber
	Task    job.TaskName
	Attempt job.Attempt
	End     End
}

// End is how an attempt ended.
type End int

// The ends.
const (
	// EndUnknown is an end that the endpoint reported under an unrecognised name.
	EndUnknown End = iota
	EndDone
	// EndFailed is a failure of the task itself or of its endpoint.
	EndFailed
	EndStopped
	// EndExpired means that the lease expired.
	EndExpired
	// EndBroken and EndAlone are ends of gang members.
	EndBroken
	EndAlone
)

// StatusReport lists the active and the ended attempts of an endpoint.
type StatusReport struct {
	Incarnation Incarnation
	Clock       Clock
	Active      []ActiveAttempt
	Ended       []EndedAttempt
}

// StartResult is the answer to a start. It is one of the types below.
type StartResult interface{ startResult() }

// Started means that the attempt is running.
type Started struct{}

// Rejected means that this start had no effect.
type Rejected struct{ Reason Rejection }

// NoAnswer means that the start may have been carried out, or may be later.
type NoAnswer struct{ Cause string }

func (Started) startResult()  {}
func (Rejected) startResult() {}
func (NoAnswer) startResult() {}

// Rejection is why an endpoint did not start an attempt.
type Rejection int

// The rejections.
const (
	// RejectedFenced means that another holder has a higher fencing token.
	RejectedFenced Rejection = iota
	// RejectedStale means that this attempt or a later one has already ended there.
	RejectedStale
	// RejectedExpired means that the lease of the start had already expired.
	RejectedExpired
	RejectedNoCapacity
	// RejectedUnhealthy is an answer of an overloaded or failing endpoint.
	RejectedUnhealthy
	// RejectedOtherInstance means that another instance answers at the address of the endpoint.
	RejectedOtherInstance
	// RejectedInvalid means that the endpoint could not decode the request.
	RejectedInvalid
	// RejectedNotSent means that no byte of the request reached the endpoint.
	RejectedNotSent
	// RejectedRefused means that nothing was sent since the endpoint's address refuses connections.
	RejectedRefused
)
