package dispatch

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// OwnerUsage is what one owner has had of one entry VM since the VM started. The totals
// only grow, so the receiver of a digest takes the difference to the digest before it.
type OwnerUsage struct {
	Owner owner.ID
	// SlotTime is the measured time that tasks of the owner held slots.
	SlotTime clock.Millis
	// Charged is SlotTime with the estimates of the tasks that run now. Peers use it: they
	// would otherwise correct what is under way already.
	Charged clock.Millis
	// Backlog counts the tasks that wait now.
	Backlog int
	// Started counts tasks; a task that was not run and is started again counts once more.
	Started int64
	// Refused counts jobs, at admission and shed later.
	Refused int64
	// Waited is the sum of the waits of started tasks, in the queue of this VM.
	Waited clock.Millis
	// LongestWait is the longest wait of a started task.
	LongestWait clock.Millis
}

// Usage returns the figures of every owner at this VM, in the order of the bundle.
func (s *Scheduler) Usage() []OwnerUsage {
	all := make([]OwnerUsage, len(s.bundleOrder))
	for i, a := range s.bundleOrder {
		all[i] = a.usage
		all[i].SlotTime = clock.Millis(a.slotTime)
		all[i].Charged = clock.Millis(a.charged)
		all[i].Backlog = a.waiting
	}
	return all
}

// SetPeerUsage takes a peer's figures, so that shares hold over all VMs together. What
// an owner used at the peer since the last figures counts here as if used here, up to a
// bound; see lead. The first figures of a peer are only noted: they are of the past.
func (s *Scheduler) SetPeerUsage(_ clock.Millis, peer vm.Incarnation, usage []OwnerUsage) {
	for _, u := range usage {
		a, ok := s.accounts[u.Owner]
		if !ok {
			continue
		}
		before, seen := a.peerCharged[peer]
		a.peerCharged[peer] = max(before, u.Charged)
		if !seen || u.Charged <= before {
			continue
		}
		room := s.virtual + s.maxVirtualLead() - a.virtual
		used := a.toVirtualTime(slotMillis(u.Charged - before))
		s.advance(a, max(min(used, room), 0))
	}
}
