package leader

import (
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// Guards against a lost attempt that starts again at the endpoint that lost it, although there is
// another one.
func TestLostAttemptStartsElsewhere(t *testing.T) {
	c := newCluster(t, 46, 2)
	c.addLeader(1, 256)
	c.advance(50)
	busy := c.sortedEndpoints[1]
	s := c.longJob(1500)
	name := TaskName(s.Job.ID, 0, 0)
	c.advance(10)
	first := c.endpointOf(name)
	if first == busy {
		busy = c.sortedEndpoints[0]
	}
	// The other endpoint has no capacity until the first one is back.
	others := submission("b-1", 2, 3)
	others.Part = true
	c.deliver(1, Submitted{Submission: others})
	c.renewLeases(1, "b-1", 2)
	c.advance(10)
	c.fault = func(_ int, id datacentre.EndpointID, _ Action) delivery { return delivery{lost: id == first.ID} }
	c.advance(900)
	c.fault = func(int, datacentre.EndpointID, Action) delivery { return delivery{} }
	c.advance(1500)
	c.wantStartedAt(name, busy)
}

func (c *cluster) wantStartedAt(name job.TaskName, want *fakeEndpoint) {
	c.t.Helper()
	for _, e := range c.sortedEndpoints {
		started := e.lastAttempts[name] > 1 || e == want && e.lastAttempts[name] > 0
		if started != (e == want) {
			c.t.Errorf("%s: got the second start there %v, want %v", e.ID, started, e == want)
		}
	}
}
