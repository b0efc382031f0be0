package entry

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// handleEndpointsListed applies the platform's list as a difference, so that a poll without
// changes does not modify the scheduler.
func (c *Control) handleEndpointsListed(now clock.Millis, e EndpointsListed) {
	listed := make(map[datacentre.EndpointID]datacentre.Endpoint, len(e.Endpoints))
	listedIDs := make([]datacentre.EndpointID, 0, len(e.Endpoints))
	for _, ep := range e.Endpoints {
		listed[ep.ID] = ep
		listedIDs = append(listedIDs, ep.ID)
	}
	c.drains.RecordList(now, listedIDs, e.Leaving)
	for id, ep := range c.endpoints {
		if _, ok := listed[id]; !ok && ep.DataCentre == c.config.DataCentre {
			delete(c.endpoints, id)
			delete(c.homes, id)
			c.setSlots(now, id, 0, 0)
		}
	}
	for id, ep := range listed {
		c.endpoints[id] = ep
	}
	c.assignSlots(now)
}

// recordNotStarted records that an endpoint has reported to be leaving or busy.
func (c *Control) recordNotStarted(now clock.Millis, e AttemptEnded) {
	r, ok := e.Result.(contract.NotStarted)
	if !ok {
		return
	}
	id := e.Start.Endpoint
	switch r.Cause {
	case contract.EndpointLeaving:
		c.drains.RecordLeaving(now, id)
	case contract.EndpointBusy:
		c.slotLimits.RecordBusy(now, id, c.scheduler.InUse(id)-1)
	case contract.EndpointUnreachable:
		return
	}
	if ep, ok := c.endpoints[id]; ok {
		c.assignEndpoint(now, ep)
	}
}

// assignSlots sets the slots that the scheduler may use: those of the endpoints whose home
// VM this is, less the lent ones, plus the borrowed ones.
func (c *Control) assignSlots(now clock.Millis) {
	for id, ep := range c.endpoints {
		if !c.drains.Draining(id) {
			// The scheduler itself marks an endpoint as draining after an answer, and readmits
			// it only on newer evidence.
			c.scheduler.Readmit(now, id, now)
		}
		c.assignEndpoint(now, ep)
	}
}

// assignEndpoint sets the scheduler's slots of one endpoint. The slots that this VM has as
// the home VM are counted first; only these can be lent.
func (c *Control) assignEndpoint(now clock.Millis, ep datacentre.Endpoint) {
	if c.drains.Draining(ep.ID) {
		c.setSlots(now, ep.ID, 0, 0)
		return
	}
	own := c.ownSlots(ep)
	usable := c.loans.borrowed.Usable(now, ep.ID)
	if lent := c.slotsHeldForRemoved(now, ep.ID); lent > 0 {
		own = min(own, max(0, lent-usable))
	}
	slots := min(ep.Slots, own+usable)
	slots = c.slotLimits.Limit(now, ep.ID, slots)
	own = min(own, slots)
	c.setSlots(now, ep.ID, own, slots-own)
}

// ownSlots returns the slots of an endpoint that this VM has as its home VM and has not lent.
func (c *Control) ownSlots(ep datacentre.Endpoint) datacentre.Slots {
	return max(0, c.homeSlots(ep)-c.loans.lent.Lent(ep.ID))
}

// slotsHeldForRemoved returns the slots of an endpoint that were borrowed from a VM which has
// since been removed. That VM may still run on the other side of a network partition: there
// it uses the rest of the endpoint, and not these slots until it takes them back.
func (c *Control) slotsHeldForRemoved(now clock.Millis, e datacentre.EndpointID) datacentre.Slots {
	return c.loans.borrowed.Unreturned(now, e, func(lender vm.Incarnation) bool {
		v, ok := c.roster.Find(lender)
		return ok && v.Status == vm.Removed && v.HasRow
	})
}

// homeSlots returns the slots of an endpoint that this VM has as its home VM. The result is
// cached for the current roster, since choosing a home VM iterates over all VMs.
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

// setSlots updates the scheduler's slots of an endpoint.
func (c *Control) setSlots(now clock.Millis, id datacentre.EndpointID, own, borrowed datacentre.Slots) {
	if old, ok := c.assignedSlots[id]; ok && old == 0 && own+borrowed == 0 {
		// The scheduler may have removed the endpoint; setting its slots would add it again.
		return
	}
	if own+borrowed > 0 && c.assignedSlots[id] == 0 {
		// The scheduler's own record that the endpoint is draining is out of date now.
		c.scheduler.Readmit(now, id, now)
	}
	c.assignedSlots[id] = own + borrowed
	c.scheduler.SetSlots(now, id, own)
	c.scheduler.SetBorrowed(now, id, borrowed)
}
