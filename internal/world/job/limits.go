package job

import (
	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/internal/world/link"
)

// Limits bound a single job beside MaxTasks.
type Limits struct {
	Payload link.Bytes
	// Steps bounds the steps, and Dependencies what all of them come after.
	Steps, Dependencies int
}

// ErrOverLimit means that a job is beyond the limits.
var ErrOverLimit = errors.New("job over a limit")

// CheckSteps returns an error for a job of too many steps.
func (l Limits) CheckSteps(steps int) error {
	if steps > l.Steps {
		return errors.Annotatef(ErrOverLimit, "more than %d steps", l.Steps)
	}
	return nil
}

// Check returns an error for a job that is beyond the limits.
func (l Limits) Check(j *Job) error {
	if err := l.CheckSteps(len(j.Steps)); err != nil {
		return err
	}
	if len(j.Payload) > int(l.Payload) {
		return errors.Annotatef(ErrOverLimit, "a payload of more than %d bytes", l.Payload)
	}
	dependencies := 0
	for i := range j.Steps {
		dependencies += len(j.Steps[i].After)
	}
	if dependencies > l.Dependencies {
		return errors.Annotatef(ErrOverLimit, "more than %d steps that steps come after", l.Dependencies)
	}
	return nil
}
