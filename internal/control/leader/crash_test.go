package leader

import (
	"fmt"
	"strings"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// crashes returns the logged crashes of an endpoint.
func (c *cluster) crashes(e *fakeEndpoint) []*EndpointCrash {
	var all []*EndpointCrash
	for _, d := range c.logged {
		if d.Decision == EndpointCrashed && d.Endpoint.ID == e.ID {
			all = append(all, d.Details.(*EndpointCrash))
		}
	}
	return all
}

// Guards against a crash that is not noticed, is counted twice, or does not name the tasks that ran
// there, and against an endpoint that is only unreachable or drains and counts as crashed.
func TestCrashEvidence(t *testing.T) {
	for _, tt := range []struct {
		name string
		// drains announces the end, refuses closes the port, and returns brings up a later incarnation.
		drains, refuses, returns bool
		downFor                  clock.Millis
		want                     []string
	}{
		{"refuses and returns", false, true, true, 1500, []string{"leader.ConnectionsRefused draining=false attempts=1"}},
		{"refuses for good", false, true, false, 1500, []string{"leader.ConnectionsRefused draining=false attempts=1"}},
		{"refuses briefly", false, true, true, 300, []string{"leader.ConnectionsRefused draining=false attempts=1"}},
		{"cut off", false, false, false, 1500, nil},
		{"silent and returns", false, false, true, 60, []string{"leader.NewIncarnation draining=false attempts=1"}},
		{"drains and refuses", true, true, false, 1500, nil},
		{"drains, refuses and returns", true, true, true, 60, []string{"leader.NewIncarnation draining=true attempts=1"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, 21, 2)
			c.addLeader(1, 256)
			c.advance(50)
			c.longJob(5000)
			c.advance(100)
			e := c.endpointOf("0000000000000001.0.0.0")
			e.Draining = tt.drains
			c.advance(400)
			e.down, e.refusing = true, tt.refuses
			c.advance(tt.downFor)
			if tt.returns {
				e.down = false
				c.crash(e)
				c.advance(400)
			}
			var got []string
			for _, crash := range c.crashes(e) {
				got = append(got, fmt.Sprintf("%T draining=%v attempts=%d", crash.Evidence, crash.Draining, crash.Total))
			}
			if strings.Join(got, "; ") != strings.Join(tt.want, "; ") {
				t.Errorf("got crashes %q, want %q", got, tt.want)
			}
		})
	}
}

// Guards against a crash that stands although the same incarnation answers again.
func TestCrashIsWithdrawn(t *testing.T) {
	c := newCluster(t, 22, 1)
	c.addLeader(1, 256)
	c.advance(1500)
	e := c.sortedEndpoints[0]
	e.down, e.refusing = true, true
	c.advance(1500)
	if got, want := len(c.crashes(e)), 1; got != want {
		t.Fatalf("got %d crashes, want %d", got, want)
	}
	e.down = false
	c.advance(200)
	if ep := c.leaders[1].leader.endpoints[e.ID]; ep.crashed || c.decisions[EndpointReturned] != 1 {
		t.Errorf("got crashed %v and %d returns, want none and 1", ep.crashed, c.decisions[EndpointReturned])
	}
}

// Guards against a reset of one connection that is being opened and counts as a crash.
func TestSingleRefusalIsNoCrash(t *testing.T) {
	c := newCluster(t, 23, 1)
	c.addLeader(1, 256)
	c.advance(50)
	e := c.sortedEndpoints[0]
	ep := c.leaders[1].leader.endpoints[e.ID]
	for range 3 {
		c.deliver(1, HoldEnded{Endpoint: e.ID, Kind: Renewal, Sequence: c.leaders[1].leader.sequence + 1, Rejection: HoldRefused})
		c.deliver(1, HoldEnded{Endpoint: e.ID, Kind: Renewal, Sequence: c.leaders[1].leader.sequence, Report: c.statusReport(e)})
	}
	c.advance(400)
	if got := len(c.crashes(e)); got != 0 || ep.crashed {
		t.Errorf("got %d crashes, want none", got)
	}
}
