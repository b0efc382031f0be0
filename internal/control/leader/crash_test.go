package leader

import (
	"fmt"
	"slices"
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// crashes returns the crashes and the suspicions of an endpoint, and their withdrawals, as logged.
func (c *cluster) crashes(e *fakeEndpoint) []string {
	var all []string
	for _, d := range c.logged {
		if d.Endpoint.ID != e.ID {
			continue
		}
		switch crash, _ := d.Details.(*EndpointCrash); d.Decision {
		case EndpointCrashSuspected:
			all = append(all, fmt.Sprintf("suspected, %d attempts", len(crash.Attempts)))
		case EndpointCrashed:
			all = append(all, fmt.Sprintf("%T abrupt=%v draining=%v, %d attempts", crash.Evidence, crash.Abrupt, crash.Draining, len(crash.Attempts)))
		case EndpointReturned:
			all = append(all, "returned")
		}
	}
	return all
}

// Guards against a crash that is not noticed, is counted twice, or does not name the attempts that
// ran there, and against an endpoint that drains or that a cut separates and that counts as crashed.
func TestCrashEvidence(t *testing.T) {
	const suspected, ended = "suspected, 1 attempts", "leader.ProcessEnded abrupt=true draining=false, 1 attempts"
	for _, tt := range []struct {
		name string
		// drains announces the end, crashes ends the incarnation, closes ends a hold in flight, refuses
		// lets connections be refused for a while, and oldList stops the reading of the list before.
		// Afterwards a later incarnation, or another instance at the address, is there.
		drains, crashes, closes   bool
		refuses, oldList          bool
		duration                  clock.Millis
		laterIncarnation, another bool
		want                      []string
	}{
		{name: "crash, later incarnation", crashes: true, refuses: true, duration: 1500, laterIncarnation: true, want: []string{suspected, "leader.NewIncarnation abrupt=true draining=false, 1 attempts"}},
		{name: "crash, another instance", crashes: true, refuses: true, duration: 1500, another: true, want: []string{suspected, "leader.InstanceReplaced abrupt=true draining=false, 1 attempts"}},
		{name: "short crash", crashes: true, refuses: true, duration: 300, another: true, want: []string{suspected, "leader.InstanceReplaced abrupt=true draining=false, 1 attempts"}},
		{name: "crash for good", crashes: true, refuses: true, duration: 1500, want: []string{suspected}},
		{name: "silent cut", duration: 1500, want: nil},
		{name: "cut that refuses connections", refuses: true, duration: 1500, want: []string{suspected, "returned"}},
		{name: "short cut that refuses connections", refuses: true, duration: 300, want: []string{suspected, "returned"}},
		{name: "crash behind a silent cut", crashes: true, duration: 1500, laterIncarnation: true, want: []string{"leader.NewIncarnation abrupt=false draining=false, 1 attempts"}},
		{name: "process ends, later incarnation", crashes: true, closes: true, refuses: true, duration: 1500, laterIncarnation: true, want: []string{ended}},
		{name: "process ends, another instance", crashes: true, closes: true, refuses: true, duration: 300, another: true, want: []string{ended}},
		{name: "process ends, old list", crashes: true, closes: true, refuses: true, oldList: true, duration: 300, want: []string{suspected}},
		{name: "connection closed, silent cut", closes: true, duration: 1500, want: nil},
		{name: "connection closed, cut that refuses connections", closes: true, refuses: true, duration: 1500, want: []string{ended, "returned"}},
		{name: "drained, process ends", drains: true, crashes: true, closes: true, refuses: true, duration: 1500, want: nil},
		{name: "drained", drains: true, crashes: true, refuses: true, duration: 1500, want: nil},
		{name: "drained, another instance", drains: true, crashes: true, refuses: true, duration: 300, another: true, want: []string{"leader.InstanceReplaced abrupt=true draining=true, 1 attempts"}},
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
			if tt.oldList {
				c.leaders[1].relists = false
				c.advance(maxListAge)
			}
			from := c.now
			c.fault = func(_ int, id datacentre.EndpointID, _ Action) delivery {
				return delivery{lost: id == e.ID && c.now-from < tt.duration}
			}
			e.down, e.refusing = tt.crashes, tt.refuses
			if tt.closes {
				c.deliver(1, HoldEnded{Endpoint: e.ID, Kind: Watch, Sequence: c.leaders[1].leader.sequence, Rejection: HoldClosed})
			}
			c.advance(tt.duration)
			e.refusing, e.replaced = tt.refuses && tt.crashes && !tt.laterIncarnation && !tt.another, tt.another
			if tt.laterIncarnation {
				e.down = false
				c.crash(e)
			}
			c.advance(1500)
			if got := c.crashes(e); !slices.Equal(got, tt.want) {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

// Guards against a reset of one connection that is being opened and is taken for a crash.
func TestSingleRefusalIsNoSuspicion(t *testing.T) {
	c := newCluster(t, 23, 1)
	c.addLeader(1, 256)
	c.advance(50)
	e := c.sortedEndpoints[0]
	for range 3 {
		c.deliver(1, HoldEnded{Endpoint: e.ID, Kind: Renewal, Sequence: c.leaders[1].leader.sequence + 1, Rejection: HoldRefused})
		c.deliver(1, HoldEnded{Endpoint: e.ID, Kind: Renewal, Sequence: c.leaders[1].leader.sequence, Report: c.statusReport(e)})
	}
	c.advance(400)
	if got := c.crashes(e); len(got) != 0 {
		t.Errorf("got %q, want nothing", got)
	}
}

// Guards against attempts that are forgotten since the list drops a crashed endpoint before another
// instance answers at its address.
func TestCrashIsProvedAfterTheEntryIsGone(t *testing.T) {
	c := newCluster(t, 24, 2)
	c.addLeader(1, 256)
	c.advance(50)
	c.longJob(5000)
	c.advance(100)
	e := c.endpointOf("0000000000000001.0.0.0")
	e.down, e.refusing = true, true
	c.advance(1500)
	c.sortedEndpoints = slices.DeleteFunc(c.sortedEndpoints, func(o *fakeEndpoint) bool { return o == e })
	c.advance(3000)
	e.replaced = true
	c.advance(100)
	if got, want := c.crashes(e), []string{"suspected, 1 attempts", "leader.InstanceReplaced abrupt=true draining=false, 1 attempts"}; !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
	c.advance(500)
	if c.leaders[1].leader.endpoints[e.ID] != nil {
		t.Error("got an endpoint that is still known after its crash, want none")
	}
}

// Guards against an endpoint that closes one connection, and later is behind a cut that refuses
// connections, and whose process counts as ended.
func TestClosedConnectionIsForgotten(t *testing.T) {
	for name, between := range map[string]HoldEnded{
		"answer": {Report: &endpoint.StatusReport{Incarnation: 1, Clock: 200_000}}, "other failure": {Rejection: HoldUnanswered},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 25, 1)
			c.addLeader(1, 256)
			c.advance(50)
			e := c.sortedEndpoints[0]
			for _, h := range []HoldEnded{{Rejection: HoldClosed}, between, {Rejection: HoldRefused}, {Rejection: HoldRefused}} {
				h.Endpoint, h.Kind, h.Sequence = e.ID, Renewal, c.leaders[1].leader.sequence+1
				c.deliver(1, h)
			}
			if got, want := c.crashes(e), []string{"suspected, 0 attempts"}; !slices.Equal(got, want) {
				t.Errorf("got %q, want %q", got, want)
			}
		})
	}
}

// Guards against a crash before a leader took over that counts as one with attempts of this leader.
func TestCrashBeforeTheFirstContactIsNotAbrupt(t *testing.T) {
	c := newCluster(t, 26, 1)
	e := c.sortedEndpoints[0]
	e.down, e.refusing = true, true
	c.addLeader(1, 256)
	c.advance(300)
	e.refusing, e.replaced = false, true
	c.advance(300)
	if got, want := c.crashes(e), []string{"leader.InstanceReplaced abrupt=false draining=false, 0 attempts"}; !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

// Guards against tasks that are blamed for an endpoint that ended long after their leases had expired,
// while the leader was paused.
func TestCrashAfterAPauseOfTheLeaderIsNotAbrupt(t *testing.T) {
	c := newCluster(t, 26, 2)
	c.addLeader(1, 256)
	c.advance(50)
	c.longJob(20000)
	c.advance(100)
	l := c.leaders[1].leader
	ep := l.endpoints[c.endpointOf("0000000000000001.0.0.0").ID]
	l.now = c.now + 5*clock.Second
	ep.closedSeq, ep.closedAt = l.sequence, l.now
	if got := l.endpointCrash(ep, ProcessEnded{}); got.Abrupt {
		t.Errorf("got an abrupt crash %d ms after the latest answer, want none after %d ms", l.now-ep.answeredAt, l.config.Timeouts.AttemptLease)
	}
}
