package node

import (
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// stage is how far the process of a VM has come. It is one of the types below.
type stage interface{ stage() }

// serving means that the VM takes jobs and may lead shards.
type serving struct{}

// leaving means that the VM hands over its shards since then, and that its process ends. What has no answer at
// finishBy is given up.
type leaving struct{ since, finishBy clock.Millis }

// overdue means that the VM has given up all that it had. It takes nothing any more.
type overdue struct{}

func (serving) stage() {}
func (leaving) stage() {}
func (overdue) stage() {}

// longestObjectives is how many times its objective a job is expected to take at most. It is admitted only if it meets
// its objective by its estimate, which its work exceeds by up to 40 %.
const longestObjectives = 2

// isLeaving reports whether the process of this VM is going to end, so that it takes over no shard.
func (n *Control) isLeaving() bool {
	_, isServing := n.stage.(serving)
	return !isServing
}

// takes reports whether this VM takes a job that may last for limit: it must not be given up by the end of
// the process.
func (n *Control) takes(j *job.Job, limit clock.Millis) bool {
	switch s := n.stage.(type) {
	case leaving:
		return n.now+min(limit, n.longestTime(j)) <= s.finishBy
	case overdue:
		return false
	case serving:
	}
	return true
}

// draining is the outcome of a job that this VM does not take. One that is sent again may be running for its earlier
// request.
func (n *Control) draining(j *job.Job) job.Outcome {
	if n.gateway.Has(j.ID) {
		return job.Stopped{Reason: job.Draining}
	}
	return job.Refused{Reason: job.Draining, RetryAfter: clock.Second}
}

// longestTime is how long a job is expected to take at most. A job of an unknown queue is refused anyway.
func (n *Control) longestTime(j *job.Job) clock.Millis {
	q := n.desired.Queue(j.Queue)
	if q == nil {
		return 0
	}
	return longestObjectives * q.Objective(j.CriticalPath(func(s *job.Step) clock.Millis { return s.Estimate }))
}

// beginShutdown starts to hand every shard of this VM to a successor.
func (n *Control) beginShutdown(finishBy clock.Millis) {
	n.stage = leaving{since: n.now, finishBy: finishBy}
	for _, id := range n.shards {
		if n.ledShards[id] != nil {
			n.yield(id)
		}
	}
}

// endShutdown gives up all that this VM has. Each caller gets an answer.
func (n *Control) endShutdown() {
	n.stage = overdue{}
	n.gateway.EndAll(job.Draining, n.now)
	for _, c := range n.cancelOrder {
		n.endWaiters(c, CancelUnconfirmed{Reason: job.Draining})
	}
	for _, id := range n.shards {
		n.stepDown(id)
	}
}
