package entry

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// endpointsListed takes over the platform's list as a difference, so that a poll that
// tells nothing new does not touch the scheduler.
func (c *Control) endpointsListed(now clock.Millis, e EndpointsListed) {
	listed := make(map[datacentre.EndpointID]datacentre.Endpoint, len(e.Endpoints))
	live := make([]datacentre.EndpointID, 0, len(e.Endpoints))
	for _, ep := range e.Endpoints {
		listed[ep.ID] = ep
		live = append(live, ep.ID)
	}
	c.drains.Listed(now, live, e.Leaving)
	for id := range c.endpoints {
		if _, ok := listed[id]; !ok {
			delete(c.endpoints, id)
			c.grant(now, id, 0)
		}
	}
	for id, ep := range listed {
		c.endpoints[id] = ep
	}
	c.assignHomes(now)
}

// noteDrain takes an endpoint's own word that it leaves.
func (c *Control) noteDrain(now clock.Millis, e AttemptEnded) {
	r, ok := e.Result.(contract.NotStarted)
	if !ok || r.Cause != contract.EndpointLeaving {
		return
	}
	c.drains.SawLeaving(now, e.Start.Endpoint)
	c.assignHomes(now)
}

// assignHomes gives the scheduler the slots of the endpoints whose home is this VM.
func (c *Control) assignHomes(now clock.Millis) {
	for id, ep := range c.endpoints {
		c.grant(now, id, c.slotsOf(ep))
	}
}

func (c *Control) slotsOf(ep datacentre.Endpoint) datacentre.Slots {
	if c.drains.Draining(ep.ID) {
		return 0
	}
	home, ok := c.roster.Home(ep.ID, ep.DataCentre)
	if !ok || home.Incarnation != c.config.Self {
		return 0
	}
	return ep.Slots
}

// grant tells the scheduler of an endpoint's slots where they have changed.
func (c *Control) grant(now clock.Millis, id datacentre.EndpointID, slots datacentre.Slots) {
	if old, ok := c.granted[id]; ok && old == slots {
		return
	}
	c.granted[id] = slots
	c.scheduler.SetSlots(now, id, slots)
}
