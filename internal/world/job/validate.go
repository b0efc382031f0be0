package job

import (
	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

const (
	// MaxTasks bounds the tasks of a job, since a leader keeps the state of each in memory.
	MaxTasks = 10_000
	// maxAmount bounds demands and durations, so that sums of them do not overflow.
	maxAmount = 1 << 40
)

// Validate returns an error for a submission that a leader cannot handle. Those of this program are
// valid; a message of another version may not be.
func (s *Submission) Validate() error {
	if s.Key.Entry == "" || s.Job.ID == "" || len(s.Job.Steps) == 0 {
		return errors.NotValidf("submission %v of job %q with %d steps", s.Key, s.Job.ID, len(s.Job.Steps))
	}
	if s.First < 0 || s.First > MaxTasks || s.Hops < 0 || !inBounds(s.Waited) || !inBounds(s.Limit) || !inBounds(s.EarlierListAge) {
		return errors.NotValidf("submission of job %s: first task %d, hops %d, waited %d of %d ms, list of %d ms ago", s.Job.ID, s.First, s.Hops, s.Waited, s.Limit, s.EarlierListAge)
	}
	tasks := 0
	for i, step := range s.Job.Steps {
		if step.Tasks <= 0 || step.Tasks > MaxTasks-tasks {
			return errors.NotValidf("submission of job %s: step %d with %d tasks", s.Job.ID, i, step.Tasks)
		}
		tasks += step.Tasks
		d := step.Demand
		if !inBounds(step.Estimate) || !inBounds(clock.Millis(d.CPU)) || !inBounds(clock.Millis(d.Memory)) || !inBounds(clock.Millis(d.Accelerators)) || step.PerEndpoint < 0 {
			return errors.NotValidf("submission of job %s: step %d with demand %+v, estimate %d ms, %d tasks for an endpoint", s.Job.ID, i, d, step.Estimate, step.PerEndpoint)
		}
		for _, before := range step.After {
			if before < 0 || before >= i {
				return errors.NotValidf("submission of job %s: step %d after step %d", s.Job.ID, i, before)
			}
		}
	}
	return nil
}

func inBounds(n clock.Millis) bool { return n >= 0 && n <= maxAmount }
