package measure

import (
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
)

// job is a submitted job and its outcome.
type job struct {
	ref           contract.JobRef
	owner         owner.ID
	profile       *KindProfile
	vm            int
	arrivedAt     micros
	tasks         []*task
	idealResponse micros
	// long marks jobs of the long kinds, which measure head-of-line blocking.
	long bool

	unfinished int
	refused    bool
	failed     bool
	endedAt    micros
	// workInWindow is the work done for the job within the measurement window.
	workInWindow micros
}

// work returns the sum of the tasks' run times at median speed.
func (j *job) work() micros {
	sum := micros(0)
	for _, t := range j.tasks {
		sum += t.runTime
	}
	return sum
}

func (j *job) deadline() micros {
	return j.arrivedAt + microsOf(j.profile.Deadline)
}

func (j *job) complete() bool {
	return !j.refused && !j.failed && j.unfinished == 0
}

func (j *job) metDeadline() bool {
	return j.complete() && j.endedAt <= j.deadline()
}

type task struct {
	job *job
	// runTime is the run time on an endpoint of median speed.
	runTime   micros
	endpoint  *endpoint
	sender    *entryVM
	start     dispatch.Start
	startedAt micros
	started   bool
	blackHole bool
}
