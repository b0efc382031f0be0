package leader

import (
	"slices"
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// Guards against tasks that run twice, or not at all, when a leader is replaced by one without any
// state, while the old one continues, during a partition, or while the new leader cannot reach an
// endpoint.
func TestTakeOver(t *testing.T) {
	cases := map[string]struct {
		oldContinues, oldWithoutLeases bool
		// unreachableFor is how long the new leader cannot reach one endpoint.
		unreachableFor clock.Millis
		// adoptAfter is how long after the takeover the entry VM resubmits its job.
		adoptAfter clock.Millis
	}{
		"old leader stopped":                 {adoptAfter: 30},
		"adopted before the first report":    {adoptAfter: 0},
		"old leader continues":               {oldContinues: true, adoptAfter: 30},
		"endpoint unreachable":               {oldContinues: true, unreachableFor: 500, adoptAfter: 30},
		"endpoint unreachable for long":      {oldContinues: true, unreachableFor: 2500, adoptAfter: 30},
		"adopted late":                       {adoptAfter: 400},
		"adopted late, old leader continues": {oldContinues: true, adoptAfter: 400},
		"old leader had lost the entry VM":   {oldContinues: true, oldWithoutLeases: true, unreachableFor: 600, adoptAfter: 100},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 11, 4)
			c.duration = func(n job.TaskName) clock.Millis { return 120 + 40*clock.Millis(n[len(n)-1]-'0') }
			old := c.addLeader(1, 256)
			c.advance(50)
			if !tt.oldWithoutLeases {
				c.renewLeases(1, "a-1", 1)
			}
			s := submission("a-1", 1, 6)
			c.deliver(1, Submitted{Submission: s})
			c.advance(60)
			if !tt.oldContinues {
				old.stopped = true
			}
			takenOver := c.now
			c.fault = func(n int, e datacentre.EndpointID, _ Action) delivery {
				return delivery{lost: n == 2 && e == "e01" && c.now-takenOver < tt.unreachableFor}
			}
			c.addLeader(2, 257)
			c.advance(tt.adoptAfter)
			s.Adopt, s.Waited = true, c.now-1_000_050
			c.deliver(2, Submitted{Submission: s})
			c.renewLeases(2, "a-1", 1)
			c.advance(4000)
			if got, want := c.maxConcurrentAttempts, 1; got != want {
				t.Errorf("got %d concurrent attempts of a task, want %d", got, want)
			}
			if got, want := outcomeName(c.outcomes[s.Key]), "job.Completed"; got != want {
				t.Errorf("got %s, want %s", got, want)
			}
		})
	}
}

