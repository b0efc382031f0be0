package dispatch

import "github.com/sequoiacart/sequoiacart/pkg/datacentre"

// Queued counts the tasks that wait.
func (s *Scheduler) Queued() int {
	return s.waiting
}

// InUse counts the slots of an endpoint that this VM's tasks hold.
func (s *Scheduler) InUse(e datacentre.EndpointID) datacentre.Slots {
	ep, ok := s.endpoints[e]
	if !ok {
		return 0
	}
	return ep.used + ep.expired
}
