package leader

import (
	"strconv"
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// The queues of a deployment whose operator ranks short urgent jobs above longer ones.
const (
	urgentQueue = "urgent"
	plainQueue  = "plain"

	urgentDuration = clock.Millis(50)
	plainDuration  = clock.Millis(170)
	// firstUrgent is the number of the first urgent job; those below it are plain.
	firstUrgent = 1000
)

func prioritizedState() *queue.State {
	return queue.NewState(2, []queue.Queue{
		{Name: urgentQueue, Host: "h", Path: "/u/", Service: testService, MaxAttempts: 3, Stretch: 1.6, Allowance: 60, Priority: 0},
		{Name: plainQueue, Host: "h", Path: "/p/", Service: testService, MaxAttempts: 3, Stretch: 1.6, Allowance: 60, Priority: 1},
	}, map[queue.ServiceName]queue.Service{testService: {Name: testService, GuardsRoom: true}}, queue.Limits{})
}

// newPrioritizedCluster has a leader with urgent and plain queues and capacity for two tasks at
// each endpoint.
func newPrioritizedCluster(t *testing.T, endpoints int) *cluster {
	t.Helper()
	c := newCluster(t, 5, endpoints)
	c.duration = func(n job.TaskName) clock.Millis {
		seq, err := strconv.ParseUint(string(n[:16]), 16, 64)
		if err != nil {
			t.Fatal(err)
		}
		if seq >= firstUrgent {
			return urgentDuration
		}
		return plainDuration
	}
	c.addLeader(1, 256)
	c.deliver(1, DesiredState{State: prioritizedState()})
	c.advance(50)
	c.renewAllLeases()
	return c
}

// renewAllLeases renews the job leases of the only entry VM every 100 ms, so that no job is
// abandoned.
func (c *cluster) renewAllLeases() {
	c.deliver(1, JobLeasesRenewed{Entry: "a-1", Sent: c.now})
	c.schedule(100, c.renewAllLeases)
}

func (c *cluster) submitPlain(seq uint64, tasks int) {
	s := submission("a-1", seq, tasks)
	s.Job.Queue, s.Job.Steps[0].Estimate = plainQueue, plainDuration
	c.deliver(1, Submitted{Submission: s})
}

func (c *cluster) submitUrgent(seq uint64, tasks int) {
	s := submission("a-1", seq, tasks)
	s.Job.Queue, s.Job.Steps[0].Estimate = urgentQueue, urgentDuration
	c.deliver(1, Submitted{Submission: s})
}

func (c *cluster) outcome(seq uint64) string {
	return outcomeName(c.outcomes[job.Key{Entry: "a-1", Seq: seq}])
}

// Guards against an urgent job that is refused because jobs of a lower priority came first: longer
// jobs occupy all capacity and fill the queue when a wide urgent job arrives.
func TestUrgentJobPassesPlainOnes(t *testing.T) {
	c := newPrioritizedCluster(t, 6)
	for seq := uint64(1); seq <= 6; seq++ {
		// Two tasks end every 20 ms, from 170 ms on.
		c.advance(20)
		c.submitPlain(seq, 2)
	}
	for seq := uint64(7); seq <= 10; seq++ {
		c.submitPlain(seq, 2)
	}
	c.advance(65)
	c.submitUrgent(firstUrgent, 4)
	c.advance(400)
	if got, want := c.outcome(firstUrgent), "job.Completed"; got != want {
		t.Errorf("urgent job: got %s, want %s", got, want)
	}
}

// Guards against plain jobs that starve while urgent jobs arrive faster than they can be served.
func TestPlainJobsAreNotStarved(t *testing.T) {
	c := newPrioritizedCluster(t, 6)
	served := 0
	for n := uint64(0); n < 100; n++ {
		// Twelve slots finish 6 urgent tasks in 25 ms; 10 arrive.
		for k := range uint64(10) {
			c.submitUrgent(firstUrgent+10*n+k, 1)
		}
		c.submitPlain(n+1, 1)
		c.advance(25)
	}
	c.advance(1000)
	for n := uint64(0); n < 100; n++ {
		if c.outcome(n+1) == "job.Completed" {
			served++
		}
	}
	if got, want := served, 10; got < want {
		t.Errorf("plain jobs served: got %d of 100, want at least %d", got, want)
	}
}

// Guards against the refusal of a wide urgent job at peak load, when no single shard has capacity
// for it but all shards together are about to free enough for every task to start in time.
func TestWideJobIsDividedByForecast(t *testing.T) {
	tests := []struct {
		name   string
		others []shard.Load
		want   string
	}{
		{"two shards are about to free capacity", []shard.Load{
			{Cell: "norte", TotalCPU: 384_000, SoonCPU: 140_000},
			{Cell: "sur", TotalCPU: 384_000, SoonCPU: 140_000},
		}, "job.Divided"},
		{"urgent jobs already wait for that capacity", []shard.Load{
			{Cell: "norte", TotalCPU: 384_000, SoonCPU: 140_000, Waiting: []shard.Waiting{{Priority: 0, CPU: 140_000}}},
			{Cell: "sur", TotalCPU: 384_000, SoonCPU: 140_000, Waiting: []shard.Waiting{{Priority: 0, CPU: 140_000}}},
		}, "refused noRoomInTime"},
		{"only jobs of a lower priority wait there", []shard.Load{
			{Cell: "norte", TotalCPU: 384_000, SoonCPU: 140_000, Waiting: []shard.Waiting{{Priority: 1, CPU: 140_000}}},
			{Cell: "sur", TotalCPU: 384_000, SoonCPU: 140_000, Waiting: []shard.Waiting{{Priority: 1, CPU: 140_000}}},
		}, "job.Divided"},
		{"no other shard has capacity", nil, "refused noRoomInTime"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newPrioritizedCluster(t, 4)
			for seq := uint64(1); seq <= 4; seq++ {
				c.submitPlain(seq, 2)
				c.advance(5)
			}
			c.advance(20)
			for _, load := range tt.others {
				load.At = c.now
				c.deliver(1, LoadReported{Load: load})
			}
			c.submitUrgent(firstUrgent, 12)
			if got := c.outcome(firstUrgent); got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
}

// Guards against a load report that omits the capacity about to be freed.
func TestLoadForecastsFreedCapacity(t *testing.T) {
	c := newPrioritizedCluster(t, 2)
	c.submitPlain(1, 4)
	c.advance(60)
	c.submitPlain(2, 2)
	c.advance(40)
	before := c.leaders[1].leader.Load(c.now)
	c.advance(30)
	after := c.leaders[1].leader.Load(c.now)
	if got, want := before.SoonCPU, int64(0); got != want {
		t.Errorf("70 ms before the ends: got %d, want %d", got, want)
	}
	if got, want := after.SoonCPU, int64(4*14_000); got != want {
		t.Errorf("40 ms before the ends: got %d, want %d", got, want)
	}
	if got, want := after.WaitingBefore(1), int64(2*14_000); got != want {
		t.Errorf("waiting: got %d, want %d", got, want)
	}
	if got, want := after.WaitingBefore(0), int64(0); got != want {
		t.Errorf("waiting for the first priority: got %d, want %d", got, want)
	}
}

// Guards against tasks that wait although there is capacity for them, because a larger task, or one
// that may run on few endpoints, has found none.
func TestTasksWithCapacityPassThoseWithout(t *testing.T) {
	tests := []struct {
		name string
		// occupied is how many of the four slots are in use.
		occupied int
		first    func(*job.Step)
	}{
		{"larger", 3, func(s *job.Step) { s.Demand.CPU = 32_000 }},
		{"more memory", 3, func(s *job.Step) { s.Demand.Memory = 1 << 17 }},
		{"label that no endpoint has", 3, func(s *job.Step) { s.Requires = "elsewhere" }},
		{"spread over endpoints", 0, func(s *job.Step) { s.Tasks, s.PerEndpoint = 3, 1 }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newPrioritizedCluster(t, 2)
			l := c.leaders[1].leader
			if tt.occupied > 0 {
				c.submitPlain(1, tt.occupied)
			}
			blocked := submission("a-1", 2, 1)
			blocked.Job.Queue, blocked.Job.Steps[0].Estimate = plainQueue, plainDuration
			tt.first(&blocked.Job.Steps[0])
			blocked.Job.Steps[0].Demand.CPU = max(blocked.Job.Steps[0].Demand.CPU, 14_000)
			small := submission("a-1", 3, 1)
			small.Job.Queue, small.Job.Steps[0].Estimate = plainQueue, plainDuration
			// Admission would refuse the first job or both; here they are queued directly, one
			// behind the other. A part of a job stays queued although it cannot start in time.
			blocked.Part, blocked.Waited = true, 50
			for _, s := range []job.Submission{blocked, small} {
				j := newJobState(s, c.now)
				j.makeTasks()
				l.setDeadlines(j)
				j.limit = c.now + 3000
				l.jobs[j.Key] = j
				l.enqueue(j)
			}
			if l.queue[0].Key != blocked.Key {
				t.Fatalf("got job %v first, want %v", l.queue[0].Key, blocked.Key)
			}
			c.advance(190)
			if got, want := c.outcome(3), "job.Completed"; got != want {
				t.Errorf("got %s, want %s", got, want)
			}
		})
	}
}

// Guards against a second attempt of a task after an answer to an old hold says that another
// instance is at the address, although an attempt has been confirmed there since.
func TestLateAnswerOfAnotherInstanceEndsNoAttempt(t *testing.T) {
	c := newCluster(t, 19, 2)
	c.duration = func(job.TaskName) clock.Millis { return 760 }
	l := c.addLeader(1, 256).leader
	c.advance(50)
	c.renewLeases(1, "a-1", 1)
	before := l.sequence
	c.deliver(1, Submitted{Submission: submission("a-1", 1, 1)})
	c.advance(20)
	c.deliver(1, HoldEnded{Endpoint: "e00", Kind: Renewal, Sequence: before, Rejection: HoldOtherInstance})
	c.advance(100)
	if got, want := c.starts[TaskName("0000000000000001", 0, 0)], 1; got != want {
		t.Errorf("got %d starts while the first attempt runs, want %d", got, want)
	}
}

// Guards against an endpoint that is ignored after a restart because its time of day has gone back,
// and against a list of endpoints that shows the earlier incarnation again.
func TestRestartWithAnEarlierTimeOfDay(t *testing.T) {
	c := newCluster(t, 22, 1)
	c.duration = func(job.TaskName) clock.Millis { return 2000 }
	e := c.endpoints["e00"]
	e.Born = 1000
	l := c.addLeader(1, 256).leader
	c.advance(50)
	listed := c.endpointList()
	c.crash(e)
	e.Born = 900
	c.advance(testTimeouts().cappedLeaseExpiry() + 1100)
	c.leaders[1].relists = false
	c.deliver(1, EndpointsListed{Endpoints: listed, Complete: true})
	s := c.longJob(300)
	c.advance(500)
	if got, want := l.endpoints["e00"].Born, endpoint.Incarnation(900); got != want {
		t.Errorf("got incarnation %d, want %d", got, want)
	}
	if got := c.starts[TaskName(s.Job.ID, 0, 0)]; got != 0 {
		t.Errorf("got %d starts by the entry of the former incarnation, want none", got)
	}
	c.deliver(1, EndpointsListed{Endpoints: c.endpointList(), Complete: true})
	c.advance(500)
	if got, want := outcomeName(c.outcomes[s.Key]), "job.Completed"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// Guards against a leader that takes an endpoint for restarted and crashed, and stops what runs there, since an
// entry of an incarnation before the former one is listed late and names a later time of day.
func TestLateEntryOfAnEarlierIncarnationIsNoRestart(t *testing.T) {
	c := newCluster(t, 36, 1)
	c.duration = func(job.TaskName) clock.Millis { return 2000 }
	e := c.endpoints["e00"]
	e.Born = 1000
	l := c.addLeader(1, 256).leader
	c.advance(50)
	late := c.endpointList()
	for _, born := range []endpoint.Incarnation{950, 900} {
		c.crash(e)
		e.Born = born
		c.advance(testTimeouts().cappedLeaseExpiry() + 1100)
	}
	c.leaders[1].relists = false
	s := c.longJob(2000)
	c.advance(300)
	restarts := c.decisions[EndpointRestarted]
	for range 3 {
		c.deliver(1, EndpointsListed{Endpoints: late, Complete: true})
		c.advance(400)
	}
	if got, want := l.endpoints["e00"].Born, endpoint.Incarnation(900); got != want {
		t.Errorf("got incarnation %d, want %d", got, want)
	}
	if got := c.decisions[EndpointRestarted] - restarts; got != 0 {
		t.Errorf("got %d restarts of an endpoint that answers, want none", got)
	}
	c.advance(1500)
	if got, want := c.starts[TaskName(s.Job.ID, 0, 0)], 1; got != want {
		t.Errorf("got %d starts, want %d", got, want)
	}
	if got, want := outcomeName(c.outcomes[s.Key]), "job.Completed"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// Guards against starts that an endpoint's successor at the same address refuses one after the other
// until the endpoint leaves the list.
func TestReplacedEndpointGetsNoTasks(t *testing.T) {
	c := newCluster(t, 23, 2)
	l := c.addLeader(1, 256).leader
	c.advance(50)
	c.deliver(1, HoldEnded{Endpoint: "e00", Kind: Renewal, Sequence: l.sequence, Rejection: HoldOtherInstance})
	if l.endpoints["e00"].usable(c.now) {
		t.Errorf("got an endpoint that another instance has replaced usable, want it out of use")
	}
	c.advance(1100)
	if !l.endpoints["e00"].usable(c.now) {
		t.Errorf("got the endpoint out of use after it has answered itself, want it usable")
	}
}

// Guards against a report of the former incarnation that counts as another restart because its time
// of day is later.
func TestLateReportOfALaterTimeOfDay(t *testing.T) {
	c := newCluster(t, 24, 1)
	e := c.endpoints["e00"]
	e.Born = 1000
	l := c.addLeader(1, 256).leader
	c.advance(50)
	late := HoldEnded{Endpoint: e.ID, Kind: Renewal, Sequence: l.sequence, Report: c.statusReport(e)}
	c.crash(e)
	e.Born = 900
	c.advance(1200)
	epoch := l.endpoints[e.ID].epoch
	c.deliver(1, late)
	if got := l.endpoints[e.ID]; got.epoch != epoch || got.Born != 900 {
		t.Errorf("got incarnation %d and epoch %d after a late report, want 900 and %d", got.Born, got.epoch, epoch)
	}
}
