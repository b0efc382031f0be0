package dispatch

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// OwnerUsage is one owner's usage of one entry VM since the VM started. The totals are
// monotonic, so that the receiver of a digest can take the difference to the previous one.
type OwnerUsage struct {
	Owner owner.ID
	// SlotTime is the measured time that finished tasks of the owner occupied slots.
	SlotTime clock.Millis
	// Charged is SlotTime plus the charges so far for the tasks that run now. Peers use it, so
	// that they account for running tasks at once and not only when these end.
	Charged clock.Millis
	// Backlog is the number of tasks that wait now.
	Backlog int
	// Started counts started tasks. A task that the endpoint did not run counts again when it
	// is started again.
	Started int64
	// Refused counts jobs that were rejected at admission or shed later.
	Refused int64
	// Waited is the sum of the started tasks' waits in the queue of this VM.
	Waited clock.Millis
	// LongestWait is the longest wait of a started task.
	LongestWait clock.Millis
}

// Usage returns the usage of every owner on this VM, in the order of the bundle.
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

// SetPeerUsage records the usage that a peer reports, so that shares apply across all VMs.
// What an owner has used at the peer since the last report is charged as if used on this VM,
// up to a bound; see maxLead. The first report of a peer is only stored as the baseline,
// since its totals are from the past.
func (s *Scheduler) SetPeerUsage(_ clock.Millis, peer vm.Incarnation, usage []OwnerUsage) {
	for _, u := range usage {
		a, ok := s.accounts[u.Owner]
		if !ok {
			continue
		}
		previous, seen := a.peerCharged[peer]
		a.peerCharged[peer] = max(previous, u.Charged)
		if !seen || u.Charged <= previous {
			continue
		}
		allowed := s.virtual + s.maxVirtualLead() - a.virtual
		used := a.toVirtualTime(slotMillis(u.Charged - previous))
		s.advance(a, max(min(used, allowed), 0))
	}
}
