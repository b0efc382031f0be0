package dispatch

import "github.com/sequoiacart/sequoiacart/pkg/clock"

// urgentBurst is the slot time, as time of that part of the share, that urgent tasks may take
// ahead of the owner's turn after a pause.
const urgentBurst = clock.Second

// urgentPart is the part of its share that an owner may take for urgent tasks ahead of
// its turn: one in four. With the whole share, an owner that marks all jobs as urgent
// would escape the correction for what it uses on other VMs.
const urgentPart = 4

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
func (s *Scheduler) fairTime(now clock.Millis) virtualTime {
	if s.fairAt > 0 {
		s.fair += virtualTime(slotMillis(now-s.fairAt) * slotMillis(s.placement.total) / max(s.shares, 1) / urgentPart)
	}
	s.fairAt = now
	return s.fair
}

// pickUrgent returns the lane of an urgent job that may go ahead of its owner's turn.
func (s *Scheduler) pickUrgent(now clock.Millis) *lane {
	if s.urgent.empty() {
		return nil
	}
	l := s.urgent.top().lane
	if !s.mayStart(l.index) || l.account.urgentVirtual > s.fairTime(now) {
		return nil
	}
	return l
}

// chargeUrgent books urgent slot time. Shares not used in the past are worth urgentBurst
// at most.
func (s *Scheduler) chargeUrgent(now clock.Millis, a *account, work slotMillis) {
	burst := virtualTime(slotMillis(urgentBurst) * slotMillis(s.placement.total) / max(s.shares, 1) / urgentPart)
	a.urgentVirtual = max(a.urgentVirtual, s.fairTime(now)-burst) + a.virtualOf(work)
	for i := range a.lanes {
		if u := &a.lanes[i].urgent; u.pos != absent {
			s.urgent.fix(u)
		}
	}
}

// trackUrgent keeps a lane in the order of urgent lanes while it has jobs of rank 0.
func (s *Scheduler) trackUrgent(l *lane) {
	waits, tracked := l.filled&1 != 0, l.urgent.pos != absent
	switch {
	case waits && !tracked:
		s.urgent.push(&l.urgent)
	case !waits && tracked:
		s.urgent.remove(&l.urgent)
	}
}
