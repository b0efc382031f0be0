package leader

import (
	"fmt"
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// Guards against a job that takes every descriptor of its VM for starts, or for stops once its caller has left, and
// against starts and stops that are forgotten while others have no answer.
func TestCallsToEndpointsAreBounded(t *testing.T) {
	const tasks, limit = 40, 3
	for _, tt := range []struct {
		name string
		lost float64
	}{{"answered", 0}, {"a third of the answers lost", 0.33}} {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, 41, tasks/2)
			c.bounds = Bounds{Calls: limit}
			l := c.addLeader(1, 256).leader
			c.duration = func(job.TaskName) clock.Millis { return clock.Minute }
			c.fault = func(_ int, _ datacentre.EndpointID, a Action) delivery {
				if got := max(l.starts.open, l.stops.open); got > limit {
					t.Fatalf("got %d calls without an answer, want %d at most", got, limit)
				}
				_, isHold := a.(Hold)
				return delivery{answerLost: !isHold && c.random.Float64() < tt.lost}
			}
			c.advance(200)
			c.renewLeases(1, "a-1", 1)
			s := submission("a-1", 1, tasks)
			s.Job.Steps[0].Estimate = clock.Second
			c.deliver(1, Submitted{Submission: s})
			c.advance(2 * clock.Second)
			if got := len(l.activeTasks); got != tasks {
				t.Errorf("got %d tasks at work, want %d", got, tasks)
			}
			c.deliver(1, Cancelled{Cancellation: job.Cancellation{Job: s.Job.ID, Origin: s.Job.Origin}})
			c.advance(2 * clock.Second)
			if got := len(l.activeTasks); got != 0 {
				t.Errorf("got %d tasks at work after the job was cancelled, want none", got)
			}
			if c.maxConcurrentAttempts > 1 {
				t.Errorf("got %d attempts of a task at a time, want 1", c.maxConcurrentAttempts)
			}
		})
	}
}

// Guards against a take-over that stops thousands of attempts of jobs that no caller waits for at once.
func TestStopsOfOrphansAreBounded(t *testing.T) {
	const tasks, limit = 40, 3
	c := newCluster(t, 42, tasks/2)
	c.duration = func(job.TaskName) clock.Millis { return clock.Minute }
	c.addLeader(1, 256)
	c.advance(200)
	s := submission("a-1", 1, tasks)
	s.Job.Steps[0].Estimate = clock.Second
	c.deliver(1, Submitted{Submission: s})
	c.advance(100)
	c.leaders[1].stopped = true
	c.bounds = Bounds{Calls: limit}
	l := c.addLeader(2, 257).leader
	c.fault = func(_ int, _ datacentre.EndpointID, _ Action) delivery {
		if got := l.stops.open; got > limit {
			t.Fatalf("got %d stops without an answer, want %d at most", got, limit)
		}
		return delivery{}
	}
	c.advance(3 * clock.Second)
	if got := len(l.orphans); got != 0 {
		t.Errorf("got %d attempts of the earlier leader left, want none", got)
	}
}

// Guards against endpoints that get thousands of tasks which need next to nothing.
func TestTasksAtAnEndpointAreBounded(t *testing.T) {
	const limit, tasks = 4, 20
	for _, cpu := range []job.MilliCores{0, 1} {
		t.Run(fmt.Sprintf("%d mCPU", cpu), func(t *testing.T) {
			c := newCluster(t, 43, 3)
			c.bounds = Bounds{TasksPerEndpoint: limit}
			for _, e := range c.sortedEndpoints {
				e.Capacity.CPU = 100 * taskCPU
			}
			l := c.addLeader(1, 256).leader
			c.advance(200)
			c.renewLeases(1, "a-1", 1, 2)
			for seq := uint64(1); seq <= 2; seq++ {
				s := submission("a-1", seq, tasks)
				s.Job.Steps[0].Demand, s.Part, s.Limit = job.Resources{CPU: cpu}, true, clock.Minute
				c.deliver(1, Submitted{Submission: s})
			}
			for range 1000 {
				c.advance(1)
				for _, e := range c.sortedEndpoints {
					if got := len(e.attempts); got > limit {
						t.Fatalf("got %d tasks at an endpoint, want %d at most", got, limit)
					}
				}
			}
			if got, want := c.outcome(1)+" "+c.outcome(2), "job.Completed job.Completed"; got != want {
				t.Errorf("got %s, want %s", got, want)
			}
			// An endpoint is reported again once half of its slots have been free.
			if got, least, most := c.decisions[EndpointFull], len(l.sortedEndpoints), 2*tasks/(limit/2); got < least || got > most {
				t.Errorf("got %d reports of full endpoints, want %d to %d", got, least, most)
			}
			for _, ep := range l.sortedEndpoints {
				if got := ep.free.Slots; got != limit {
					t.Errorf("got %d free slots after the jobs, want %d", got, limit)
				}
			}
		})
	}
}

// Guards against jobs whose waiting tasks take the memory of the leader's VM, against memory that is never given back,
// and against a refusal of a job that may have run.
func TestJobsWithoutMemory(t *testing.T) {
	c := newCluster(t, 44, 2)
	budget := job.NewMemoryBudget(25 << 20)
	c.bounds = Bounds{Memory: budget}
	l := c.addLeader(1, 256).leader
	c.advance(200)
	c.duration = func(job.TaskName) clock.Millis { return 20 }
	c.renewLeases(1, "a-1", 1, 2, 3, 4, 5)
	submit := func(seq uint64, tasks int, change func(*job.Submission)) string {
		s := submission("a-1", seq, tasks)
		// Tasks of the second step wait for the first one.
		s.Job.Steps = append(s.Job.Steps, job.Step{Tasks: tasks, Estimate: 50, After: []int{0}})
		s.Job.Steps[0].Tasks = 1
		change(&s)
		c.deliver(1, Submitted{Submission: s})
		return c.outcome(seq)
	}
	isPart := func(s *job.Submission) { s.Part = true }
	for _, tt := range []struct {
		name   string
		seq    uint64
		tasks  int
		change func(*job.Submission)
		want   string
	}{
		{"the first one", 1, 9000, isPart, "<nil>"},
		{"another one with room", 2, 8000, isPart, "<nil>"},
		{"one without room", 3, 9000, func(*job.Submission) {}, "refused tooManyJobs"},
		{"one without room that may have run", 4, 9000, func(s *job.Submission) { s.Adopt = true }, "stopped tooManyJobs"},
		{"a small one", 5, 1, func(*job.Submission) {}, "<nil>"},
	} {
		if got := submit(tt.seq, tt.tasks, tt.change); got != tt.want {
			t.Errorf("%s: got %s, want %s", tt.name, got, tt.want)
		}
	}
	if refusals := loggedDetails[*Refusal](c); len(refusals) != 2 || refusals[0].Cause != RefusedWithoutMemory {
		t.Errorf("got refusals %+v, want two without memory", refusals)
	}
	for _, seq := range []uint64{1, 2} {
		id := submission("a-1", seq, 1).Job.ID
		c.deliver(1, Cancelled{Cancellation: job.Cancellation{Job: id}})
	}
	c.advance(clock.Second)
	if got := budget.Taken(); got != 0 {
		t.Errorf("got %d bytes taken after the jobs, want 0", got)
	}
	submit(6, 9000, isPart)
	l.StepDown(c.now)
	if got := budget.Taken(); got != 0 {
		t.Errorf("got %d bytes taken after the leadership, want 0", got)
	}
}
