// Package job describes best-effort jobs, their steps and tasks, and how jobs end.
package job

import (
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// ID is the name that the caller chose for a job. A caller sends a job again under the
// same ID.
type ID string

// String returns the ID as the caller sent it.
func (i ID) String() string { return string(i) }

// Index numbers the tasks of a job across all its steps.
type Index int

// TaskName names a task, at any leader and endpoint.
type TaskName string

// String returns the name as it is sent to the endpoint.
func (n TaskName) String() string { return string(n) }

// Attempt numbers the attempts of a task, from 1.
type Attempt int64

// Payload is what the caller hands to the tasks. The dispatcher does not read it.
type Payload string

// Step is a set of tasks of one kind.
type Step struct {
	Tasks    int
	Demand   Resources
	Estimate clock.Millis
	// After lists the steps whose tasks must all be done before this one starts.
	After []int
	// Rack is where the data of the step is; the tasks are slower in other racks.
	Rack datacentre.RackID
	// Requires is a label that the endpoint must have.
	Requires string
	// PerEndpoint bounds the tasks of the step on one endpoint; 0 means no bound.
	PerEndpoint int
}

// Job is what a caller submits.
type Job struct {
	ID ID
	// Origin is where the caller sent the job, and Queue the queue that accepted it there.
	Origin  Origin
	Queue   queue.Name
	Payload Payload
	Steps   []Step
	// Trace is the span that the job belongs to, or empty.
	Trace contract.TraceParent
}

// Tasks counts the tasks of all steps.
func (j *Job) Tasks() int {
	n := 0
	for _, s := range j.Steps {
		n += s.Tasks
	}
	return n
}

// CriticalPath returns the duration of the longest chain of dependent steps, with the given
// duration of each step.
func (j *Job) CriticalPath(takes func(*Step) clock.Millis) clock.Millis {
	ends := make([]clock.Millis, len(j.Steps))
	var longest clock.Millis
	for i := range j.Steps {
		for _, before := range j.Steps[i].After {
			ends[i] = max(ends[i], ends[before])
		}
		ends[i] += takes(&j.Steps[i])
		longest = max(longest, ends[i])
	}
	return longest
}

// Key identifies a job, or a part of one, that an entry VM submits. A leader that has answered a
// key starts nothing when the same message arrives again.
type Key struct {
	Entry vm.Incarnation
	Seq   uint64
}

// Submission is a job with its time limits. They are durations rather than points in time, since
// VMs do not share a clock.
type Submission struct {
	Key Key
	// Attempt is the Seq of the first submission of the job by its entry VM. Parts of a
	// divided job and later submissions of the same caller's request share it. It is no number of
	// an attempt of a task; the field name is sent.
	Attempt uint64
	// From is the data centre of the caller's VM, or empty if the sender does not say.
	From datacentre.ID
	Job  Job
	// First is the index of the first task of a part; the job's only step then has the
	// tasks of the part alone.
	First int
	// Part says that other parts of the job may be running elsewhere, so that this one must
	// not be divided, forwarded or refused for lack of capacity.
	Part bool
	// Waited is how long the caller has been waiting already.
	Waited clock.Millis
	// Limit is how long the caller waits in all.
	Limit clock.Millis
	// Hops counts how often the job has been sent on to another shard: forwarded by a leader, or by
	// the gateway after a refusal that does not depend on capacity.
	Hops int
	// Adopt says that another leader may have started tasks of the key.
	Adopt bool
	// Earlier is the only VM that may have started tasks of the key as a leader, or empty if several
	// may have.
	Earlier vm.Incarnation
	// EarlierListAge is how long ago each endpoint was in the store's list at the earliest at which a VM
	// may have started tasks of the key as a leader, or 0 if that is unknown.
	EarlierListAge clock.Millis
	// Expires is the time, by the leader's clock, after which the leader must not accept
	// the submission: the message was delayed.
	Expires clock.Millis
}
