package submit

import "github.com/sequoiacart/sequoiacart/pkg/clock"

// Job is a job to submit.
type Job struct {
	Kind     string
	Class    string
	Deadline clock.Millis
	Payloads []string
	// IdealResponse is the longest run time of the job's tasks, or 0 if it isn't known.
	IdealResponse clock.Millis
}
