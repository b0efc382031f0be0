package leader

import (
	"cmp"
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// minReliefDelay is how long requests have to wait in front of the link before a job is sent to a shard
// whose leader has a shorter queue. A job that is forwarded crosses three links more.
const minReliefDelay = clock.Millis(20)

// linkDelay is how long a request to an endpoint waits in front of the VM's link.
func (l *Leader) linkDelay() clock.Millis {
	if l.config.LinkDelay == nil {
		return 0
	}
	return l.config.LinkDelay()
}

// relieveLink decides on a job for which there is capacity, but whose starts have to wait in front of
// the VM's link: it goes to a shard whose leader has a shorter queue, or is refused if its starts would
// leave too late. Sending them anyway would make the jobs behind it late as well.
func (l *Leader) relieveLink(j *jobState) job.Outcome {
	delay := l.linkDelay()
	if delay < minReliefDelay {
		return nil
	}
	if j.Hops < maxForwardHops && !j.started {
		demand := int64(j.demand())
		loads := slices.DeleteFunc(l.loadsWithSpareCPU(), func(load shardLoad) bool {
			return load.spareCPU() < demand*capacityFactor || load.LinkDelay+minReliefDelay > delay
		})
		if len(loads) > 0 {
			best := slices.MinFunc(loads, func(a, b shardLoad) int {
				return cmp.Or(cmp.Compare(a.LinkDelay, b.LinkDelay), cmp.Compare(b.spareCPU(), a.spareCPU()), cmp.Compare(a.Cell, b.Cell))
			})
			best.FreeCPU -= demand
			best.LinkDelay += minReliefDelay / 2
			return job.Redirected{To: best.Cell}
		}
	}
	if l.now+delay > j.latestStart {
		return job.Refused{Reason: job.NoCapacityInTime, RetryAfter: retryAfter}
	}
	return nil
}
