package leader

import (
	"fmt"
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// coldCluster returns a cluster with a leader and endpoints of eight tasks each, some of which are cold for 4 s.
func coldCluster(t *testing.T, seed uint64, endpoints, cold int) *cluster {
	t.Helper()
	c := newCluster(t, seed, endpoints)
	for i, e := range c.sortedEndpoints {
		e.Capacity.CPU = 8 * taskCPU
		if i < cold {
			e.ColdFor, e.speed = 4*clock.Second, 1.0/3
		}
	}
	c.addLeader(1, 256)
	c.advance(50)
	c.renewLeases(1, "a-1", 1, 2, 3, 4, 5, 6, 7, 8)
	return c
}

// Guards against endpoints that get their full load at once when they have just started or come back from an
// evacuation, against cold ones that are preferred to warm ones, and against a warm-up that begins again with each
// read of the list.
func TestColdEndpointsAreLoadedInSteps(t *testing.T) {
	c := coldCluster(t, 51, 2, 1)
	c.duration = func(job.TaskName) clock.Millis { return clock.Minute }
	c.submitPart(1, 1, 24)
	for i, want := range []int{2, 4, 6, 8} {
		c.advance(5)
		if cold, warm := len(c.sortedEndpoints[0].attempts), len(c.sortedEndpoints[1].attempts); cold != want || warm != 8 {
			t.Errorf("step %d: got %d tasks at the cold endpoint and %d at the other, want %d and 8", i, cold, warm, want)
		}
		c.advance(clock.Second)
	}
}

// Guards against estimates that take the time at cold endpoints for that of warm ones, and against expected durations
// that do not follow what cold endpoints take.
func TestDurationsAtColdEndpointsAreLearned(t *testing.T) {
	c := coldCluster(t, 52, 8, 8)
	l := c.leaders[1].leader
	for seq := range uint64(8) {
		c.deliver(1, Submitted{Submission: submission("a-1", seq+1, 4)})
		c.advance(400)
	}
	ep := l.sortedEndpoints[0]
	cold := l.durationAt(ep, 50)
	c.advance(4 * clock.Second)
	if warm := l.durationAt(ep, 50); cold < 120 || cold > 180 || warm != 50 || l.workEstimates[testQueue] != nil {
		t.Errorf("got %d ms cold and %d ms warm, work %+v, want about 150 and 50, no work", cold, warm, l.workEstimates[testQueue])
	}
}

// Guards against tight jobs that are late at cold endpoints while another data centre has capacity, and against
// others that leave although they would be in time.
func TestTightJobsAvoidColdEndpoints(t *testing.T) {
	for _, tt := range []struct {
		cold     int
		estimate clock.Millis
		spare    int64
		want     string
	}{{4, 200, 400000, "job.Redirected"}, {4, 200, 0, "<nil>"}, {4, 20, 400000, "<nil>"}, {3, 200, 400000, "<nil>"}} {
		c := coldCluster(t, 53, 4, tt.cold)
		c.deliver(1, LoadReported{Load: shard.Load{Cell: "sur", FreeCPU: tt.spare, At: c.now}})
		s := submission("a-1", 1, 1)
		s.Job.Steps[0].Estimate = tt.estimate
		c.deliver(1, Submitted{Submission: s})
		if got := fmt.Sprintf("%T", c.outcomes[s.Key]); got != tt.want {
			t.Errorf("%+v: got %s", tt, got)
		}
	}
}
