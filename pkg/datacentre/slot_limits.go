package datacentre

import (
	"maps"
	"slices"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// raiseInterval is the time after which a VM tries one more slot of an endpoint that was busy.
// With two home VMs of 12 endpoints it costs 24 busy answers a second.
const raiseInterval = clock.Second

// SlotLimits bounds the slots of endpoints that answered "busy": another VM uses slots that
// this one counts as its own.
type SlotLimits struct {
	limits map[EndpointID]slotLimit
}

type slotLimit struct {
	slots Slots
	at    clock.Millis
}

// NewSlotLimits returns limits for no endpoint.
func NewSlotLimits() *SlotLimits {
	return &SlotLimits{limits: make(map[EndpointID]slotLimit)}
}

// RecordBusy records that an endpoint answered "busy" while it ran a number of this VM's tasks.
func (s *SlotLimits) RecordBusy(now clock.Millis, e EndpointID, running Slots) {
	s.limits[e] = slotLimit{slots: max(0, running), at: now}
}

// Limit returns how many of the slots that this VM counts as its own it may use now.
func (s *SlotLimits) Limit(now clock.Millis, e EndpointID, slots Slots) Slots {
	l, ok := s.limits[e]
	if !ok {
		return slots
	}
	limit := l.slots + Slots((now-l.at)/raiseInterval)
	if limit >= slots && slots > 0 {
		delete(s.limits, e)
		return slots
	}
	return min(limit, slots)
}

// Endpoints returns the endpoints that have a limit.
func (s *SlotLimits) Endpoints() []EndpointID {
	return slices.Sorted(maps.Keys(s.limits))
}

// Remove deletes the limit of an endpoint that no longer exists.
func (s *SlotLimits) Remove(e EndpointID) {
	delete(s.limits, e)
}
