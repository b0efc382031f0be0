package job

import (
	"strings"

	"github.com/juju/errors"
)

// Origin is where callers send a job: the host and the part of the path before its ID. With the ID it names the
// job, whatever queue the path belongs to by now.
type Origin string

// NewOrigin returns the origin of jobs that are sent to a host, which may have a port, and a path prefix.
func NewOrigin(host, prefix string) Origin {
	if h, _, ok := strings.Cut(host, ":"); ok {
		host = h
	}
	return Origin(strings.ToLower(host) + prefix)
}

// Cancellation names a job that its caller has cancelled. A job of the same ID and another origin is another job.
type Cancellation struct {
	Job    ID
	Origin Origin
}

// Covers reports whether the cancellation is of this job.
func (c Cancellation) Covers(j *Job) bool { return c == Cancellation{Job: j.ID, Origin: j.Origin} }

// maxIDBytes and maxOriginBytes bound the names in a cancellation, which is kept for a while.
const (
	maxIDBytes     = 64
	maxOriginBytes = 512
)

// Validate returns an error for a cancellation whose names are too long.
func (c Cancellation) Validate() error {
	if c.Job == "" || len(c.Job) > maxIDBytes || len(c.Origin) > maxOriginBytes {
		return errors.NotValidf("cancellation with an ID of %d bytes and an origin of %d bytes", len(c.Job), len(c.Origin))
	}
	return nil
}
