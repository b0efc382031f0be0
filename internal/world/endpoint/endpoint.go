// Package endpoint describes the back-end instances that run tasks under leases.
package endpoint

import (
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// Born is when a life of an endpoint began, in milliseconds since the Unix epoch by the
// endpoint's clock. An endpoint that restarts under its ID has another one.
type Born int64

// Clock is a point on the steady clock of an endpoint, in milliseconds. It may run 2 %
// slow.
type Clock int64

// EndNumber numbers the ended runs that an endpoint lists, from 1 in each life.
type EndNumber int64

// Endpoint is one life of a back-end instance, as the platform's store lists it.
type Endpoint struct {
	ID         datacentre.EndpointID
	Born       Born
	Service    queue.ServiceName
	DataCentre datacentre.ID
	Address    string
	Rack       datacentre.RackID
	Labels     []string
	Capacity   job.Room
	Draining   bool
}

// HasLabel reports whether the endpoint has the label; the empty label is had by all.
func (e *Endpoint) HasLabel(l string) bool {
	return l == "" || slices.Contains(e.Labels, l)
}

// ActiveRun is a run that an endpoint lists as present.
type ActiveRun struct {
	Task job.TaskName
	Run  job.Run
	// Percent is how much of the work is done.
	Percent int
}

// EndedRun is a run that an endpoint lists as ended.
type EndedRun struct {
	Number EndNumber
	Task   job.TaskName
	Run    job.Run
	How    End
}

// End is how a run ended.
type End int

// The ends.
const (
	// EndUnknown is an end that the endpoint reported in words that we do not know.
	EndUnknown End = iota
	EndDone
	// EndFailed is a failure of the task itself or of its endpoint.
	EndFailed
	EndStopped
	// EndLapsed means that the lease ran out.
	EndLapsed
	// EndBroken and EndAlone are ends of gang members.
	EndBroken
	EndAlone
)

// Look is what an endpoint tells of its runs.
type Look struct {
	Born   Born
	Clock  Clock
	Active []ActiveRun
	Ended  []EndedRun
}

// StartResult is the answer to a start. It is one of the types below.
type StartResult interface{ startResult() }

// Started means that the run is present.
type Started struct{}

// Rejected means that this start did nothing.
type Rejected struct{ Why Rejection }

// NoAnswer means that the start may have been carried out, or may be later.
type NoAnswer struct{ Cause string }

func (Started) startResult()  {}
func (Rejected) startResult() {}
func (NoAnswer) startResult() {}

// Rejection is why an endpoint did not start a run.
type Rejection int

// The rejections.
const (
	// RejectedFenced means that another holder has a higher fencing token.
	RejectedFenced Rejection = iota
	// RejectedOld means that this run or a later one has already ended there.
	RejectedOld
	// RejectedLate means that the lease of the start was already over.
	RejectedLate
	RejectedNoRoom
	// RejectedUnhealthy is an answer of an overloaded or failing endpoint.
	RejectedUnhealthy
	// RejectedOtherLife means that the endpoint has restarted.
	RejectedOtherLife
	// RejectedInvalid means that the endpoint could not read the order.
	RejectedInvalid
	// RejectedNotSent means that no byte of the order reached the endpoint.
	RejectedNotSent
)
