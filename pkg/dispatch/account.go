package dispatch

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// account holds the scheduling state of one owner: its virtual time for weighted fair
// queueing, its waiting jobs by lane, and its usage totals.
type account struct {
	owner    owner.Owner
	sequence int
	virtual  virtualTime
	// urgentVirtual is the virtual time of the owner's tasks of rank 0 only.
	urgentVirtual virtualTime
	lanes         [laneCount]lane
	waiting       int
	// work is the estimated slot time of the waiting tasks of each class.
	work        [rankCount]slotMillis
	slotTime    slotMillis
	charged     slotMillis
	usage       OwnerUsage
	peerCharged map[vm.Incarnation]clock.Millis
}

func newAccount(o owner.Owner, sequence int) *account {
	a := &account{owner: o, sequence: sequence, peerCharged: make(map[vm.Incarnation]clock.Millis)}
	for i := range a.lanes {
		l := &a.lanes[i]
		*l = lane{account: a, index: laneIndex(i), pos: absent}
		l.urgent = urgentLane{lane: l, pos: absent}
	}
	return a
}

func (a *account) share() slotMillis {
	return slotMillis(max(a.owner.Share, 1))
}

func (a *account) toVirtualTime(work slotMillis) virtualTime {
	return virtualTime(work / a.share())
}

// workAhead returns the estimated slot time of the owner's waiting tasks that start before
// a new job of the given rank.
func (a *account) workAhead(rank int) slotMillis {
	ahead := slotMillis(0)
	for r := 0; r <= rank; r++ {
		ahead += a.work[r]
	}
	return ahead
}

func (a *account) recordStart(wait clock.Millis) {
	a.usage.Started++
	a.usage.Waited += wait
	a.usage.LongestWait = max(a.usage.LongestWait, wait)
}
