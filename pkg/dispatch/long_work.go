package dispatch

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
)

const (
	// initialLongThreshold applies until enough run times have been recorded.
	initialLongThreshold = clock.Second
	// maxInitialCharge bounds the charge at the start of a task; the rest is charged while it
	// runs. With several seconds charged at once, an owner with a few long tasks would wait
	// because of slot time that it has not used yet.
	maxInitialCharge slotMillis = 500
	// longMedianFactor times the median run time of all tasks is the threshold between short
	// and long work.
	longMedianFactor = 4
	// The bounds of the threshold keep it useful on a VM with only very short or only long
	// work.
	minLongThreshold = 100 * clock.Millis(1)
	maxLongThreshold = 10 * clock.Second
	// maxKinds bounds the number of kinds with stored estimates.
	maxKinds = 4096
)

// mayStart reports whether a task of the lane may take another slot. Long work may occupy
// half of the slots: if 5 % of the tasks run 20 times longer, they are half of all work.
// New kinds may turn out to be long, so they get what long work leaves of that half, and at
// least an eighth of all slots.
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
		if len(s.kinds) >= maxKinds {
			s.evictKind()
		}
		k = &kind{name: name}
		s.kinds[key] = k
	}
	k.lastUsed = now
	return k
}

// evictKind removes the least recently used of a sample of the kinds without jobs, if there
// is one.
func (s *Scheduler) evictKind() {
	const sampleSize = 16
	var evictedKey kindKey
	var evicted *kind
	sampled := 0
	for key, k := range s.kinds {
		if k.jobs == 0 && (evicted == nil || k.lastUsed < evicted.lastUsed) {
			evictedKey, evicted = key, k
		}
		if sampled++; sampled >= sampleSize && evicted != nil {
			break
		}
	}
	delete(s.kinds, evictedKey)
}

// estimate returns the expected slot time of a task.
func (s *Scheduler) estimate(k *kind) slotMillis {
	switch {
	case k.measured():
		return k.mean
	case s.times.total > 0:
		return slotMillis(s.longThreshold) / longMedianFactor
	default:
		return defaultRunTime
	}
}

// upperEstimate returns a run time that nine in ten tasks do not exceed.
func (s *Scheduler) upperEstimate(k *kind) clock.Millis {
	if k.measured() {
		return k.upper
	}
	return clock.Millis(s.estimate(k))
}

// recordRunTime updates the estimates of the kind, the speed of the endpoint and the
// threshold between short and long work.
func (s *Scheduler) recordRunTime(k *kind, ep *endpoint, runTime clock.Millis) {
	deviation := k.observe(runTime, ep)
	s.placement.beginChange(ep)
	ep.observe(deviation)
	s.placement.endChange(ep)
	s.times.add(runTime)
	if s.times.total%quantileInterval == 0 {
		s.longThreshold = min(max(longMedianFactor*s.times.quantile(0.5), minLongThreshold), maxLongThreshold)
	}
	k.classify(s.longThreshold)
}

// moveOverruns moves running tasks that have reached the threshold to the list of long
// work. The list is in the order of starts, so the loop visits only the tasks it moves.
func (s *Scheduler) moveOverruns(now clock.Millis, from *runningList) {
	for r := from.first; r != nil && now-r.startedAt >= s.longThreshold; r = from.first {
		from.remove(r)
		s.running[longLane].push(r)
		r.job.kind.recordOverrun(now - r.startedAt)
		r.job.kind.classify(s.longThreshold)
	}
}

// chargeOverruns charges the owners of long tasks for slot time beyond the charge so far, so
// that stragglers count against their owner while they run and not only at the end.
func (s *Scheduler) chargeOverruns(now clock.Millis) {
	for r := s.running[longLane].first; r != nil; r = r.next {
		if held := slotMillis(now - r.startedAt); held > r.charged {
			s.charge(r.job.account, held-r.charged)
			r.charged = held
		}
	}
}

// Tick runs the time-based updates: it reclassifies and charges running long tasks and ends
// pauses and ejections. Call it every 10 to 100 ms.
func (s *Scheduler) Tick(now clock.Millis) {
	s.moveOverruns(now, &s.running[shortLane])
	s.moveOverruns(now, &s.running[newLane])
	s.chargeOverruns(now)
	s.unblockExpired(now)
}
