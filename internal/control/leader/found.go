package leader

import (
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// foundRun is a run of an earlier home that no job has claimed.
type foundRun struct {
	place   *place
	run     job.Attempt
	percent int
	ended   bool
	how     endpoint.End
	at      clock.Millis
	// stoppedAt is when the run was last told to stop; from then on no job can claim it.
	stoppedAt clock.Millis
}

// foundRuns are those of each task, one for each endpoint at most.
type foundRuns map[job.TaskName][]foundRun

func (f foundRuns) at(name job.TaskName, p *place) (foundRun, bool) {
	for _, r := range f[name] {
		if r.place == p {
			return r, true
		}
	}
	return foundRun{}, false
}

func (f foundRuns) put(name job.TaskName, r foundRun) {
	f.forget(name, r.place)
	f[name] = append(f[name], r)
}

func (f foundRuns) forget(name job.TaskName, p *place) {
	rest := slices.DeleteFunc(f[name], func(r foundRun) bool { return r.place == p })
	f[name] = rest
	if len(rest) == 0 {
		delete(f, name)
	}
}

// active reports whether a run of the task may still be present somewhere.
func (f foundRuns) active(name job.TaskName) bool {
	return slices.ContainsFunc(f[name], func(r foundRun) bool { return !r.ended })
}

// claim returns the run that a job can take over: one that is done, or else the latest that
// is present and has not been told to stop.
func (f foundRuns) claim(name job.TaskName) (foundRun, bool) {
	var best foundRun
	found := false
	for _, r := range f[name] {
		switch {
		case r.ended && r.how == endpoint.EndDone:
			return r, true
		case r.ended, r.stoppedAt != 0:
		case !found || r.run > best.run:
			best, found = r, true
		}
	}
	return best, found
}

// lastRun is the highest run number that was found for a task.
func (f foundRuns) lastRun(name job.TaskName) job.Attempt {
	var last job.Attempt
	for _, r := range f[name] {
		last = max(last, r.run)
	}
	return last
}
