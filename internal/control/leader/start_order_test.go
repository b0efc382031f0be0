package leader

import (
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// Guards against a wide job that is late on a narrow link, which delivers its starts one by one: the
// endpoints differ in speed, and the start at the slowest one must not arrive last.
func TestStartsOfAWideJobOnANarrowLink(t *testing.T) {
	const perStart = clock.Millis(4)
	c := newCluster(t, 49, 4)
	for i, e := range c.sortedEndpoints {
		e.speed = []float64{1.6, 1.2, 0.8, 0.6}[i]
	}
	c.duration = func(job.TaskName) clock.Millis { return 51 }
	c.addLeader(1, 256)
	c.advance(50)
	c.renewLeases(1, "a-1")
	for seq := range uint64(30) {
		c.deliver(1, Submitted{Submission: submission("a-1", 1000+seq, 8)})
		c.advance(120)
	}
	starts := clock.Millis(0)
	c.fault = func(_ int, _ datacentre.EndpointID, a Action) delivery {
		if _, ok := a.(Start); !ok {
			return delivery{}
		}
		starts++
		return delivery{delay: (starts - 1) * perStart}
	}
	s := submission("a-1", 2000, 8)
	begin := c.now
	c.deliver(1, Submitted{Submission: s})
	c.advance(300)
	if starts != 8 {
		t.Fatalf("got %d starts, want all tasks started at once", starts)
	}
	slowest := clock.Millis(51 / 0.6)
	if got, want := c.endedAt[s.Key]-begin, slowest+2*perStart+6*oneWayDelay; got > want {
		t.Errorf("got the job after %d ms, want %d ms at most: the slowest tasks started first", got, want)
	}
}
