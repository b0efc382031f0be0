package dispatch

import "github.com/sequoiacart/sequoiacart/pkg/clock"

// urgentBurst is the slot time, as time of that part of the share, that urgent tasks may take
// ahead of the owner's turn after a pause.
const maxUrgentBurst = clock.Second

// urgentPart is the part of its share that an owner may take for urgent tasks ahead of
// its turn: half. With the whole share, an owner that marks all jobs as urgent would
// escape the correction for what it uses on other VMs; with a quarter, one large urgent
// job holds up the small ones behind it past their deadlines.
const urgentShareDivisor = 2

// urgentLane orders owners with waiting jobs of rank 0 by the slot time that such jobs
// have had. They go ahead of the owner's turn as long as they stay within a part of its share, so
// that an owner that used more than its share on other VMs or for other classes is late
// with those and not with urgent tasks. What they use is charged to the owner as usual.
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

// fairTime is the virtual time of an owner that has used exactly that part of its share,
// with all owners active, since the scheduler began.
func (s *Scheduler) urgentFairTime(now clock.Millis) virtualTime {
	if s.urgentFairAt > 0 {
		s.urgentFair += virtualTime(slotMillis(now-s.urgentFairAt) * slotMillis(s.placement.total) / max(s.shares, 1) / urgentShareDivisor)
	}
	s.urgentFairAt = now
	return s.urgentFair
}

// pickUrgent returns the lane of an urgent job that may go ahead of its owner's turn.
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

// chargeUrgent books urgent slot time. Shares not used in the past are worth urgentBurst
// at most.
func (s *Scheduler) chargeUrgent(now clock.Millis, a *account, work slotMillis) {
	burst := virtualTime(slotMillis(maxUrgentBurst) * slotMillis(s.placement.total) / max(s.shares, 1) / urgentShareDivisor)
	a.urgentVirtual = max(a.urgentVirtual, s.urgentFairTime(now)-burst) + a.toVirtualTime(work)
	for i := range a.lanes {
		if u := &a.lanes[i].urgent; u.pos != absent {
			s.urgent.fix(u)
		}
	}
}

// trackUrgent keeps a lane in the order of urgent lanes while it has jobs of rank 0.
func (s *Scheduler) updateUrgentLane(l *lane) {
	waits, tracked := l.nonEmpty&1 != 0, l.urgent.pos != absent
	switch {
	case waits && !tracked:
		s.urgent.push(&l.urgent)
	case !waits && tracked:
		s.urgent.remove(&l.urgent)
	}
}
