package leader

import (
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// newUnguardedCluster returns a cluster whose endpoints do not guard their capacity.
func newUnguardedCluster(t *testing.T, seed uint64, endpoints int) *cluster {
	t.Helper()
	c := newCluster(t, seed, endpoints)
	c.unguarded = true
	return c
}

// addUnguardedLeader adds a leader that knows that the endpoints do not guard their capacity.
func (c *cluster) addUnguardedLeader(n int, token shard.Token) *fakeLeader {
	f := c.addLeader(n, token)
	c.deliver(n, DesiredState{State: stateOf(2, false)})
	return f
}

// submitPart submits a job that may wait and that its entry VM keeps waiting for.
func (c *cluster) submitPart(n int, seq uint64, tasks int) job.Submission {
	s := submission("a-1", seq, tasks)
	s.Part, s.Limit = true, 10*clock.Second
	c.deliver(n, Submitted{Submission: s})
	c.renewLeases(n, "a-1", seq)
	return s
}

func (c *cluster) checkOverloads() {
	c.t.Helper()
	if c.overloads != 0 {
		c.t.Errorf("got %d starts beyond the capacity of an endpoint, want none", c.overloads)
	}
}

// Guards against an overloaded endpoint after a takeover: the new leader does not know the demand of
// attempts that no job has adopted yet, and starts tasks beside them.
func TestNoStartsBesideUnadoptedAttemptsWithoutGuard(t *testing.T) {
	for _, adoptAfter := range []clock.Millis{0, 30, 150, 400} {
		c := newUnguardedCluster(t, 41, 3)
		c.duration = func(job.TaskName) clock.Millis { return 600 }
		old := c.addUnguardedLeader(1, 256)
		c.advance(50)
		first := c.submitPart(1, 1, 6)
		c.advance(60)
		old.stopped = true
		c.addUnguardedLeader(2, 257)
		c.deliver(2, Submitted{Submission: submission("b-1", 2, 4)})
		second := submission("b-1", 3, 4)
		second.Part = true
		c.deliver(2, Submitted{Submission: second})
		c.renewLeases(2, "b-1", 2, 3)
		c.advance(adoptAfter)
		first.Adopt = true
		c.deliver(2, Submitted{Submission: first})
		c.renewLeases(2, "a-1", 1)
		c.advance(4000)
		c.checkOverloads()
		if got := outcomeName(c.outcomes[second.Key]); got != "job.Completed" {
			t.Errorf("adopted after %d ms: got %s, want the job of the new leader completed", adoptAfter, got)
		}
	}
}

// Guards against an overloaded endpoint after another member of the replica set has led meanwhile: its
// attempts are unknown until the endpoint has answered under the raised token.
func TestNoStartsBesideAttemptsOfAnInterimLeader(t *testing.T) {
	c := newUnguardedCluster(t, 42, 2)
	c.duration = func(job.TaskName) clock.Millis { return 600 }
	first := c.addUnguardedLeader(1, 256)
	c.advance(50)
	first.frozenUntil = c.now + 200
	c.addUnguardedLeader(2, 257)
	c.advance(20)
	c.submitPart(2, 1, 4)
	c.advance(20)
	c.leaders[2].stopped = true
	first.frozenUntil = 0
	first.leader.SetToken(firstEpoch(258))
	c.submitPart(1, 2, 4)
	c.advance(3000)
	c.checkOverloads()
}

// Guards against an overloaded endpoint while its capacity shrinks and grows: running attempts, and
// those that are being stopped, may exceed it.
func TestShrunkCapacityBinds(t *testing.T) {
	c := newUnguardedCluster(t, 43, 2)
	c.duration = func(n job.TaskName) clock.Millis { return 100 + 40*clock.Millis(n[len(n)-1]-'0') }
	c.addUnguardedLeader(1, 256)
	c.advance(50)
	c.submitPart(1, 1, 8)
	c.advance(20)
	full := c.sortedEndpoints[0].Capacity
	for _, share := range []job.MilliCores{1, 0, 2} {
		e := c.sortedEndpoints[0]
		e.Capacity.CPU = full.CPU * share / 2
		c.deliver(1, EndpointsListed{Endpoints: c.endpointList(), Complete: true, List: EndpointList{ReadAt: c.now}})
		c.submitPart(1, uint64(10+share), 4)
		c.advance(300)
		c.checkOverloads()
	}
	c.advance(1000)
	if got := len(c.outcomes); got != 4 {
		t.Errorf("got %d jobs answered, want all 4 once the capacity has grown again", got)
	}
}

// Guards against an overloaded endpoint that has restarted with a smaller capacity: its new
// incarnation answers before the list shows its row.
func TestCapacityOfAnEarlierIncarnationDoesNotCount(t *testing.T) {
	c := newUnguardedCluster(t, 44, 1)
	c.addUnguardedLeader(1, 256)
	c.advance(50)
	e := c.sortedEndpoints[0]
	listed := c.endpointList()
	c.leaders[1].relists = false
	c.crash(e)
	e.Capacity.CPU = taskCPU
	c.advance(idleWatchWait + requestTimeout)
	c.submitPart(1, 1, 4)
	for range 5 {
		c.deliver(1, EndpointsListed{Endpoints: listed, Complete: true, List: EndpointList{ReadAt: c.now}})
		c.advance(500)
	}
	c.checkOverloads()
	c.deliver(1, EndpointsListed{Endpoints: c.endpointList(), Complete: true, List: EndpointList{ReadAt: c.now}})
	c.advance(400)
	c.checkOverloads()
	if len(c.outcomes) != 1 {
		t.Errorf("got %d jobs answered, want the job completed once the list has the row", len(c.outcomes))
	}
}

// Guards against an overloaded endpoint whose capacity has shrunk unseen: the new leader has not
// followed the list, or the leader does not reach the store.
func TestOldCapacityDoesNotCount(t *testing.T) {
	for _, age := range []clock.Millis{10 * clock.Second, 0} {
		c := newUnguardedCluster(t, 45, 1)
		f := &fakeLeader{leader: New(Config{Shard: "centro", Token: firstEpoch(256), Timeouts: testTimeouts(), StoreLost: true, FarFactor: 1.5, Desired: stateOf(2, false), Now: c.now})}
		c.leaders[1] = f
		e := c.sortedEndpoints[0]
		c.deliver(1, EndpointsListed{Endpoints: c.endpointList(), List: EndpointList{ReadAt: c.now - age}})
		c.tick(1)
		c.advance(max(maxCapacityAge-age, 0) + 100)
		e.Capacity.CPU = taskCPU
		c.submitPart(1, 1, 4)
		c.advance(1000)
		if len(e.attempts) > 0 || len(c.outcomes) > 0 {
			t.Errorf("list %d ms old at the takeover: got attempts with an old list, want none", age)
		}
		c.deliver(1, EndpointsListed{Endpoints: c.endpointList(), List: EndpointList{ReadAt: c.now}})
		c.advance(1000)
		c.checkOverloads()
		if len(c.outcomes) != 1 {
			t.Errorf("list %d ms old at the takeover: got %d jobs answered once the list is read, want 1", age, len(c.outcomes))
		}
	}
}

// Guards against an overloaded endpoint that has disappeared from the list: its capacity is that of an
// earlier list, however recent the list is.
func TestCapacityOfAMissingEndpointGetsOld(t *testing.T) {
	c := newUnguardedCluster(t, 47, 1)
	c.addUnguardedLeader(1, 256)
	c.advance(50)
	c.leaders[1].relists = false
	e := c.sortedEndpoints[0]
	listed := c.endpointList()
	list := func(all []endpoint.Endpoint, missing map[datacentre.EndpointID]bool) {
		c.deliver(1, EndpointsListed{Endpoints: all, Missing: missing, Complete: true, List: EndpointList{ReadAt: c.now}})
		c.advance(500)
	}
	for c.now < 1_000_000+maxCapacityAge+500 {
		list(listed, map[datacentre.EndpointID]bool{e.ID: true})
	}
	e.Capacity.CPU = taskCPU
	c.submitPart(1, 1, 4)
	c.advance(500)
	if len(e.attempts) > 0 || len(c.outcomes) > 0 {
		t.Errorf("got attempts at a missing endpoint, want none")
	}
	list(c.endpointList(), nil)
	c.advance(500)
	c.checkOverloads()
	if len(c.outcomes) != 1 {
		t.Errorf("got %d jobs answered once the endpoint is listed again, want 1", len(c.outcomes))
	}
}

// Guards against a load that hides free capacity: an endpoint that runs more than its capacity has no
// free CPU, and what it releases first makes up for that.
func TestLoadWithAnOvercommittedEndpoint(t *testing.T) {
	c := newCluster(t, 46, 2)
	c.duration = func(job.TaskName) clock.Millis { return 500 }
	c.addLeader(1, 256)
	c.advance(50)
	c.submitPart(1, 1, 4)
	c.advance(20)
	e := c.sortedEndpoints[0]
	e.Capacity.CPU = 0
	c.sortedEndpoints[1].Capacity.CPU = 2*taskCPU + 5000
	c.deliver(1, EndpointsListed{Endpoints: c.endpointList(), Complete: true, List: EndpointList{ReadAt: c.now}})
	load := c.leaders[1].leader.Load(c.now + 400)
	if got, want := load.FreeCPU, int64(5000); got != want {
		t.Errorf("got %d free CPU, want %d of the other endpoint", got, want)
	}
	if got, want := load.SoonCPU, int64(2*taskCPU); got > want {
		t.Errorf("got %d CPU soon, want at most the %d of the other endpoint", got, want)
	}
}
