package entry

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
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
	c.drains.RecordList(now, live, e.Leaving)
	for id, ep := range c.endpoints {
		if _, ok := listed[id]; !ok && ep.DataCentre == c.config.DataCentre {
			delete(c.endpoints, id)
			delete(c.homes, id)
			c.grant(now, id, 0, 0)
		}
	}
	for id, ep := range listed {
		c.endpoints[id] = ep
	}
	c.assignHomes(now)
}

// noteNotRun takes an endpoint's own word that it leaves or is busy.
func (c *Control) noteNotRun(now clock.Millis, e AttemptEnded) {
	r, ok := e.Result.(contract.NotStarted)
	if !ok {
		return
	}
	id := e.Start.Endpoint
	switch r.Cause {
	case contract.EndpointLeaving:
		c.drains.RecordLeaving(now, id)
	case contract.EndpointBusy:
		c.ceilings.RecordBusy(now, id, c.scheduler.InUse(id)-1)
	case contract.EndpointUnreachable:
		return
	}
	if ep, ok := c.endpoints[id]; ok {
		c.assign(now, ep)
	}
}

// assignHomes gives the scheduler the slots that this VM may use: of the endpoints whose
// home it is, less what it lent, and what it borrowed.
func (c *Control) assignHomes(now clock.Millis) {
	for id, ep := range c.endpoints {
		if !c.drains.Draining(id) {
			// The scheduler drains by itself on an answer, and waits for fresh evidence.
			c.scheduler.Readmit(now, id, now)
		}
		c.assign(now, ep)
	}
}

// assign gives the scheduler the slots of one endpoint. Those that this VM has as its home
// come first, and only they are lent.
func (c *Control) assign(now clock.Millis, ep datacentre.Endpoint) {
	if c.drains.Draining(ep.ID) {
		c.grant(now, ep.ID, 0, 0)
		return
	}
	own := c.ownSlots(ep)
	usable := c.lending.borrowings.Usable(now, ep.ID)
	if lent := c.keptForRemoved(now, ep.ID); lent > 0 {
		own = min(own, max(0, lent-usable))
	}
	slots := min(ep.Slots, own+usable)
	slots = c.ceilings.Limit(now, ep.ID, slots)
	own = min(own, slots)
	c.grant(now, ep.ID, own, slots-own)
}

// ownSlots returns the slots of an endpoint that this VM has as its home and has not lent.
func (c *Control) ownSlots(ep datacentre.Endpoint) datacentre.Slots {
	return max(0, c.homeSlots(ep)-c.lending.book.Lent(ep.ID))
}

// keptForRemoved returns the slots of an endpoint that were borrowed from a VM which was
// removed since. It may run behind a cut, use the rest of the endpoint, and leave these
// slots alone until it takes them back.
func (c *Control) keptForRemoved(now clock.Millis, e datacentre.EndpointID) datacentre.Slots {
	return c.lending.borrowings.Unreturned(now, e, func(lender vm.Incarnation) bool {
		v, ok := c.roster.Find(lender)
		return ok && v.Status == vm.Removed && v.Listed
	})
}

// homeSlots returns the slots of an endpoint that this VM has as its home. It remembers
// them for the roster in force, since the choice of a home goes over all VMs.
func (c *Control) homeSlots(ep datacentre.Endpoint) datacentre.Slots {
	isHome, ok := c.homes[ep.ID]
	if !ok {
		home, found := c.roster.Home(ep.ID, ep.DataCentre)
		isHome = found && home.Incarnation == c.config.Self
		c.homes[ep.ID] = isHome
	}
	if !isHome {
		return 0
	}
	return ep.Slots
}

// grant tells the scheduler of an endpoint's slots where they have changed.
func (c *Control) grant(now clock.Millis, id datacentre.EndpointID, own, borrowed datacentre.Slots) {
	if old, ok := c.granted[id]; ok && old == 0 && own+borrowed == 0 {
		// The scheduler may have forgotten the endpoint, and would begin to keep it again.
		return
	}
	if own+borrowed > 0 && c.granted[id] == 0 {
		// The drain evidence that the scheduler keeps by itself is out of date now.
		c.scheduler.Readmit(now, id, now)
	}
	c.granted[id] = own + borrowed
	c.scheduler.SetSlots(now, id, own)
	c.scheduler.SetBorrowed(now, id, borrowed)
}
