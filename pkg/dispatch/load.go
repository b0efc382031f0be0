package dispatch

import "github.com/sequoiacart/sequoiacart/pkg/datacentre"

// Queued returns the number of waiting tasks.
func (s *Scheduler) Queued() int {
	return s.waiting
}

// InUse returns the number of slots of an endpoint that this VM's tasks occupy.
func (s *Scheduler) InUse(e datacentre.EndpointID) datacentre.Slots {
	ep, ok := s.endpoints[e]
	if !ok {
		return 0
	}
	return ep.used + ep.expired
}
