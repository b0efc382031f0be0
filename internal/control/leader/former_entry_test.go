package leader

import (
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// Guards against tasks that start at an endpoint which has restarted under its ID as one of another kind or
// service, or is not draining any more, by what the list says of its former incarnation; and against one that
// stays out of use once its own entry is listed.
func TestEntryOfAFormerIncarnationDecidesNothing(t *testing.T) {
	for _, tt := range []struct {
		name     string
		requires string
		// change is what the restart changes; wantListed is whether the job runs once that is listed.
		change     func(e *fakeEndpoint)
		wantListed bool
	}{
		{"the label of before", "b", func(e *fakeEndpoint) { e.Labels = []string{"c"} }, false},
		{"another label", "c", func(e *fakeEndpoint) { e.Labels = []string{"c"} }, true},
		{"no label", "", func(e *fakeEndpoint) { e.Labels = []string{"c"} }, true},
		{"another service", "", func(e *fakeEndpoint) { e.Service = "other" }, false},
		{"less capacity", "", func(e *fakeEndpoint) { e.Capacity.CPU = taskCPU / 2 }, false},
		{"draining no more", "", func(e *fakeEndpoint) { e.Draining = false }, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, 34, 1)
			e := c.endpoints["e00"]
			e.Labels, e.Draining = []string{"b"}, tt.name == "draining no more"
			f := c.addLeader(1, 256)
			c.advance(50)
			f.relists = false
			c.crash(e)
			tt.change(e)
			c.advance(testTimeouts().cappedLeaseExpiry() + 1100)
			s := submission("a-1", 1, 1)
			s.Part, s.Limit = true, 20*clock.Second
			s.Job.Steps[0].Requires = tt.requires
			c.renewLeases(1, "a-1", 1)
			c.deliver(1, Submitted{Submission: s})
			c.advance(200)
			if got := c.starts[TaskName(s.Job.ID, 0, 0)]; got != 0 {
				t.Errorf("got %d starts by the entry of the former incarnation, want none", got)
			}
			f.relists = true
			c.list(1)
			c.advance(300)
			if _, completed := c.outcomes[s.Key].(job.Completed); completed != tt.wantListed {
				t.Errorf("got a completed job %v after its entry was listed, want %v", completed, tt.wantListed)
			}
		})
	}
}

// Guards against a crash that blames no task since the former incarnation was draining.
func TestFormerIncarnationsDrainIsNotThePresentOnes(t *testing.T) {
	ep := &endpointState{listedBorn: 1}
	ep.Born, ep.Draining = 1, true
	if !ep.isDraining() {
		t.Errorf("got the endpoint not draining, want it draining as its entry says")
	}
	ep.Born = 2
	if ep.isDraining() {
		t.Errorf("got the endpoint draining by the entry of its former incarnation, want it not")
	}
}

// Guards against a leader that starts tasks by the labels of a former incarnation because its predecessor has
// handed over that entry as one of the present incarnation, which had restarted without an entry of its own.
func TestHandedOverEntryIsOfTheIncarnationThatWroteIt(t *testing.T) {
	c := newCluster(t, 35, 1)
	e := c.endpoints["e00"]
	e.Labels = []string{"b"}
	entry := e.Endpoint
	former := c.addLeader(1, 256)
	c.advance(50)
	former.relists = false
	c.crash(e)
	e.Labels = []string{"c"}
	c.advance(testTimeouts().cappedLeaseExpiry() + 1100)

	handedOver := former.leader.Endpoints()
	if len(handedOver) != 1 || handedOver[0].Born != entry.Born {
		t.Errorf("got the entries %+v handed over, want that of incarnation %d", handedOver, entry.Born)
	}
	former.stopped = true
	next := c.addLeader(2, 257)
	next.relists = false
	c.deliver(2, EndpointsListed{Endpoints: handedOver, Complete: true, List: EndpointList{ReadAt: c.now}})
	c.advance(testTimeouts().cappedLeaseExpiry() + 200)
	s := submission("a-1", 1, 1)
	s.Part, s.Limit = true, 20*clock.Second
	s.Job.Steps[0].Requires = "b"
	c.renewLeases(2, "a-1", 1)
	c.deliver(2, Submitted{Submission: s})
	c.advance(200)
	if got := c.starts[TaskName(s.Job.ID, 0, 0)]; got != 0 {
		t.Errorf("got %d starts by the entry that was handed over, want none", got)
	}
}

// Guards against tasks that start by an entry that names no incarnation, although the endpoint does. Another writer
// has written it, perhaps for one before.
func TestEntryWithoutIncarnationDecidesNothing(t *testing.T) {
	c := newCluster(t, 37, 1)
	e := c.endpoints["e00"]
	e.Labels = []string{"c"}
	f := c.addLeader(1, 256)
	c.advance(50)
	f.relists = false
	entry := e.Endpoint
	entry.Born, entry.Labels = 0, []string{"b"}
	c.deliver(1, EndpointsListed{Endpoints: []endpoint.Endpoint{entry}, Complete: true, List: EndpointList{ReadAt: c.now}})
	s := submission("a-1", 1, 1)
	s.Part, s.Limit = true, 20*clock.Second
	s.Job.Steps[0].Requires = "b"
	c.renewLeases(1, "a-1", 1)
	c.deliver(1, Submitted{Submission: s})
	c.advance(200)
	if got := c.starts[TaskName(s.Job.ID, 0, 0)]; got != 0 {
		t.Errorf("got %d starts by an entry of no known incarnation, want none", got)
	}
}

// Guards against tasks that start by the entry of a former incarnation since the present one has the same name: the
// time of day was set back, so that both begin in the same millisecond. The clock of the endpoint, which begins anew,
// tells them apart; an entry, only that the former one's has expired.
func TestIncarnationsOfTheSameNameAreTwo(t *testing.T) {
	c := newCluster(t, 38, 1)
	c.duration = func(job.TaskName) clock.Millis { return 30 }
	e := c.endpoints["e00"]
	e.Labels = []string{"b"}
	entry := e.Endpoint
	f := c.addLeader(1, 256)
	c.advance(3000)
	f.relists = false
	c.crash(e)
	e.Born = entry.Born
	e.Labels = []string{"c"}
	list := func() {
		c.deliver(1, EndpointsListed{Endpoints: []endpoint.Endpoint{entry}, Complete: true, List: EndpointList{ReadAt: c.now}})
	}
	run := func(seq uint64, requires string) (starts int) {
		s := submission("a-1", seq, 1)
		s.Part, s.Limit = true, 400
		s.Job.Steps[0].Requires = requires
		c.renewLeases(1, "a-1", seq)
		c.deliver(1, Submitted{Submission: s})
		c.advance(300)
		return c.starts[TaskName(s.Job.ID, 0, 0)]
	}
	c.advance(testTimeouts().cappedLeaseExpiry() + 1100)
	list()
	if got := run(1, "b"); got != 0 {
		t.Errorf("got %d starts by the entry of the former incarnation, want none", got)
	}
	// While the store is lost, the entry of the former incarnation may stay.
	c.advance(entryLifetime - 2000)
	c.deliver(1, StoreReported{Lost: true})
	c.advance(2000)
	c.deliver(1, StoreReported{})
	list()
	if got := run(2, "b"); got != 0 {
		t.Errorf("got %d starts by an entry that may be the former incarnation's, want none", got)
	}
	entry.Labels = e.Labels
	c.advance(entryLifetime)
	list()
	if got := run(3, "c"); got != 1 {
		t.Errorf("got %d starts by the entry of the present incarnation, want 1", got)
	}
}
