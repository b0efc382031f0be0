package leader

import (
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// Guards against a resent job that is forwarded to another shard, which starts it at once, while
// an attempt of the first submission has not ended here.
func TestResentJobStaysUntilItsAttemptsHaveEnded(t *testing.T) {
	cases := map[string]struct {
		// otherTasks occupy capacity, so that the resent job has none now.
		otherTasks int
		stopsLost  bool
		takeover   bool
	}{
		"no capacity now":                        {otherTasks: 1},
		"stops lost, cannot start in time":       {stopsLost: true},
		"attempt of an earlier leader":           {otherTasks: 1, takeover: true},
		"attempt of an earlier leader, no stops": {stopsLost: true, takeover: true},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 16, 1)
			c.duration = func(job.TaskName) clock.Millis { return 1900 }
			c.addLeader(1, 256)
			c.advance(50)
			c.renewLeases(1, "a-1", 1, 2)
			c.deliver(1, Submitted{Submission: submission("a-1", 1, 1)})
			if tt.otherTasks > 0 {
				c.deliver(1, Submitted{Submission: submission("a-1", 2, tt.otherTasks)})
			}
			current := 1
			c.advance(1200)
			if tt.takeover {
				c.leaders[1].stopped = true
				current = 2
				c.addLeader(current, 257)
			}
			c.advance(100)
			c.fault = func(_ int, _ datacentre.EndpointID, a Action) delivery {
				_, ok := a.(Stop)
				return delivery{lost: ok && tt.stopsLost}
			}
			resent := submission("b-1", 1, 1)
			c.deliver(current, LoadReported{Load: shard.Load{Cell: "norte", TotalCPU: 384_000, FreeCPU: 384_000, At: c.now}})
			c.deliver(current, Submitted{Submission: resent})
			for range 400 {
				if _, forwarded := c.outcomes[resent.Key].(job.Redirected); forwarded {
					break
				}
				if c.now%50 == 0 {
					c.deliver(current, JobLeasesRenewed{Entry: "b-1", Sent: c.now, Waiting: []uint64{1}, LastSeq: 1})
					c.deliver(current, LoadReported{Load: shard.Load{Cell: "norte", TotalCPU: 384_000, FreeCPU: 384_000, At: c.now}})
				}
				c.advance(1)
			}
			_, forwarded := c.outcomes[resent.Key].(job.Redirected)
			if attempt := c.endpoints["e00"].attempts[TaskName(resent.Job.ID, 0, 0)]; forwarded && attempt != nil {
				t.Errorf("got the job forwarded while attempt %d runs for up to %d ms, want it kept until then", attempt.number, attempt.endsAt-c.now)
			}
		})
	}
}

// Guards against a submission that arrives after the one that replaces it, and ends that: the caller
// has sent the job again to the same VM.
func TestReplacedSubmissionEndsNoLaterOne(t *testing.T) {
	c := newCluster(t, 23, 2)
	c.duration = func(job.TaskName) clock.Millis { return 300 }
	c.addLeader(1, 256)
	c.advance(50)
	c.renewLeases(1, "a-1", 2)
	first := submission("a-1", 1, 1)
	first.Attempt = 1
	second := first
	second.Key.Seq, second.Attempt = 2, 2
	c.deliver(1, Submitted{Submission: second})
	c.advance(20)
	c.deliver(1, Submitted{Submission: first})
	c.advance(1000)
	if got, want := outcomeName(c.outcomes[second.Key]), "job.Completed"; got != want {
		t.Errorf("got %s for the submission that the caller waits for, want %s", got, want)
	}
}

// Guards against more tasks of a step at an endpoint than the step allows, when a leader has two parts of a
// divided job, or one part and attempts that an earlier leader has started for the other.
func TestPartsShareTheBoundOfTasksAtAnEndpoint(t *testing.T) {
	for name, takeover := range map[string]bool{"two parts": false, "a part and attempts of an earlier leader": true} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 31, 3)
			c.duration = func(job.TaskName) clock.Millis { return 400 }
			current := 1
			c.addLeader(current, 256)
			c.advance(50)
			c.renewLeases(current, "a-1", 1, 2)
			first := submission("a-1", 1, 1)
			first.Attempt, first.Part, first.Job.Steps[0].PerEndpoint = 1, true, 1
			second := submission("a-1", 2, 2)
			second.Job = first.Job
			second.Job.Steps = []job.Step{first.Job.Steps[0]}
			second.Job.Steps[0].Tasks = 2
			second.Attempt, second.Part, second.First = 1, true, 1
			c.deliver(current, Submitted{Submission: first})
			c.advance(20)
			if takeover {
				c.leaders[1].stopped = true
				current = 2
				c.addLeader(current, 257)
				c.advance(20)
			}
			c.renewLeases(current, "a-1", 1, 2)
			c.deliver(current, Submitted{Submission: second})
			c.advance(50)
			running := 0
			for id, e := range c.endpoints {
				running += len(e.attempts)
				if len(e.attempts) > 1 {
					t.Errorf("got %d tasks of the step at %s, want 1", len(e.attempts), id)
				}
			}
			if running != 3 {
				t.Errorf("got %d tasks running, want 3", running)
			}
		})
	}
}

// Guards against a job that ends another one of its ID from elsewhere, or runs tasks of the same names beside it.
func TestJobsOfOneIDFromTwoOrigins(t *testing.T) {
	c := newCluster(t, 29, 2)
	c.duration = func(job.TaskName) clock.Millis { return 300 }
	c.addLeader(1, 256)
	c.advance(50)
	c.renewLeases(1, "a-1", 1)
	c.renewLeases(1, "b-1", 1, 2)
	first, second := submission("a-1", 1, 1), submission("b-1", 1, 1)
	second.Job.ID, second.Job.Origin = first.Job.ID, "h/other/"
	c.deliver(1, Submitted{Submission: first})
	c.advance(20)
	c.deliver(1, Submitted{Submission: second})
	if got, ok := c.outcomes[second.Key].(job.Refused); !ok || got.Reason != job.IDInUse {
		t.Errorf("got %v, want a refusal", c.outcomes[second.Key])
	}
	c.advance(500)
	if got, want := outcomeName(c.outcomes[first.Key]), "job.Completed"; got != want {
		t.Errorf("got %s for the first job, want %s", got, want)
	}
	second.Key.Seq = 2
	c.deliver(1, Submitted{Submission: second})
	c.advance(500)
	if got, want := outcomeName(c.outcomes[second.Key]), "job.Completed"; got != want {
		t.Errorf("got %s once the first job has ended, want %s", got, want)
	}
}

// Guards against a job whose tasks are neither started nor refused once its queue has gone from the desired state.
func TestJobGoesOnWithoutItsQueue(t *testing.T) {
	c := newCluster(t, 37, 2)
	c.duration = func(job.TaskName) clock.Millis { return 100 }
	c.addLeader(1, 256)
	c.advance(50)
	c.renewLeases(1, "a-1", 1)
	s := submission("a-1", 1, 1)
	s.Job.Steps = append(s.Job.Steps, s.Job.Steps[0])
	s.Job.Steps[1].After = []int{0}
	c.deliver(1, Submitted{Submission: s})
	c.advance(20)
	c.deliver(1, DesiredState{State: queue.NewState(2, nil, testState().Services, queue.Limits{})})
	c.advance(400)
	if got, want := outcomeName(c.outcomes[s.Key]), "job.Completed"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
