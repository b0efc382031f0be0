package evacuation

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// View is what a VM knows of the evacuations, and since when. The zero value knows nothing.
type View struct {
	state State
	// readAt is the latest time at which the state is known to have been current, or 0 if there is none.
	readAt clock.Millis
	// clearAt is the latest time at which each evacuated data centre is known not to have been evacuated, or
	// 0 if there is none.
	clearAt map[datacentre.ID]clock.Millis
}

// State returns the latest state.
func (v *View) State() State { return v.state }

// ReadAt returns the latest time at which the state is known to have been current, or 0.
func (v *View) ReadAt() clock.Millis { return v.readAt }

// Update applies a state and reports whether the set of evacuated data centres has changed. readAt is a
// time, on this VM's clock, at or after which the store had the state, or 0 if there is none. Reads of
// the store are linearizable, so an earlier state that was read at a later time proves that the present
// one was current then too.
func (v *View) Update(s State, readAt clock.Millis) (changed bool) {
	if s.Version > v.state.Version {
		clearAt := make(map[datacentre.ID]clock.Millis, len(s.Since))
		for dc := range s.Since {
			clearAt[dc] = v.ClearAt(dc)
		}
		changed = !s.equal(&v.state)
		v.state, v.clearAt = s, clearAt
	}
	v.readAt = max(v.readAt, readAt)
	return changed
}

// Covers reports whether a data centre is to be empty.
func (v *View) Covers(dc datacentre.ID) bool { return v.state.Covers(dc) }

// ClearAt returns the latest time at which a data centre is known not to have been evacuated, or 0.
func (v *View) ClearAt(dc datacentre.ID) clock.Millis {
	if v.Covers(dc) {
		return v.clearAt[dc]
	}
	return v.readAt
}

// Status is what a VM knows of one data centre.
type Status struct {
	// Evacuated says that the data centre is to be empty.
	Evacuated bool
	// ClearAt is the latest time at which it is known not to have been evacuated, or 0. The store had not
	// accepted the operator's request by then.
	ClearAt clock.Millis
}

// Status returns what is known of a data centre.
func (v *View) Status(dc datacentre.ID) Status {
	return Status{Evacuated: v.Covers(dc), ClearAt: v.ClearAt(dc)}
}
