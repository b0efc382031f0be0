package datacentre

import (
	"maps"
	"slices"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// raiseEvery is how long a VM waits before it tries one more slot of an endpoint that was
// busy. With two homes of 12 endpoints it costs 24 refusals a second.
const raiseEvery = clock.Second

// SlotLimits bound the slots of endpoints that answered "busy": another VM uses slots that
// this one counts as its own.
type SlotLimits struct {
	ceilings map[EndpointID]ceiling
}

type ceiling struct {
	slots Slots
	at    clock.Millis
}

// NewSlotLimits returns ceilings for no endpoint.
func NewSlotLimits() *SlotLimits {
	return &SlotLimits{ceilings: make(map[EndpointID]ceiling)}
}

// RecordBusy notes that an endpoint was busy while it ran a number of this VM's tasks.
func (c *SlotLimits) RecordBusy(now clock.Millis, e EndpointID, running Slots) {
	c.ceilings[e] = ceiling{slots: max(0, running), at: now}
}

// Limit returns how many of the slots that this VM counts as its own it may use now.
func (c *SlotLimits) Limit(now clock.Millis, e EndpointID, slots Slots) Slots {
	l, ok := c.ceilings[e]
	if !ok {
		return slots
	}
	limit := l.slots + Slots((now-l.at)/raiseEvery)
	if limit >= slots && slots > 0 {
		delete(c.ceilings, e)
		return slots
	}
	return min(limit, slots)
}

// Endpoints returns the endpoints that are bounded.
func (c *SlotLimits) Endpoints() []EndpointID {
	return slices.Sorted(maps.Keys(c.ceilings))
}

// Remove drops the ceiling of an endpoint that is no longer known.
func (c *SlotLimits) Remove(e EndpointID) {
	delete(c.ceilings, e)
}
