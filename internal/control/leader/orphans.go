package leader

import (
	"slices"
	"strings"

	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// orphan is an attempt of an earlier leader that no job has adopted.
type orphan struct {
	endpoint *endpointState
	attempt  job.Attempt
	percent  int
	ended    bool
	end      endpoint.End
	foundAt  clock.Millis
	// stopSentAt is when the last stop was sent; from then on no job can adopt the attempt.
	stopSentAt clock.Millis
}

// orphans holds the orphans of each task, at most one per endpoint.
type orphans map[job.TaskName][]orphan

func (o orphans) get(name job.TaskName, ep *endpointState) (orphan, bool) {
	for _, a := range o[name] {
		if a.endpoint == ep {
			return a, true
		}
	}
	return orphan{}, false
}

func (o orphans) put(name job.TaskName, a orphan) {
	o.remove(name, a.endpoint)
	o[name] = append(o[name], a)
	if !a.ended {
		a.endpoint.activeOrphans++
	}
}

func (o orphans) remove(name job.TaskName, ep *endpointState) {
	if a, ok := o.get(name, ep); ok && !a.ended {
		ep.activeOrphans--
	}
	rest := slices.DeleteFunc(o[name], func(a orphan) bool { return a.endpoint == ep })
	o[name] = rest
	if len(rest) == 0 {
		delete(o, name)
	}
}

// anyActive reports whether an attempt of the task may still be running somewhere.
func (o orphans) anyActive(name job.TaskName) bool {
	return slices.ContainsFunc(o[name], func(a orphan) bool { return !a.ended })
}

// hasJob reports whether an attempt of a task of the job is known.
func (o orphans) hasJob(id job.ID) bool {
	for name := range o {
		if belongsTo(name, id) {
			return true
		}
	}
	return false
}

// countActive counts the attempts at an endpoint that may still be running, of tasks whose names begin with
// the prefix.
func (o orphans) countActive(prefix string, ep *endpointState) int {
	n := 0
	for name := range o {
		if a, ok := o.get(name, ep); ok && !a.ended && strings.HasPrefix(string(name), prefix) {
			n++
		}
	}
	return n
}

// adoptable returns the attempt that a job can adopt: one that is done, or else the latest that is
// active and has not been sent a stop.
func (o orphans) adoptable(name job.TaskName) (orphan, bool) {
	var best orphan
	found := false
	for _, a := range o[name] {
		switch {
		case a.ended && a.end == endpoint.EndDone:
			return a, true
		case a.ended, a.stopSentAt != 0:
		case !found || a.attempt > best.attempt:
			best, found = a, true
		}
	}
	return best, found
}

// lastAttempt is the highest attempt number that was found for a task.
func (o orphans) lastAttempt(name job.TaskName) job.Attempt {
	var last job.Attempt
	for _, a := range o[name] {
		last = max(last, a.attempt)
	}
	return last
}
