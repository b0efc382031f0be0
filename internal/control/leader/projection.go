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
	shortfall := j.demand()
	taskDemand := j.tasks[0].stepSpec().Demand
	for _, other := range l.queue {
		if other.sortTime <= j.sortTime {
			shortfall += other.demand()
		}
	}
	for _, ep := range l.sortedEndpoints {
		if ep.usable(l.now) {
			shortfall -= taskDemand.CPU * ep.tasksThatFit(taskDemand, l.now)
		}
	}
	placeable := func() int {
		if taskDemand.CPU <= 0 {
			return 0
		}
		return min(max(0, len(j.tasks)-int((shortfall+taskDemand.CPU-1)/taskDemand.CPU)), len(j.tasks))
	}
	p := projection{tasksNow: placeable()}
	p.tasksInTime = p.tasksNow
	if shortfall <= 0 {
		return p
	}
	shortfall += l.overcommittedCPU()
	for _, r := range l.sortedReleases() {
		shortfall -= r.cpu
		p.wait = r.at - l.now
		if r.at <= j.latestStart {
			p.tasksInTime = max(p.tasksNow, placeable())
		}
		if shortfall <= 0 {
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
	for r := range l.expectedReleases() {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b expectedRelease) int { return cmp.Compare(a.at, b.at) })
	return all
}

// expectedReleases yields the releases at endpoints that can take other tasks, in no order.
func (l *Leader) expectedReleases() iter.Seq[expectedRelease] {
	return func(yield func(expectedRelease) bool) {
		for _, ep := range l.sortedEndpoints {
			if !ep.releases() {
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

// releases reports whether other tasks can use what is released here.
func (ep *endpointState) releases() bool {
	return !ep.Draining && !ep.unlisted && ep.unansweredHolds == 0
}

// overcommittedCPU is how much of the expected releases no other task can use, since the capacity of
// its endpoint has shrunk below what runs there.
func (l *Leader) overcommittedCPU() job.MilliCores {
	var sum job.MilliCores
	for _, ep := range l.sortedEndpoints {
		if ep.releases() {
			sum += max(-ep.free.CPU, 0)
		}
	}
	return sum
}

// fitCount is how many tasks of the demand fit the resources.
func fitCount(free, demand job.Resources) job.MilliCores {
	n := math.MaxInt32
	if demand.CPU > 0 {
		n = min(n, int(max(free.CPU, 0)/demand.CPU))
	}
	if demand.Memory > 0 {
		n = min(n, int(max(free.Memory, 0)/demand.Memory))
	}
	if demand.Accelerators > 0 {
		n = min(n, int(max(free.Accelerators, 0)/demand.Accelerators))
	}
	if n == math.MaxInt32 {
		return 0
	}
	return job.MilliCores(n)
}
