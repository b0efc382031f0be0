package submit

import "github.com/sequoiacart/sequoiacart/pkg/clock"

// Job is a job to send.
type Job struct {
	Kind     string
	Class    string
	Deadline clock.Millis
	Payloads []string
	// IdealResponse is the longest run time of the job's tasks, where it is known.
	IdealResponse clock.Millis
}
