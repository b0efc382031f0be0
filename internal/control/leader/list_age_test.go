package leader

import (
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// Guards against a start at an endpoint that reported long ago that it is leaving, by a leader whose list
// is older than that; and against starts that wait although the store does not answer.
func TestOldListHoldsStarts(t *testing.T) {
	maxAge := testTimeouts().MaxListAge()
	for _, tt := range []struct {
		name string
		age  clock.Millis
		lost bool
		// after is what ends the wait 40 ms later.
		after Event
		want  map[datacentre.EndpointID]int
	}{
		{name: "list current", age: maxAge - 100, want: map[datacentre.EndpointID]int{"e00": 2}},
		{name: "list of a successor", age: maxAge + 1, want: map[datacentre.EndpointID]int{}},
		{name: "list as old as the process", age: clock.Hour, want: map[datacentre.EndpointID]int{}},
		{name: "never read from the store", age: 1_000_000, want: map[datacentre.EndpointID]int{}},
		{name: "old, and the store lost before", age: clock.Hour, lost: true, want: map[datacentre.EndpointID]int{"e00": 2}},
		{name: "old, and the store lost meanwhile", age: clock.Hour, after: StoreReported{Lost: true}, want: map[datacentre.EndpointID]int{"e00": 2}},
		{name: "old, and read again", age: clock.Hour, after: EndpointsListed{}, want: map[datacentre.EndpointID]int{"e01": 2}},
		{name: "store back before the list is read", age: clock.Hour, lost: true, after: StoreReported{}, want: map[datacentre.EndpointID]int{"e00": 2}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, 31, 2)
			leaving := c.endpoints["e00"]
			c.endpoints["e01"].speed = 0.9
			f := &fakeLeader{leader: New(Config{Shard: "centro", Token: firstEpoch(256), Timeouts: testTimeouts(), FarFactor: 1.5, Desired: testState(), Now: c.now, StoreLost: tt.lost})}
			c.leaders[1] = f
			c.deliver(1, EndpointsListed{Endpoints: c.endpointList(), List: EndpointList{ReadAt: c.now - tt.age}})
			leaving.Draining = true
			c.tick(1)
			c.renewLeases(1, "a-1", 1)
			c.advance(10)
			c.deliver(1, Submitted{Submission: submission("a-1", 1, 2)})
			c.advance(40)
			switch e := tt.after.(type) {
			case EndpointsListed:
				c.deliver(1, EndpointsListed{Endpoints: c.endpointList(), List: EndpointList{ReadAt: c.now}})
			case nil:
			default:
				c.deliver(1, e)
			}
			c.advance(5)
			got := make(map[datacentre.EndpointID]int)
			for _, e := range c.sortedEndpoints {
				if n := len(e.attempts); n > 0 {
					got[e.ID] = n
				}
			}
			for _, id := range []datacentre.EndpointID{"e00", "e01"} {
				if got[id] != tt.want[id] {
					t.Errorf("%s: got %d attempts, want %d", id, got[id], tt.want[id])
				}
			}
		})
	}
}

// Guards against a wait for a current list that nobody ends: the leader asks for it once for each wait.
func TestHeldStartsRequestTheList(t *testing.T) {
	c := newCluster(t, 32, 2)
	l := New(Config{Shard: "centro", Token: firstEpoch(256), Timeouts: testTimeouts(), FarFactor: 1.5, Desired: testState(), Now: c.now})
	count := func(actions []Action) (requests int) {
		for _, a := range actions {
			if _, ok := a.(RefreshList); ok {
				requests++
			}
		}
		return requests
	}
	l.Handle(c.now, EndpointsListed{Endpoints: c.endpointList(), List: EndpointList{ReadAt: c.now}})
	l.Handle(c.now, JobLeasesRenewed{Entry: "a-1", Sent: c.now, Waiting: []uint64{1}, LastSeq: 1})
	s := submission("a-1", 1, 2)
	s.Part = true
	requests := count(l.Handle(c.now+1, Submitted{Submission: s}))
	if requests != 0 {
		t.Errorf("got %d requests with a current list, want none", requests)
	}
	c.now += testTimeouts().MaxListAge() + 1
	for range 3 {
		c.now += 10
		requests += count(l.Handle(c.now, JobLeasesRenewed{Entry: "a-1", Sent: c.now, Waiting: []uint64{1}, LastSeq: 1}))
	}
	if requests != 1 {
		t.Errorf("got %d requests while starts are held, want 1", requests)
	}
}

// Guards against starts at an endpoint whose entry is missing from the list, for longer than an old list may decide,
// although it is not known whether it said before it went that the endpoint is leaving. After an outage of the store
// most entries may be missing, and callers are served by them.
func TestUnprovenEntryDecidesNoLongerThanAnOldList(t *testing.T) {
	maxAge := testTimeouts().MaxListAge()
	for _, tt := range []struct {
		name string
		// lostAgo is how long before the list without the entry the store was lost, or 0; after is how long after the
		// latest list with the entry the job arrives.
		lostAgo, after clock.Millis
		want           int
	}{
		{"soon", 0, maxAge - 100, 1},
		{"late", 0, maxAge + 1, 0},
		{"late, after an outage", storeSettleTime - 1500, maxAge + 1, 1},
		{"late, long after an outage", storeSettleTime, maxAge + 1, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, 33, 1)
			c.addLeader(1, 256).relists = false
			c.deliver(1, StoreReported{})
			c.advance(2000)
			if tt.lostAgo > 0 {
				c.deliver(1, StoreReported{Lost: true})
				c.advance(10)
				c.deliver(1, StoreReported{})
				c.advance(tt.lostAgo - 410)
			}
			c.deliver(1, EndpointsListed{Endpoints: c.endpointList(), Complete: true, List: EndpointList{ReadAt: c.now}})
			readAt := c.now
			list := func() {
				c.deliver(1, EndpointsListed{Endpoints: c.endpointList(), Missing: map[datacentre.EndpointID]bool{"e00": true}, Unproven: map[datacentre.EndpointID]bool{"e00": true}, Complete: true, List: EndpointList{ReadAt: c.now}})
			}
			c.advance(400)
			list()
			c.advance(tt.after - 400)
			if c.now-readAt != tt.after {
				t.Fatalf("got a job after %d ms, want %d", c.now-readAt, tt.after)
			}
			list()
			s := submission("a-1", 1, 1)
			s.Part = true
			c.renewLeases(1, "a-1", 1)
			c.deliver(1, Submitted{Submission: s})
			c.advance(20)
			if got := c.starts[TaskName(s.Job.ID, 0, 0)]; got != tt.want {
				t.Errorf("got %d starts, want %d", got, tt.want)
			}
		})
	}
}
