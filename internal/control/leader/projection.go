package leader

import (
	"cmp"
	"iter"
	"math"
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// freeing is room that a running task is expected to give back.
type freeing struct {
	at  clock.Millis
	cpu job.MilliCores
}

// projection is what a home expects of the room for a job, behind the jobs that come before it.
type projection struct {
	// wait is how long it takes until all tasks have room.
	wait clock.Millis
	// now and inTime are how many tasks have room now, and until they have to start.
	now, inTime int
}

// project looks ahead for a job. Room that is too small for another task is left out.
func (l *Leader) project(w *work) projection {
	need := w.demand()
	unit := w.tasks[0].stepOf().Demand
	for _, o := range l.queue {
		if o.turn <= w.turn {
			need += o.demand()
		}
	}
	for _, p := range l.ordered {
		if p.usable(l.now) {
			need -= unit.CPU * times(p.free, unit)
		}
	}
	placed := func() int {
		if unit.CPU <= 0 {
			return 0
		}
		return min(max(0, len(w.tasks)-int((need+unit.CPU-1)/unit.CPU)), len(w.tasks))
	}
	p := projection{now: placed()}
	p.inTime = p.now
	if need <= 0 {
		return p
	}
	for _, f := range l.freeings() {
		need -= f.cpu
		p.wait = f.at - l.now
		if f.at <= w.startBy {
			p.inTime = placed()
		}
		if need <= 0 {
			return p
		}
	}
	if p.wait == 0 {
		p.wait = clock.Minute
		return p
	}
	// All that runs now has to end and more: the rest takes its share of further rounds.
	p.wait = 2*p.wait + 1
	return p
}

// freeings lists the room that running tasks are expected to give back, in order of time.
func (l *Leader) freeings() []freeing {
	var all []freeing
	for f := range l.ending() {
		all = append(all, f)
	}
	slices.SortFunc(all, func(a, b freeing) int { return cmp.Compare(a.at, b.at) })
	return all
}

// ending lists the tasks at endpoints that can be given others, in no order.
func (l *Leader) ending() iter.Seq[freeing] {
	return func(yield func(freeing) bool) {
		for _, p := range l.ordered {
			if p.Draining || p.missing || p.unanswered > 0 {
				continue
			}
			for _, t := range p.tasks {
				if !yield(freeing{at: max(t.startedAt+t.expected, l.now+1), cpu: t.stepOf().Demand.CPU}) {
					return
				}
			}
		}
	}
}

// times is how many tasks of the demand fit into the room.
func times(room, demand job.Resources) job.MilliCores {
	n := math.MaxInt32
	if demand.CPU > 0 {
		n = min(n, int(max(room.CPU, 0)/demand.CPU))
	}
	if demand.Memory > 0 {
		n = min(n, int(max(room.Memory, 0)/demand.Memory))
	}
	if demand.Accelerators > 0 {
		n = min(n, int(max(room.Accelerators, 0)/demand.Accelerators))
	}
	if n == math.MaxInt32 {
		return 0
	}
	return job.MilliCores(n)
}
