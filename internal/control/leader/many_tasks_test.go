package leader

import (
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// manyTasks is a job of as many tasks as there may be, each of which needs the given processor capacity.
func manyTasks(seq uint64, cpu job.MilliCores) job.Submission {
	s := submission("a-1", seq, job.MaxTasks)
	s.Job.Steps[0].Demand = job.Resources{CPU: cpu}
	return s
}

// Guards against crowds of jobs that are refused and cost as much as if they were served: 10,000 tasks fit a body of
// 150 bytes.
func TestRefusedJobOfManyTasksTakesLittle(t *testing.T) {
	c := newCluster(t, 31, 2)
	l := c.addLeader(1, 256).leader
	c.advance(200)
	seq := uint64(0)
	allocations := testing.AllocsPerRun(20, func() {
		seq++
		c.deliver(1, Submitted{Submission: manyTasks(seq, taskCPU)})
	})
	if got, want := c.outcome(seq), "refused noRoomInTime"; got != want {
		t.Fatalf("got %s, want %s", got, want)
	}
	if want := 1000.0; allocations > want {
		t.Errorf("got %.0f allocations for a job that is refused, want %.0f at most", allocations, want)
	}
	if got := len(l.jobs); got != 0 {
		t.Errorf("got %d jobs left, want none", got)
	}
}

// Guards against tasks that are forgotten when only a part of a job's tasks is looked at: those that wait for
// capacity, for another step, or have lost their endpoint.
func TestJobOfManyTasksEnds(t *testing.T) {
	c := newCluster(t, 32, 3)
	c.addLeader(1, 256)
	c.advance(200)
	c.duration = func(job.TaskName) clock.Millis { return 5 }
	s := manyTasks(1, 100)
	s.Job.Steps[0].Tasks = 1000
	s.Job.Steps = append(s.Job.Steps, job.Step{Tasks: 500, Demand: job.Resources{CPU: 400}, Estimate: 5, After: []int{0}})
	s.Part, s.Limit = true, clock.Minute
	c.renewLeases(1, "a-1", 1)
	c.deliver(1, Submitted{Submission: s})
	c.advance(3)
	c.crashFor(c.endpoints["e01"], 500)
	c.advance(20 * clock.Second)
	if got, want := c.outcome(1), "job.Completed"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if got := c.maxConcurrentAttempts; got > 1 {
		t.Errorf("got %d attempts of a task at a time, want 1", got)
	}
}

// BenchmarkEventBesideManyTasks measures the cost of one event while tasks of a large job wait.
func BenchmarkEventBesideManyTasks(b *testing.B) {
	c := newCluster(b, 33, 6)
	c.addLeader(1, 256)
	c.advance(200)
	c.duration = func(job.TaskName) clock.Millis { return clock.Minute }
	c.renewLeases(1, "a-1", 1, 2, 3)
	for seq := uint64(1); seq <= 3; seq++ {
		s := manyTasks(seq, taskCPU)
		s.Part, s.Limit = true, clock.Hour
		c.deliver(1, Submitted{Submission: s})
	}
	c.advance(100)
	events, handling := c.events, c.handlingTime
	for b.Loop() {
		c.advance(10)
	}
	b.ReportMetric(float64((c.handlingTime-handling).Microseconds())/float64(c.events-events), "µs/event")
}
