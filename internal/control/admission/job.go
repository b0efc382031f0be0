// Package admission decides which jobs a shard serves when there is not enough capacity for all: in
// which order they start, which of those that wait give way to others, and which are refused. It does
// no I/O. What it weighs is what a delay or a refusal costs the callers for the capacity that it frees.
package admission

import (
	"github.com/sequoiacart/sequoiacart/internal/control/forecast"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// Job is a job that waits for capacity, as far as the decision depends on it.
type Job struct {
	Queue queue.Name
	// From is the data centre of the caller.
	From datacentre.ID
	// Priority 0 comes first.
	Priority int
	// Tasks are those that have not started.
	Tasks forecast.Tasks
	// Work is that of the whole job, and Left that of the tasks that have not started.
	Work, Left job.CoreMillis
	// Started means that tasks have started, so that the job cannot be refused any more.
	Started bool

	size, demand sizeBand
	// accepted means that the job had a place when it arrived, and waits.
	accepted bool
	rank     float64
	// arrivalRank is the rank that it had then.
	arrivalRank float64
	// startOrder is by when the job is to start; that of the smallest one starts first.
	startOrder clock.Millis
	// place is when its tasks are expected to start by the latest plan.
	place forecast.Placement
}

// Expected is when the last of its tasks is expected to start, by the latest plan.
func (j *Job) Expected() forecast.Instant { return j.place.Last }

// StartOrder is the point in time that orders the starts: the latest start of the job, earlier the more
// its refusal would cost. Jobs that fit are best started in the order of their latest starts; the rest of
// the order keeps those that matter most from being late when the forecast is wrong.
func (j *Job) StartOrder() clock.Millis { return j.startOrder }

// LatestStart is when its tasks have to start at endpoints of a speed, to end in time if the estimates are
// right.
func (j *Job) LatestStart(speed float64) clock.Millis {
	return j.Tasks.Objective.LatestStart(speed, forecast.Possible)
}

// Decision is what becomes of a job that arrives. It is one of the types of this file.
type Decision interface{ decision() }

// Start means that all tasks can start at once.
type Start struct{}

// Wait means that all tasks can start in time. Displaced are jobs that waited and cannot any more.
type Wait struct {
	// Now is how many of the tasks can start at once.
	Now       int
	Displaced []*Job
}

// Refuse means that the tasks cannot all start in time here.
type Refuse struct {
	// Now and InTime are how many of them could start at once, and in time.
	Now, InTime int
	// Backlog is the work of the jobs that come first.
	Backlog job.CoreMillis
}

func (Start) decision()  {}
func (Wait) decision()   {}
func (Refuse) decision() {}

// MinSpeed is the lowest speed of an endpoint at which tasks of the job may start now. A job that has
// started and is late goes on anywhere, since what has been spent on it would be lost.
func (j *Job) MinSpeed(now clock.Millis) float64 {
	if j.Tasks.Late {
		return 0
	}
	return j.Tasks.Objective.MinSpeed(now, j.Tasks.Margin)
}
