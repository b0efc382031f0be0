package leader

import (
	"cmp"
	"iter"
	"math"
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// expectedRelease is the CPU that a running task is expected to free.
type expectedRelease struct {
	at  clock.Millis
	cpu job.MilliCores
}

// projection is the expected capacity for a job behind the jobs that are sorted before it.
type projection struct {
	// wait is how long it takes until there is capacity for all tasks.
	wait clock.Millis
	// tasksNow and tasksInTime are how many tasks have capacity now, and until their latest start.
	tasksNow, tasksInTime int
}

// project estimates the capacity for a job. Remainders that are too small for another task are not
// counted.
func (l *Leader) project(j *jobState) projection {
	need := j.demand()
	unit := j.tasks[0].stepSpec().Demand
	for _, o := range l.queue {
		if o.sortTime <= j.sortTime {
			need += o.demand()
		}
	}
	for _, ep := range l.sortedEndpoints {
		if ep.usable(l.now) {
			need -= unit.CPU * fitCount(ep.free, unit)
		}
	}
	placed := func() int {
		if unit.CPU <= 0 {
			return 0
		}
		return min(max(0, len(j.tasks)-int((need+unit.CPU-1)/unit.CPU)), len(j.tasks))
	}
	p := projection{tasksNow: placed()}
	p.tasksInTime = p.tasksNow
	if need <= 0 {
		return p
	}
	for _, f := range l.sortedReleases() {
		need -= f.cpu
		p.wait = f.at - l.now
		if f.at <= j.latestStart {
			p.tasksInTime = placed()
		}
		if need <= 0 {
			return p
		}
	}
	if p.wait == 0 {
		p.wait = clock.Minute
		return p
	}
	// The demand exceeds all running tasks together, so the rest has to wait for further rounds.
	p.wait = 2*p.wait + 1
	return p
}

// sortedReleases lists the expected releases in order of time.
func (l *Leader) sortedReleases() []expectedRelease {
	var all []expectedRelease
	for f := range l.expectedReleases() {
		all = append(all, f)
	}
	slices.SortFunc(all, func(a, b expectedRelease) int { return cmp.Compare(a.at, b.at) })
	return all
}

// expectedReleases yields the releases at endpoints that can take other tasks, in no order.
func (l *Leader) expectedReleases() iter.Seq[expectedRelease] {
	return func(yield func(expectedRelease) bool) {
		for _, ep := range l.sortedEndpoints {
			if ep.Draining || ep.unlisted || ep.unansweredHolds > 0 {
				continue
			}
			for _, t := range ep.tasks {
				if !yield(expectedRelease{at: max(t.startedAt+t.expectedDuration, l.now+1), cpu: t.stepSpec().Demand.CPU}) {
					return
				}
			}
		}
	}
}

// fitCount is how many tasks of the demand fit the resources.
func fitCount(room, demand job.Resources) job.MilliCores {
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