// Guards against tasks that run twice because an earlier leader has attempts at an endpoint that is
// no longer listed, so that the new leader gets no report of them.
func TestTakeOverWithAnIncompleteList(t *testing.T) {
	c := newCluster(t, 14, 5)
	c.duration = func(job.TaskName) clock.Millis { return 700 }
	c.addLeader(1, 256)
	c.advance(50)
	s := submission("a-1", 1, 6)
	c.deliver(1, JobLeasesRenewed{Entry: "a-1", Sent: c.now, Waiting: []uint64{1}, LastSeq: 1})
	c.deliver(1, Submitted{Submission: s})
	c.advance(60)
	c.addLeader(2, 257)
	listed := slices.DeleteFunc(c.endpointList(), func(e endpoint.Endpoint) bool { return e.ID == "e01" })
	c.leaders[2] = &fakeLeader{leader: New(Config{Shard: "centro", Token: firstEpoch(258), Timeouts: testTimeouts(), StoreLost: true, FarFactor: 1.5, Desired: testState(), Now: c.now})}
	c.deliver(2, EndpointsListed{Endpoints: listed})
	s.Adopt = true
	c.advance(10)
	c.deliver(2, Submitted{Submission: s})
	c.renewLeases(2, "a-1", 1)
	c.advance(3000)
	if got, want := c.maxConcurrentAttempts, 1; got != want {
		t.Errorf("got %d concurrent attempts of a task, want %d", got, want)
	}
	if got, want := outcomeName(c.outcomes[s.Key]), "job.Completed"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// Guards against a task that runs twice because a leader uses an endpoint before the VM that takes
// over from it can have read of it.
func TestAddedEndpointIsUsedLater(t *testing.T) {
	c := newCluster(t, 15, 2)
	added := c.sortedEndpoints[1]
	c.sortedEndpoints = c.sortedEndpoints[:1]
	c.addLeader(1, 256)
	c.advance(50)
	c.sortedEndpoints = append(c.sortedEndpoints, added)
	c.duration = func(job.TaskName) clock.Millis { return 4000 }
	s := submission("a-1", 1, 4)
	s.Part, s.Limit = true, 10*clock.Second
	c.deliver(1, Submitted{Submission: s})
	c.renewLeases(1, "a-1", 1)
	for _, tt := range []struct {
		after clock.Millis
		want  int
	}{{400 + testTimeouts().newEndpointDelay() - 50, 0}, {100, 2}} {
		c.advance(tt.after)
		if got := len(added.attempts); got != tt.want {
			t.Errorf("got %d attempts at the added endpoint, want %d", got, tt.want)
		}
	}
}

// Guards against an adopted task that never ends: its endpoint leaves the list while it has attempts
// of an earlier leader, and is forgotten.
func TestEndpointWithOrphansIsKept(t *testing.T) {
	c := newCluster(t, 16, 2)
	c.duration = func(job.TaskName) clock.Millis { return 300 }
	old := c.addLeader(1, 256)
	c.advance(50)
	s := submission("a-1", 1, 1)
	c.deliver(1, Submitted{Submission: s})
	c.advance(20)
	old.stopped = true
	c.addLeader(2, 257)
	c.advance(20)
	runsAt := c.endpointOf(TaskName(s.Job.ID, 0, 0))
	c.sortedEndpoints = slices.DeleteFunc(c.sortedEndpoints, func(e *fakeEndpoint) bool { return e == runsAt })
	c.leaders[2].relists = false
	c.deliver(2, EndpointsListed{Endpoints: c.endpointList(), Complete: true, List: EndpointList{ReadAt: c.now}})
	c.sortedEndpoints = append(c.sortedEndpoints, runsAt)
	s.Adopt = true
	c.deliver(2, Submitted{Submission: s})
	c.renewLeases(2, "a-1", 1)
	c.advance(600)
	if got, want := outcomeName(c.outcomes[s.Key]), "job.Completed"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// Guards against a leader that steps down because it forgets that an endpoint has restarted: the
// endpoint leaves the list, is dropped, and returns with the token of its later epoch.
func TestEpochOfADroppedEndpointIsKept(t *testing.T) {
	c := newCluster(t, 21, 3)
	f := c.addLeader(1, 256)
	f.relists = false
	c.advance(50)
	c.crash(c.endpoints["e00"])
	c.advance(200)
	all := c.endpointList()
	c.deliver(1, EndpointsListed{Endpoints: slices.DeleteFunc(slices.Clone(all), func(e endpoint.Endpoint) bool { return e.ID == "e00" }), Complete: true, List: EndpointList{ReadAt: c.now}})
	c.advance(100)
	c.deliver(1, EndpointsListed{Endpoints: all, Complete: true, List: EndpointList{ReadAt: c.now}})
	c.advance(clock.Second)
	if f.fenced {
		t.Errorf("got the leader fenced out by its own later token, want it to lead")
	}
}

// Guards against a second attempt of a task that runs at an endpoint that the earlier leader has
// handed over: the new leader cannot reach it, and it leaves the list.
func TestHandedOverEndpointCountsAlsoUnlisted(t *testing.T) {
	c := newCluster(t, 17, 3)
	c.duration = func(job.TaskName) clock.Millis { return 760 }
	old := c.addLeader(1, 256)
	c.advance(50)
	c.renewLeases(1, "a-1", 1)
	s := submission("a-1", 1, 1)
	s.Part = true
	c.deliver(1, Submitted{Submission: s})
	c.advance(20)
	runsAt := c.endpointOf(TaskName(s.Job.ID, 0, 0))
	old.stopped = true
	c.fault = func(_ int, e datacentre.EndpointID, _ Action) delivery { return delivery{lost: e == runsAt.ID} }
	c.addLeader(2, 257).relists = false
	c.advance(20)
	s.Adopt = true
	c.deliver(2, Submitted{Submission: s})
	c.renewLeases(2, "a-1", 1)
	listed := slices.DeleteFunc(c.endpointList(), func(e endpoint.Endpoint) bool { return e.ID == runsAt.ID })
	c.deliver(2, EndpointsListed{Endpoints: listed, Complete: true, List: EndpointList{ReadAt: c.now}})
	c.advance(3000)
	if got, want := c.maxConcurrentAttempts, 1; got != want {
		t.Errorf("got %d concurrent attempts of a task, want %d", got, want)
	}
	if got, want := outcomeName(c.outcomes[s.Key]), "job.Completed"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// Guards against a list that was read after the take-over, but long before a job was submitted again:
// the leader that had the job may have started its tasks at an endpoint that was added since.
func TestListFromBeforeTheJobProvesNothing(t *testing.T) {
	c := newCluster(t, 35, 2)
	f := c.addLeader(1, 256)
	f.relists = false
	c.advance(3000)
	s := submission("a-1", 1, 1)
	s.Part, s.Limit, s.Adopt = true, 20*clock.Second, true
	name := TaskName(s.Job.ID, 0, 0)
	c.renewLeases(1, "a-1", 1)
	c.deliver(1, Submitted{Submission: s})
	c.advance(500)
	if got := c.starts[name]; got != 0 {
		t.Errorf("got %d starts with a list that is 3 s old, want none", got)
	}
	c.deliver(1, EndpointsListed{Endpoints: c.endpointList(), Complete: true, List: EndpointList{ReadAt: c.now}})
	c.advance(20)
	if got := c.starts[name]; got != 1 {
		t.Errorf("got %d starts once the list is read again, want 1", got)
	}
}

// Guards against attempts that outlast the wait of their caller because two leaders in a row are lost
// soon after they have taken over: each extends the leases of attempts that no job has adopted.
func TestLeadersInARowExtendNoUnadoptedAttempts(t *testing.T) {
	c := newCluster(t, 26, 1)
	c.duration = func(job.TaskName) clock.Millis { return 5000 }
	f := c.addLeader(1, 256)
	c.advance(50)
	s := submission("a-1", 1, 1)
	s.Part, s.Limit = true, 20*clock.Second
	c.deliver(1, JobLeasesRenewed{Entry: "a-1", Sent: c.now, Waiting: []uint64{1}, LastSeq: 1})
	c.deliver(1, Submitted{Submission: s})
	c.advance(8)
	// The entry VM and the leader lose power.
	lostAt := c.now
	f.stopped = true
	c.advance(570)
	second := c.addLeader(2, 257)
	c.advance(20)
	second.stopped = true
	c.advance(350)
	c.fault = func(_ int, _ datacentre.EndpointID, a Action) delivery {
		_, ok := a.(Stop)
		return delivery{lost: ok}
	}
	c.addLeader(3, 258)
	c.advance(lostAt + 1300 - c.now)
	if e := c.endpoints["e00"]; e.attempts[TaskName(s.Job.ID, 0, 0)] != nil {
		t.Errorf("got an attempt with a lease for another %d ms when the job is sent again, want none", e.leaseEnd-e.clock(c.now))
	}
}

// Guards against work that is lost when a leader fails: its successor has to extend the leases of the
// attempts until the entry VMs have submitted their jobs again, and of none whose caller may have
// resent its job by then.
func TestLeasesOfUnadoptedAttempts(t *testing.T) {
	for _, tt := range []struct {
		name      string
		takenOver clock.Millis
		unheard   bool
		want      bool
	}{
		{name: "the earlier leader has failed just now", takenOver: 560, want: true},
		{name: "the caller may resend the job soon", takenOver: 950, want: false},
		{name: "the VM has not heard of an earlier leader", takenOver: 560, unheard: true, want: false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, 27, 1)
			c.duration = func(job.TaskName) clock.Millis { return 5000 }
			f := c.addLeader(1, 256)
			c.advance(50)
			c.renewLeases(1, "a-1", 1)
			s := submission("a-1", 1, 1)
			s.Part, s.Limit = true, 20*clock.Second
			c.deliver(1, Submitted{Submission: s})
			c.advance(160)
			e := c.endpoints["e00"]
			f.stopped = true
			if tt.unheard {
				f.orphansEndBy = 0
			}
			e.leaseEnd = e.clock(c.now) + endpoint.Clock(tt.takenOver) + 20
			c.advance(tt.takenOver)
			c.addLeader(2, 257)
			c.advance(200)
			if got := e.attempts[TaskName(s.Job.ID, 0, 0)] != nil; got != tt.want {
				t.Errorf("got a running attempt %v, want %v", got, tt.want)
			}
		})
	}
}

// Guards against a task that runs twice: an endpoint that is listed again is used before the next
// leader's list has it, because the leader has kept its state.
func TestEndpointThatIsListedAgainIsUsedLater(t *testing.T) {
	for _, lost := range []bool{false, true} {
		c := newCluster(t, 24, 2)
		c.addLeader(1, 256)
		c.advance(50)
		c.longJob(20000)
		c.advance(100)
		e := c.endpointOf("0000000000000001.0.0.0")
		if !lost {
			e = c.sortedEndpoints[0]
			if e == c.endpointOf("0000000000000001.0.0.0") {
				e = c.sortedEndpoints[1]
			}
		}
		e.down, e.refusing = true, true
		c.advance(1500)
		i := slices.Index(c.sortedEndpoints, e)
		c.sortedEndpoints = slices.Delete(c.sortedEndpoints, i, i+1)
		c.advance(3000)
		c.sortedEndpoints = append(c.sortedEndpoints, e)
		c.advance(300)
		e.down, e.refusing = false, false
		c.advance(300)
		ep := c.leaders[1].leader.endpoints[e.ID]
		if ep == nil || ep.unlisted {
			t.Fatalf("lost %v: not listed again: %v", lost, ep)
		}
		if ep.usable(c.now) {
			t.Errorf("lost %v: got an endpoint that is used within 600 ms after it was listed again, want a delay of %d ms", lost, testTimeouts().newEndpointDelay())
		}
	}
}
