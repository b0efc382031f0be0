package dispatch

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
)

const (
	// initialLongFrom holds until enough run times are known.
	initialLongFrom = clock.Second
	// chargeAhead is the most that is charged at the start of a task. The rest follows while
	// it runs: with several seconds charged at once, an owner with a few long tasks would
	// wait for what it has not used yet.
	chargeAhead slotMillis = 500
	// longFactor sets the limit between short and long work as a multiple of the median
	// run time of all tasks.
	longFactor = 4
	// The limit stays within these bounds, so that a VM with very short or only long work
	// still tells them apart.
	leastLongFrom = 100 * clock.Millis(1)
	mostLongFrom  = 10 * clock.Second
	// knownKinds bounds the kinds about which something is kept.
	knownKinds = 4096
)

// mayStart tells whether a task of the lane may take another slot. Long work may hold
// half of the slots: with 5 % of the tasks 20 times longer, it is half of all work. New
// kinds may turn out long, so they get what long work leaves of that half, and an eighth
// of all slots in any case.
func (s *Scheduler) mayStart(i laneIndex) bool {
	slots := int(s.placement.total)
	long := s.running[longLane].count
	switch i {
	case longLane:
		return long < max(slots/2, 1)
	case newLane:
		return s.running[newLane].count < max(slots/2-long, slots/8, 1)
	default:
		return true
	}
}

func (s *Scheduler) kind(now clock.Millis, o owner.ID, name contract.Kind) *kind {
	key := kindKey{owner: o, kind: name}
	k, ok := s.kinds[key]
	if !ok {
		if len(s.kinds) >= knownKinds {
			s.forgetKind()
		}
		k = &kind{name: name}
		s.kinds[key] = k
	}
	k.used = now
	return k
}

// forgetKind makes room: of a few kinds without jobs, the one that was used least
// recently goes.
func (s *Scheduler) forgetKind() {
	const sample = 16
	var oldest kindKey
	var found *kind
	looked := 0
	for key, k := range s.kinds {
		if k.jobs == 0 && (found == nil || k.used < found.used) {
			oldest, found = key, k
		}
		if looked++; looked >= sample && found != nil {
			break
		}
	}
	delete(s.kinds, oldest)
}

// estimate is the expected slot time of a task.
func (s *Scheduler) estimate(k *kind) slotMillis {
	switch {
	case k.known():
		return k.mean
	case s.times.total > 0:
		return slotMillis(s.longFrom) / longFactor
	default:
		return unknownMean
	}
}

// upperEstimate is a run time that nine tasks in ten do not exceed.
func (s *Scheduler) upperEstimate(k *kind) clock.Millis {
	if k.known() {
		return k.upper
	}
	return clock.Millis(s.estimate(k))
}

// learnTime takes a run time into account for its kind and for the limit between short
// and long work.
func (s *Scheduler) learnTime(k *kind, m *endpoint, span clock.Millis) {
	surprise := k.observe(span, m)
	s.placement.before(m)
	m.observe(surprise)
	s.placement.after(m)
	s.times.add(span)
	if s.times.total%quantileEvery == 0 {
		s.longFrom = min(max(longFactor*s.times.quantile(0.5), leastLongFrom), mostLongFrom)
	}
	k.classify(s.longFrom)
}

// moveOverruns moves running tasks that have turned out long to the long account. The
// list is in the order of starts, so only those that are due are looked at.
func (s *Scheduler) moveOverruns(now clock.Millis, from *runningList) {
	for r := from.first; r != nil && now-r.startedAt >= s.longFrom; r = from.first {
		from.remove(r)
		s.running[longLane].push(r)
		r.job.kind.outran(now - r.startedAt)
		r.job.kind.classify(s.longFrom)
	}
}

// chargeOverruns charges long tasks for the time that they hold slots beyond their
// estimate, so that an owner with stragglers pays while they run and not only at the end.
func (s *Scheduler) chargeOverruns(now clock.Millis) {
	for r := s.running[longLane].first; r != nil; r = r.next {
		if held := slotMillis(now - r.startedAt); held > r.charged {
			s.charge(r.job.account, held-r.charged)
			r.charged = held
		}
	}
}

// Tick does what is due by the passing of time. Call it every 10 to 100 ms.
func (s *Scheduler) Tick(now clock.Millis) {
	s.moveOverruns(now, &s.running[shortLane])
	s.moveOverruns(now, &s.running[newLane])
	s.chargeOverruns(now)
	s.releaseHeld(now)
}
