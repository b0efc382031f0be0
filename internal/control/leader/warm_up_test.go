package leader

import (
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// Guards against a warm-up that never ends since each read of the list repeats what the endpoint wrote, and against
// one that is missed because the endpoint has restarted.
func TestWarmUpFollowsTheEntries(t *testing.T) {
	type entry struct {
		at, coldFor clock.Millis
		born        endpoint.Incarnation
	}
	for _, tt := range []struct {
		name    string
		entries []entry
		// at is when the share is looked at.
		at   clock.Millis
		want float64
	}{
		{"warm", []entry{{0, 0, 1}}, 0, 1},
		{"first step", []entry{{0, 4000, 1}}, 999, 0.25},
		{"second step", []entry{{0, 4000, 1}}, 1000, 0.5},
		{"last step", []entry{{0, 4000, 1}}, 3999, 1},
		{"read again", []entry{{0, 4000, 1}, {400, 4000, 1}, {800, 4000, 1}}, 1000, 0.5},
		{"written again", []entry{{0, 4000, 1}, {1500, 2500, 1}}, 2000, 0.75},
		{"over, and read again", []entry{{0, 4000, 1}, {4100, 4000, 1}}, 4200, 1},
		{"warm sooner than announced", []entry{{0, 4000, 1}, {1000, 0, 1}}, 1000, 1},
		{"cold again", []entry{{0, 4000, 1}, {5000, 0, 1}, {6000, 4000, 1}}, 6500, 0.25},
		{"restarted", []entry{{0, 4000, 1}, {3900, 4000, 2}}, 4500, 0.25},
	} {
		var w warmUp
		for _, e := range tt.entries {
			w.update(e.coldFor, e.born, 1000+e.at)
		}
		if got := w.share(1000 + tt.at); got != tt.want {
			t.Errorf("%s: got a share of %v, want %v", tt.name, got, tt.want)
		}
	}
}

// coldCluster returns a cluster with a leader whose endpoints are cold for 4 s and take three times as long.
func coldCluster(t *testing.T, seed uint64, endpoints, cold int) *cluster {
	t.Helper()
	c := newCluster(t, seed, endpoints)
	for _, e := range c.sortedEndpoints {
		// Eight tasks fill an endpoint.
		e.Capacity.CPU = 8 * taskCPU
	}
	for _, e := range c.sortedEndpoints[:cold] {
		e.ColdFor, e.speed = 4*clock.Second, 1.0/3
	}
	c.addLeader(1, 256)
	c.advance(50)
	c.renewLeases(1, "a-1", 1, 2, 3, 4, 5, 6, 7, 8)
	return c
}

// Guards against endpoints that get their full load at once when they have just started or come back from an
// evacuation, and against cold ones that are preferred to warm ones.
func TestColdEndpointsAreLoadedInSteps(t *testing.T) {
	c := coldCluster(t, 51, 2, 1)
	cold, warm := c.sortedEndpoints[0], c.sortedEndpoints[1]
	c.duration = func(job.TaskName) clock.Millis { return 10 * clock.Second }
	submit := func(seq uint64, tasks int) {
		s := submission("a-1", seq, tasks)
		s.Part, s.Limit = true, clock.Minute
		c.deliver(1, Submitted{Submission: s})
		c.advance(5)
	}
	submit(1, 8)
	if got := len(warm.attempts); got != 8 {
		t.Errorf("got %d of 8 tasks at the warm endpoint, want all", got)
	}
	submit(2, 16)
	for _, step := range []struct {
		until clock.Millis
		want  int
	}{{0, 2}, {1000, 4}, {1000, 6}, {1000, 8}, {1000, 8}} {
		c.advance(step.until)
		if got := len(cold.attempts); got != step.want {
			t.Errorf("got %d tasks at the cold endpoint, want %d", got, step.want)
		}
	}
}

// Guards against estimates that take the time at cold endpoints for that of warm ones, and against expected durations
// that do not follow what cold endpoints take.
func TestDurationsAtColdEndpointsAreLearned(t *testing.T) {
	c := coldCluster(t, 52, 8, 8)
	l := c.leaders[1].leader
	for seq := range uint64(8) {
		s := submission("a-1", seq+1, 4)
		s.Part = true
		c.deliver(1, Submitted{Submission: s})
		c.advance(400)
	}
	ep := l.sortedEndpoints[0]
	if got := l.durationAt(ep, 50); got < 120 || got > 180 {
		t.Errorf("got an expected duration of %d ms at a cold endpoint, want about 150 ms", got)
	}
	if ep.speed.samples != 0 || l.workEstimates[testQueue] != nil {
		t.Errorf("got %d samples of the speed, work %+v, want none from cold endpoints", ep.speed.samples, l.workEstimates[testQueue])
	}
	c.advance(4 * clock.Second)
	if got, want := l.durationAt(ep, 50), clock.Millis(50); got != want {
		t.Errorf("got an expected duration of %d ms at a warm endpoint, want %d ms", got, want)
	}
}

// Guards against tight jobs that are late at cold endpoints while another data centre has capacity, and against
// others that leave although they would be in time.
func TestTightJobsAvoidColdEndpoints(t *testing.T) {
	for _, tt := range []struct {
		name     string
		cold     int
		estimate clock.Millis
		spare    int64
		want     string
	}{
		{"all cold, tight", 4, 200, 400000, "to sur"},
		{"all cold, tight, no capacity elsewhere", 4, 200, 0, "<nil>"},
		{"all cold, loose", 4, 20, 400000, "<nil>"},
		{"one warm, tight", 3, 200, 400000, "<nil>"},
	} {
		c := coldCluster(t, 53, 4, tt.cold)
		c.deliver(1, LoadReported{Load: shard.Load{Cell: "sur", FreeCPU: tt.spare, TotalCPU: 1 << 20, At: c.now}})
		s := submission("a-1", 1, 1)
		s.Job.Steps[0].Estimate = tt.estimate
		c.deliver(1, Submitted{Submission: s})
		if got := describeOutcome(c.outcomes[s.Key]); got != tt.want {
			t.Errorf("%s: got %s, want %s", tt.name, got, tt.want)
		}
	}
}
