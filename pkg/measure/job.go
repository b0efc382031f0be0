package measure

import (
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
)

// job is a submitted job and its outcome.
type job struct {
	ref     contract.JobRef
	owner   owner.ID
	profile *KindProfile
	vm      int
	arrived micros
	tasks   []*task
	ideal   micros
	// long marks jobs that are added to measure head-of-line blocking.
	long bool

	left    int
	refused bool
	failed  bool
	ended   micros
	// workInWindow is the work done for the job within the measurement window.
	workInWindow micros
}

func (j *job) work() micros {
	sum := micros(0)
	for _, t := range j.tasks {
		sum += t.base
	}
	return sum
}

func (j *job) deadline() micros {
	return j.arrived + toMicros(j.profile.Deadline)
}

func (j *job) complete() bool {
	return !j.refused && !j.failed && j.left == 0
}

func (j *job) inTime() bool {
	return j.complete() && j.ended <= j.deadline()
}

type task struct {
	job *job
	// base is the run time on an endpoint of median speed.
	base     micros
	endpoint *endpoint
	sender   *entryVM
	start    dispatch.Start
	began    micros
	started  bool
	black    bool
}
