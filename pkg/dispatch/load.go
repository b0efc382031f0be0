package dispatch

import "github.com/sequoiacart/sequoiacart/pkg/datacentre"

// Queued counts the tasks that wait.
func (s *Scheduler) Queued() int {
	return len(s.queue)
}

// InUse counts the slots of an endpoint that this VM's tasks hold.
func (s *Scheduler) InUse(e datacentre.EndpointID) datacentre.Slots {
	c, ok := s.slots[e]
	if !ok {
		return 0
	}
	return c.used
}
