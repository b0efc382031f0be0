package leader

import (
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// longJob submits a job of one task that is not refused however late it starts, and renews its
// lease.
func (c *cluster) longJob(duration clock.Millis) job.Submission {
	c.duration = func(job.TaskName) clock.Millis { return duration }
	s := submission("a-1", 1, 1)
	s.Part, s.Limit = true, 20*clock.Second
	c.renewLeases(1, "a-1", 1)
	c.deliver(1, Submitted{Submission: s})
	return s
}

func (c *cluster) endpointOf(name job.TaskName) *fakeEndpoint {
	for _, e := range c.sortedEndpoints {
		if e.attempts[name] != nil {
			return e
		}
	}
	return nil
}

// Guards against leases that last longer than the leader counts on because the endpoint's clock is
// slow and its last reading is old.
func TestLeaseOfAnEndpointWithASlowClock(t *testing.T) {
	const reading, lease = 500_000, 600
	for _, age := range []clock.Millis{0, 150, 1080} {
		ep := newEndpointState(endpoint.Endpoint{ID: "e00"}, 0)
		ep.setClock(reading, 1, 1000, 1)
		until := ep.earliestClock(1000+age) + lease
		present := reading + endpoint.Clock(float64(age)*(1-clockDrift))
		if got, want := until-present, endpoint.Clock(lease); got > want {
			t.Errorf("reading of %d ms ago: got a lease of %d ms, want at most %d ms", age, got, want)
		}
	}
}

// delayedStart returns a cluster of two endpoints with a leader, and a job whose first start takes
// effect after a delay. The endpoint of that start does not answer until silentFor has passed, and
// restarts at restartAt. All times count from the submission.
func delayedStart(t *testing.T, delay, silentFor, restartAt clock.Millis) (c *cluster, s job.Submission, first datacentre.EndpointID) {
	t.Helper()
	c = newCluster(t, 32, 2)
	for _, e := range c.endpoints {
		e.clockStart = 500_000
	}
	c.addLeader(1, 256)
	c.advance(50)
	from := c.now
	c.fault = func(_ int, e datacentre.EndpointID, a Action) delivery {
		_, start := a.(Start)
		if first == "" && start {
			first = e
			return delivery{delay: delay}
		}
		return delivery{lost: e == first && c.now-from < silentFor}
	}
	s = c.longJob(12_000)
	c.advance(restartAt)
	c.crash(c.endpoints[first])
	return c, s, first
}

// Guards against a task that runs twice at the same time because an endpoint carries out a start
// after it has restarted under its ID: the new incarnation has seen neither a stop nor a fencing
// token, and by its clock the lease of the start is far from over.
func TestLateStartInANewIncarnation(t *testing.T) {
	c, s, first := delayedStart(t, 2000, 1000, 1000)
	c.advance(2000)
	if got, want := c.maxConcurrentAttempts, 1; got != want {
		t.Errorf("got %d concurrent attempts of a task, want %d", got, want)
	}
	if e := c.endpointOf(TaskName(s.Job.ID, 0, 0)); e == nil || e.ID == first {
		t.Errorf("got the task at no or at the first endpoint, want it at the second")
	}
}

// Guards against a start that was given up long before its endpoint restarts, and that is carried out
// after the new incarnation has answered: only the epoch in the token keeps it out.
func TestStartsOfTheFormerIncarnationAreFenced(t *testing.T) {
	c, _, _ := delayedStart(t, 3500, 2100, 2200)
	c.advance(3000)
	if got, want := c.maxConcurrentAttempts, 1; got != want {
		t.Errorf("got %d concurrent attempts of a task, want %d", got, want)
	}
}

// Guards against a task that runs twice at the same time because the lease at an endpoint that has
// restarted lasts longer than computed: a request whose lease was computed from the clock of the
// earlier incarnation extends leases in the new one to the longest that endpoints grant.
func TestLeaseInANewIncarnation(t *testing.T) {
	tests := map[string]func(c *cluster, e *fakeEndpoint){
		"renewal carried out by the new incarnation": func(c *cluster, e *fakeEndpoint) {
			c.fault = func(_ int, id datacentre.EndpointID, a Action) delivery {
				_, hold := a.(Hold)
				return delivery{delay: map[bool]clock.Millis{true: 30}[hold && id == e.ID]}
			}
			c.advance(160)
			c.crash(e)
			c.advance(40)
		},
		"start carried out by the new incarnation, its answer lost": func(c *cluster, e *fakeEndpoint) {
			c.crash(e)
		},
		"reading of the earlier incarnation arrives late": func(c *cluster, _ *fakeEndpoint) {
			c.fault = func(_ int, _ datacentre.EndpointID, a Action) delivery {
				_, start := a.(Start)
				return delivery{answerDelay: map[bool]clock.Millis{true: 1900}[start]}
			}
			c.deliver(1, Submitted{Submission: submission("a-1", 2, 4)})
			c.advance(5)
			for _, e := range c.sortedEndpoints {
				c.crash(e)
			}
			c.advance(1880)
		},
	}
	for name, restart := range tests {
		t.Run(name, func(t *testing.T) {
			for offset := clock.Millis(0); offset < 400; offset += 10 {
				c := newCluster(t, 33, 2)
				for _, e := range c.endpoints {
					e.clockStart = 500_000
				}
				c.addLeader(1, 256)
				c.advance(50)
				restart(c, c.sortedEndpoints[0])
				c.fault = func(int, datacentre.EndpointID, Action) delivery { return delivery{} }
				c.advance(offset)
				c.maxConcurrentAttempts = 0
				s := c.longJob(4000)
				first := c.endpointOf(TaskName(s.Job.ID, 0, 0))
				for waited := 0; first == nil && waited < 5000; waited++ {
					c.advance(1)
					first = c.endpointOf(TaskName(s.Job.ID, 0, 0))
				}
				if first == nil {
					t.Fatalf("got no attempt within 5 s, want one")
				}
				c.advance(oneWayDelay + 1)
				c.fault = func(_ int, e datacentre.EndpointID, _ Action) delivery { return delivery{lost: e == first.ID} }
				c.advance(3000)
				if got, want := c.maxConcurrentAttempts, 1; got != want {
					t.Errorf("job %d ms after the restart: got %d concurrent attempts of a task, want %d", offset, got, want)
				}
			}
		})
	}
}

// Guards against leases that an adoption window extends beyond the time after which callers resend
// a job: an entry VM and the leader lose power, the next leader takes over shortly before the
// leases expire, adopts a job of another entry VM, and then cannot reach the endpoints any more.
func TestAdoptionWindowEndsBeforeJobsAreResent(t *testing.T) {
	const resendAfter = clock.Millis(1300)
	c := newCluster(t, 18, 1)
	c.duration = func(job.TaskName) clock.Millis { return 1900 }
	f := c.addLeader(1, 256)
	c.advance(50)
	c.renewLeases(1, "a-1", 1)
	c.renewLeases(1, "b-1", 2)
	abandoned, adopted := submission("a-1", 1, 1), submission("b-1", 2, 1)
	c.deliver(1, Submitted{Submission: abandoned})
	c.deliver(1, Submitted{Submission: adopted})
	c.advance(300)
	f.stopped = true
	lostAt := c.now
	c.fault = func(_ int, _ datacentre.EndpointID, _ Action) delivery {
		return delivery{lost: c.now >= lostAt+780}
	}
	c.advance(540)
	c.addLeader(2, 257)
	c.advance(30)
	adopted.Adopt = true
	c.deliver(2, Submitted{Submission: adopted})
	c.renewLeases(2, "b-1", 2)
	c.advance(lostAt + resendAfter - c.now)
	e := c.endpoints["e00"]
	if e.attempts[TaskName(abandoned.Job.ID, 0, 0)] != nil {
		t.Errorf("got an attempt with a lease for another %d ms when the job is resent, want none", e.leaseEnd-e.clock(c.now))
	}
}

// Guards against attempts that outlast the job of a lost entry VM: the stops are lost, and holds for
// another job extend the leases of everything at the endpoint.
func TestLostStopsExtendNoLeases(t *testing.T) {
	c := newCluster(t, 20, 1)
	c.duration = func(job.TaskName) clock.Millis { return 5000 }
	c.addLeader(1, 256)
	c.advance(50)
	c.renewLeases(1, "b-1", 2)
	c.deliver(1, JobLeasesRenewed{Entry: "a-1", Sent: c.now, Waiting: []uint64{1}, LastSeq: 1})
	lastRenewal := c.now
	abandoned := submission("a-1", 1, 1)
	c.deliver(1, Submitted{Submission: abandoned})
	c.deliver(1, Submitted{Submission: submission("b-1", 2, 1)})
	c.fault = func(_ int, _ datacentre.EndpointID, a Action) delivery {
		_, ok := a.(Stop)
		return delivery{lost: ok}
	}
	c.advance(lastRenewal + testTimeouts().AttemptsExpireAfter() - c.now)
	if e := c.endpoints["e00"]; e.attempts[TaskName(abandoned.Job.ID, 0, 0)] != nil {
		t.Errorf("got an attempt with a lease for another %d ms, want none", e.leaseEnd-e.clock(c.now))
	}
}

// Guards against a second attempt of a task that was adopted: the earlier leader had computed the
// lease of its start from the clock of an earlier incarnation, so it lasts longer than usual.
func TestAdoptedAttemptOfARestartedEndpoint(t *testing.T) {
	c := newCluster(t, 22, 2)
	for _, e := range c.endpoints {
		e.clockStart = 500_000
	}
	c.duration = func(job.TaskName) clock.Millis { return 5000 }
	c.addLeader(1, 256)
	c.advance(50)
	c.renewLeases(1, "a-1", 1)
	for _, e := range c.sortedEndpoints {
		c.crash(e)
		e.contacted = true
	}
	c.fault = func(n int, _ datacentre.EndpointID, a Action) delivery {
		_, hold := a.(Hold)
		return delivery{lost: n == 1 && hold}
	}
	s := submission("a-1", 1, 1)
	s.Part, s.Limit = true, 20*clock.Second
	c.deliver(1, Submitted{Submission: s})
	c.advance(2)
	first := c.endpointOf(TaskName(s.Job.ID, 0, 0))
	if first == nil {
		t.Fatalf("got no attempt, want one")
	}
	c.leaders[1].stopped = true
	c.addLeader(2, 257)
	s.Adopt = true
	c.deliver(2, Submitted{Submission: s})
	c.renewLeases(2, "a-1", 1)
	c.advance(6)
	c.fault = func(_ int, e datacentre.EndpointID, _ Action) delivery { return delivery{lost: e == first.ID} }
	c.advance(3000)
	if got, want := c.maxConcurrentAttempts, 1; got != want {
		t.Errorf("got %d concurrent attempts of a task, want %d", got, want)
	}
}

// Guards against a task that runs twice because an attempt of an earlier leader is forgotten while it
// runs: its lease was computed from the clock of an earlier incarnation, and the endpoint is silent
// once it has reported the attempt.
func TestLeaseOfAnOrphanOfARestartedEndpoint(t *testing.T) {
	c := newCluster(t, 34, 2)
	c.duration = func(job.TaskName) clock.Millis { return 5000 }
	s := submission("a-1", 1, 1)
	s.Part, s.Limit, s.Adopt = true, 20*clock.Second, true
	name := TaskName(s.Job.ID, 0, 0)
	e := c.endpoints["e01"]
	e.attempts[name] = &fakeAttempt{name: name, number: 1, startedAt: c.now, endsAt: c.now + 5000}
	e.lastAttempts[name] = 1
	e.leaseEnd = e.clock(c.now) + longestLease
	c.addLeader(1, 256)
	c.advance(5)
	if got := c.leaders[1].leader.endpoints[e.ID].activeOrphans; got != 1 {
		t.Fatalf("got %d attempts of an earlier leader, want 1", got)
	}
	c.fault = func(_ int, id datacentre.EndpointID, _ Action) delivery { return delivery{lost: id == e.ID} }
	c.advance(700)
	c.renewLeases(1, "a-1", 1)
	c.deliver(1, Submitted{Submission: s})
	c.advance(2000)
	if got, want := c.maxConcurrentAttempts, 1; got != want {
		t.Errorf("got %d concurrent attempts of a task, want %d", got, want)
	}
	if c.starts[name] == 0 {
		t.Errorf("got no start of the task once the lease has expired, want one")
	}
}

// Guards against a task that runs twice because the next incarnation of an endpoint has received a start
// and carries it out seconds later, while no leader can reach it: the list shows that it has restarted.
func TestUnansweredStartAtARestartedEndpoint(t *testing.T) {
	c, s, first := delayedStart(t, 2000, 3000, 1)
	name := TaskName(s.Job.ID, 0, 0)
	late := false
	for range 400 {
		c.advance(10)
		attempts := 0
		for _, e := range c.sortedEndpoints {
			if e.attempts[name] != nil {
				attempts++
			}
		}
		late = late || c.endpoints[first].attempts[name] != nil
		if attempts > 1 {
			t.Fatalf("got %d attempts of a task at the same time, want 1", attempts)
		}
	}
	if !late {
		t.Errorf("got no late attempt at the restarted endpoint, want one")
	}
	c.advance(2000)
	if e := c.endpointOf(name); e == nil {
		t.Errorf("got no attempt once the endpoint has answered, want one")
	}
}

// Guards against tasks that wait forever for a restarted endpoint that never answers.
func TestUnansweredStartAtAnEndpointThatStaysAway(t *testing.T) {
	c, s, first := delayedStart(t, 60_000, 60_000, 1)
	name := TaskName(s.Job.ID, 0, 0)
	c.advance(lateOrderLimit - 100)
	if e := c.endpointOf(name); e != nil {
		t.Errorf("got an attempt at %s, want none while the start may be carried out late", e.ID)
	}
	c.advance(200)
	if e := c.endpointOf(name); e == nil || e.ID == first {
		t.Errorf("got no attempt at another endpoint after %d ms, want one", lateOrderLimit)
	}
}
