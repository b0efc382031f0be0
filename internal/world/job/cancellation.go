package job

import "github.com/sequoiacart/sequoiacart/internal/world/queue"

// Cancellation names a job that its caller has cancelled. A job of the same ID in another queue is another job.
type Cancellation struct {
	Job   ID
	Queue queue.Name
}

// Covers reports whether the cancellation is of this job.
func (c Cancellation) Covers(j *Job) bool { return j.ID == c.Job && j.Queue == c.Queue }
