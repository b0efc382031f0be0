package leader

import (
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// orphan is an attempt of an earlier leader that no job has claimed.
type orphan struct {
	endpoint *endpointState
	attempt  job.Attempt
	percent  int
	ended    bool
	end      endpoint.End
	foundAt  clock.Millis
	// stopSentAt is when the last stop was sent; from then on no job can claim the attempt.
	stopSentAt clock.Millis
}

// orphans holds the orphans of each task, at most one per endpoint.
type orphans map[job.TaskName][]orphan

func (f orphans) get(name job.TaskName, ep *endpointState) (orphan, bool) {
	for _, r := range f[name] {
		if r.endpoint == ep {
			return r, true
		}
	}
	return orphan{}, false
}

func (f orphans) put(name job.TaskName, r orphan) {
	f.remove(name, r.endpoint)
	f[name] = append(f[name], r)
}

func (f orphans) remove(name job.TaskName, ep *endpointState) {
	rest := slices.DeleteFunc(f[name], func(r orphan) bool { return r.endpoint == ep })
	f[name] = rest
	if len(rest) == 0 {
		delete(f, name)
	}
}

// anyActive reports whether an attempt of the task may still be running somewhere.
func (f orphans) anyActive(name job.TaskName) bool {
	return slices.ContainsFunc(f[name], func(r orphan) bool { return !r.ended })
}

// adoptable returns the attempt that a job can adopt: one that is done, or else the latest that is
// active and has not been sent a stop.
func (f orphans) adoptable(name job.TaskName) (orphan, bool) {
	var best orphan
	found := false
	for _, r := range f[name] {
		switch {
		case r.ended && r.end == endpoint.EndDone:
			return r, true
		case r.ended, r.stopSentAt != 0:
		case !found || r.attempt > best.attempt:
			best, found = r, true
		}
	}
	return best, found
}

// lastAttempt is the highest attempt number that was found for a task.
func (f orphans) lastAttempt(name job.TaskName) job.Attempt {
	var last job.Attempt
	for _, r := range f[name] {
		last = max(last, r.attempt)
	}
	return last
}
