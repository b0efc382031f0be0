package dispatch

import "github.com/sequoiacart/sequoiacart/pkg/clock"

// maxUrgentBurst bounds the unused urgent share that an owner can save up while it has no
// urgent tasks. It is the time in which that share accrues.
const maxUrgentBurst = clock.Second

// urgentShareDivisor limits urgent tasks that start ahead of their owner's turn to half of
// the owner's share. With the whole share, an owner that marks all jobs as urgent would
// avoid the correction for its usage of other VMs. With a quarter, one large urgent job
// delays the small ones behind it past their deadlines.
const urgentShareDivisor = 2

// urgentLane orders lanes with waiting jobs of rank 0 by the slot time that their owners
// have used for such jobs. These jobs start ahead of their owner's turn while they stay
// within a fraction of its share. An owner that exceeded its share on other VMs or with other
// classes is thus delayed in these and not in urgent tasks. Urgent slot time is charged to
// the owner as usual.
type urgentLane struct {
	lane *lane
	pos  int
}

func (u *urgentLane) before(o *urgentLane) bool {
	a, b := u.lane.account, o.lane.account
	if a.urgentVirtual != b.urgentVirtual {
		return a.urgentVirtual < b.urgentVirtual
	}
	return a.sequence < b.sequence
}

func (u *urgentLane) position() *int {
	return &u.pos
}

// urgentFairTime returns the urgent virtual time of an owner that has used exactly the
// urgent fraction of its share since the scheduler started, with all owners active.
func (s *Scheduler) urgentFairTime(now clock.Millis) virtualTime {
	if s.urgentFairAt > 0 {
		s.urgentFair += virtualTime(slotMillis(now-s.urgentFairAt) * slotMillis(s.placement.total) / max(s.shares, 1) / urgentShareDivisor)
	}
	s.urgentFairAt = now
	return s.urgentFair
}

// pickUrgent returns the lane of an urgent job that may start ahead of its owner's turn, or
// nil.
func (s *Scheduler) pickUrgent(now clock.Millis) *lane {
	if s.urgent.empty() {
		return nil
	}
	l := s.urgent.top().lane
	if !s.mayStart(l.index) || l.account.urgentVirtual > s.urgentFairTime(now) {
		return nil
	}
	return l
}

// chargeUrgent charges urgent slot time. Unused urgent share from the past counts up to
// maxUrgentBurst.
func (s *Scheduler) chargeUrgent(now clock.Millis, a *account, work slotMillis) {
	burst := virtualTime(slotMillis(maxUrgentBurst) * slotMillis(s.placement.total) / max(s.shares, 1) / urgentShareDivisor)
	a.urgentVirtual = max(a.urgentVirtual, s.urgentFairTime(now)-burst) + a.toVirtualTime(work)
	for i := range a.lanes {
		if u := &a.lanes[i].urgent; u.pos != absent {
			s.urgent.fix(u)
		}
	}
}

// updateUrgentLane adds a lane to the heap of urgent lanes or removes it, depending on
// whether it has jobs of rank 0.
func (s *Scheduler) updateUrgentLane(l *lane) {
	waits, tracked := l.nonEmpty&1 != 0, l.urgent.pos != absent
	switch {
	case waits && !tracked:
		s.urgent.push(&l.urgent)
	case !waits && tracked:
		s.urgent.remove(&l.urgent)
	}
}
