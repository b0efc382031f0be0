package vm

import "github.com/sequoiacart/sequoiacart/pkg/clock"

// status takes every known VM for alive.
func (m *Membership) status(_ clock.Millis, _ *member) Status {
	return Alive
}

func (e *member) excuse(_ clock.Millis) {}

func (m *Membership) settleSuccession(_ clock.Millis, _ *member) {}
