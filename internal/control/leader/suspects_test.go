package leader

import (
	"fmt"
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/world/crash"
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

const deadlyJob = 1

// deadlyCluster returns a cluster with a leader, at which the only task of deadlyJob crashes each
// endpoint after 5 ms.
func deadlyCluster(t *testing.T, endpoints int) *cluster {
	t.Helper()
	c := newCluster(t, 41, endpoints)
	c.deadly[deadlyTaskName()], c.downTime = 5, 3000
	c.addLeader(1, 256)
	c.advance(50)
	return c
}

func deadlyTaskName() job.TaskName { return TaskName(submission("a-1", deadlyJob, 1).Job.ID, 0, 0) }

// submit submits a job of n tasks that is not refused however late it starts.
func (c *cluster) submit(n int, entry vm.Incarnation, seq uint64, tasks int) job.Submission {
	s := submission(entry, seq, tasks)
	s.Part, s.Limit = true, 30*clock.Second
	c.deliver(n, Submitted{Submission: s})
	return s
}

func (c *cluster) wantOutcome(k job.Key, want job.Outcome) {
	c.t.Helper()
	if got := c.outcomes[k]; got != want {
		c.t.Errorf("job %d: got outcome %v, want %v", k.Seq, got, want)
	}
}

func (c *cluster) wantCrashes(want int) {
	c.t.Helper()
	if got := c.crashCounts[deadlyTaskName()]; got != want {
		c.t.Errorf("got %d crashes under the deadly task, want %d", got, want)
	}
}

// Guards against a task that crashes endpoint after endpoint until its job runs out of time.
func TestDeadlyTaskIsGivenUpAfterTwoCrashes(t *testing.T) {
	c := deadlyCluster(t, 8)
	c.renewLeases(1, "a-1", deadlyJob)
	s := c.submit(1, "a-1", deadlyJob, 1)
	c.advance(6000)
	c.wantCrashes(2)
	c.wantOutcome(s.Key, job.Failed{Task: deadlyTaskName()})
	given := loggedDetails[*CrashesUnderTask](c)
	if len(given) != 1 || len(given[0].Crashes) != 2 {
		t.Errorf("got the logged proofs %v, want one of two crashes", given)
	}
}

// Guards against an innocent task that is given up, or never runs again, because it ran beside a
// deadly one.
func TestNeighboursOfADeadlyTaskComplete(t *testing.T) {
	c := deadlyCluster(t, 4)
	seqs := []uint64{deadlyJob, 2, 3, 4, 5}
	c.renewLeases(1, "a-1", seqs...)
	c.submit(1, "a-1", deadlyJob, 1)
	for _, seq := range seqs[1:] {
		c.submit(1, "a-1", seq, 1)
	}
	c.advance(8000)
	c.wantCrashes(2)
	c.wantOutcome(job.Key{Entry: "a-1", Seq: deadlyJob}, job.Failed{Task: deadlyTaskName()})
	for _, seq := range seqs[1:] {
		c.wantOutcome(job.Key{Entry: "a-1", Seq: seq}, job.Completed{})
	}
}

// Guards against a neighbour that is given up since it was beside a deadly task twice: a crash proves
// nothing against one of two tasks.
func TestNeighbourInTwoCrashesIsNotGivenUp(t *testing.T) {
	c := deadlyCluster(t, 4)
	neighbour := TaskName(submission("a-1", 2, 1).Job.ID, 0, 0)
	history := c.leaders[1].leader.crashes
	for i, id := range []datacentre.EndpointID{"x0", "x1"} {
		history.Add(crash.Record{ID: crash.ID{Endpoint: id, Incarnation: 1}, Shard: "centro", Tasks: []job.TaskName{deadlyTaskName(), neighbour}, Abrupt: true, Proved: true, Age: clock.Millis(2000 - 1000*i)}, c.now)
	}
	c.renewLeases(1, "a-1", deadlyJob, 2)
	c.submit(1, "a-1", 2, 1)
	c.submit(1, "a-1", deadlyJob, 1)
	c.advance(6000)
	// The end of the neighbour leaves the deadly task as the only cause of both crashes.
	c.wantCrashes(0)
	c.wantOutcome(job.Key{Entry: "a-1", Seq: deadlyJob}, job.Failed{Task: deadlyTaskName()})
	c.wantOutcome(job.Key{Entry: "a-1", Seq: 2}, job.Completed{})
}

// Guards against blame for an endpoint that only was cut off: its tasks are lost, and nothing
// crashed.
func TestCutEndpointConvictsNobody(t *testing.T) {
	c := newCluster(t, 42, 4)
	c.addLeader(1, 256)
	c.advance(50)
	s := c.longJob(2000)
	for range 3 {
		cut := c.endpointOf(TaskName(s.Job.ID, 0, 0))
		for ; cut == nil; cut = c.endpointOf(TaskName(s.Job.ID, 0, 0)) {
			c.advance(10)
		}
		c.advance(100)
		c.fault = func(_ int, id datacentre.EndpointID, _ Action) delivery { return delivery{lost: id == cut.ID} }
		c.advance(1000)
	}
	c.fault = func(int, datacentre.EndpointID, Action) delivery { return delivery{} }
	c.advance(4000)
	c.wantOutcome(s.Key, job.Completed{})
	if got := len(c.leaders[1].leader.crashes.Crashes(TaskName(s.Job.ID, 0, 0), c.now)); got != 0 {
		t.Errorf("got %d crashes under the task, want none", got)
	}
}

// Guards against tasks that run alone because a rack crashed, and against tasks that are given up because
// that happened to them twice.
func TestMassCrashConvictsNobody(t *testing.T) {
	for crashes, limit := range map[int]clock.Millis{1: 6 * clock.Second, 2: 40 * clock.Second} {
		c := newCluster(t, 43, 12)
		c.duration = func(job.TaskName) clock.Millis { return 3000 }
		c.addLeader(1, 256)
		c.advance(50)
		c.renewLeases(1, "a-1", 1)
		s := submission("a-1", 1, 8)
		s.Limit = clock.Minute
		c.deliver(1, Submitted{Submission: s})
		for range crashes {
			c.advance(100)
			for _, e := range c.sortedEndpoints {
				if len(e.attempts) > 0 {
					c.crashFor(e, 1000)
				}
			}
			c.advance(1900)
		}
		if got := len(c.leaders[1].leader.isolatedEndpoints); crashes == 1 && got != 0 {
			t.Errorf("got %d endpoints held for suspects after one crash, want none", got)
		}
		c.advance(limit)
		c.wantOutcome(s.Key, job.Completed{})
		if got := c.decisions[TaskGivenUp]; got != 0 {
			t.Errorf("%d crashes: got %d tasks given up, want none", crashes, got)
		}
		if got := len(c.leaders[1].leader.isolatedEndpoints); got != 0 {
			t.Errorf("%d crashes: got %d endpoints held for suspects, want none", crashes, got)
		}
	}
}

// suspects records a crash under each task of a job, none together with another.
func (c *cluster) suspect(n int, s job.Submission) {
	for k := range s.Job.Steps[0].Tasks {
		c.leaders[n].leader.crashes.Add(crash.Record{
			ID:    crash.ID{Endpoint: datacentre.EndpointID(fmt.Sprint("x", s.Key.Seq, k)), Incarnation: 1},
			Shard: "centro", Tasks: []job.TaskName{TaskName(s.Job.ID, 0, k)}, Abrupt: true, Proved: true, Age: clock.Millis(1000 + 1000*k),
		}, c.now)
	}
}

// Guards against suspects that take all endpoints from other tasks, or run beside another one.
func TestSuspectsHoldFewEndpoints(t *testing.T) {
	c := newCluster(t, 44, 16)
	c.duration = func(job.TaskName) clock.Millis { return 200 }
	c.addLeader(1, 256)
	c.advance(50)
	c.renewLeases(1, "a-1", 1, 2)
	suspects := submission("a-1", 1, 8)
	suspects.Part, suspects.Limit = true, 30*clock.Second
	c.suspect(1, suspects)
	c.deliver(1, Submitted{Submission: suspects})
	others := c.submit(1, "a-1", 2, 40)
	for range 300 {
		c.advance(10)
		isolated := 0
		for _, e := range c.sortedEndpoints {
			for name := range e.attempts {
				if isTaskOf(suspects, name) {
					isolated++
					if got, want := len(e.attempts), 1; got != want {
						t.Fatalf("%s: got %d attempts beside a suspect, want %d in all", e.ID, got, want)
					}
				}
			}
		}
		if want := 2; isolated > want {
			t.Fatalf("got %d endpoints with suspects, want at most %d", isolated, want)
		}
	}
	c.wantOutcome(suspects.Key, job.Completed{})
	c.wantOutcome(others.Key, job.Completed{})
}

func isTaskOf(s job.Submission, name job.TaskName) bool {
	for k := range s.Job.Steps[0].Tasks {
		if TaskName(s.Job.ID, 0, k) == name {
			return true
		}
	}
	return false
}

// Guards against a suspect that never runs because no endpoint is ever empty under load.
func TestSuspectDoesNotStarveUnderLoad(t *testing.T) {
	c := newCluster(t, 45, 4)
	c.duration = func(n job.TaskName) clock.Millis { return 150 + 40*clock.Millis(n[len(n)-1]%5) }
	c.addLeader(1, 256)
	c.advance(50)
	var seqs []uint64
	for seq := uint64(1); seq <= 60; seq++ {
		seqs = append(seqs, seq)
	}
	c.renewLeases(1, "a-1", seqs...)
	for seq := uint64(2); seq <= 20; seq++ {
		c.submit(1, "a-1", seq, 4)
	}
	c.advance(100)
	s := submission("a-1", 1, 1)
	s.Part, s.Limit = true, 30*clock.Second
	c.suspect(1, s)
	c.deliver(1, Submitted{Submission: s})
	for seq := uint64(21); seq <= 60; seq++ {
		c.advance(50)
		c.submit(1, "a-1", seq, 4)
	}
	if o := c.outcomes[s.Key]; o != (job.Completed{}) {
		t.Errorf("got outcome %v after 2 s of load, want %v", o, job.Completed{})
	}
}

// Guards against crashes that are counted anew by each leader: the next leader of the shard, and that
// of another one to which a caller has sent the job again.
func TestNextLeaderKnowsTheCrashes(t *testing.T) {
	c := deadlyCluster(t, 8)
	c.renewLeases(1, "a-1", deadlyJob)
	c.submit(1, "a-1", deadlyJob, 1)
	var known []crash.Record
	for len(known) == 0 {
		c.advance(1)
		known, _ = c.leaders[1].leader.crashes.Since(0, 100, c.now)
	}
	c.leaders[1].stopped = true
	c.advance(1500)
	c.addLeader(2, 257)
	for _, r := range known {
		c.leaders[2].leader.crashes.Add(r, c.now)
	}
	c.renewLeases(2, "a-1", deadlyJob)
	s := submission("a-1", deadlyJob, 1)
	s.Part, s.Limit, s.Adopt = true, 30*clock.Second, true
	c.deliver(2, Submitted{Submission: s})
	c.advance(8000)
	c.wantCrashes(2)
	c.wantOutcome(s.Key, job.Failed{Task: deadlyTaskName()})
}

// Guards against a job that a caller sends again and that crashes more endpoints, although its task
// is known to be deadly.
func TestResentJobWithADeadlyTaskStartsNothing(t *testing.T) {
	c := deadlyCluster(t, 8)
	c.renewLeases(1, "a-1", deadlyJob)
	c.submit(1, "a-1", deadlyJob, 2)
	c.advance(6000)
	before := len(c.starts)
	clear(c.starts)
	s := submission("b-1", 7, 2)
	s.Job.ID = submission("a-1", deadlyJob, 2).Job.ID
	c.deliver(1, Submitted{Submission: s})
	if got, want := len(c.starts), 0; got != want || before == 0 {
		t.Errorf("got %d tasks started, want %d", got, want)
	}
	c.wantOutcome(s.Key, job.Failed{Task: deadlyTaskName()})
	c.wantCrashes(2)
}

// Guards against a deadly task that starts a third time, or whose job waits, until the endpoints that
// it crashed are back.
func TestDeadlyTaskFailsBeforeItsEndpointsAreBack(t *testing.T) {
	c := deadlyCluster(t, 8)
	c.renewLeases(1, "a-1", deadlyJob)
	s := c.submit(1, "a-1", deadlyJob, 1)
	c.advance(2500)
	c.wantCrashes(2)
	if got, want := c.starts[deadlyTaskName()], 2; got != want {
		t.Errorf("got %d starts, want %d", got, want)
	}
	c.wantOutcome(s.Key, job.Failed{Task: deadlyTaskName()})
}

// Guards against a task that is given up, or kept from starting for good, since links reset the
// connections to its endpoints: the same incarnations answer again.
func TestResetConnectionsConvictNobody(t *testing.T) {
	c := newCluster(t, 47, 4)
	c.addLeader(1, 256)
	c.advance(50)
	s := c.longJob(2500)
	name := TaskName(s.Job.ID, 0, 0)
	for range 3 {
		e := c.endpointOf(name)
		for wait := 0; e == nil && wait < 1000; wait++ {
			c.advance(10)
			e = c.endpointOf(name)
		}
		if e == nil {
			t.Fatal("got no start of the task, want one")
		}
		c.advance(100)
		e.refusing = true
		c.advance(1000)
		e.refusing = false
	}
	c.advance(5000)
	c.wantOutcome(s.Key, job.Completed{})
}

// Guards against blame for the end of an endpoint that drains: it exits by plan, whatever runs there.
func TestDrainingEndpointConvictsNobody(t *testing.T) {
	ep := newEndpointState(endpoint.Endpoint{ID: "e00", Born: 1, Draining: true}, 0)
	ep.listedBorn = 1
	l := New(Config{Shard: "centro", Timeouts: testTimeouts(), StoreLost: true, Desired: testState()})
	ep.tasks["t"] = &task{name: "t"}
	l.handleCrash(ep, InstanceReplaced{})
	if got, want := l.crashes.Verdict("t", 0), crash.Unsuspected; got != want {
		t.Errorf("got verdict %v, want %v", got, want)
	}
}

// Guards against a leader that panics when the desired state drops the queue of a suspect for which an
// endpoint is held, and against one that holds it for a job that neither starts nor ends.
func TestQueueOfAWaitingSuspectIsDropped(t *testing.T) {
	c := newCluster(t, 45, 2)
	c.duration = func(job.TaskName) clock.Millis { return 1000 }
	c.addLeader(1, 256)
	c.advance(50)
	c.renewLeases(1, "a-1", 1, 2)
	c.submit(1, "a-1", 2, 4)
	c.advance(50)
	s := submission("a-1", 1, 1)
	s.Part, s.Limit = true, 30*clock.Second
	c.suspect(1, s)
	c.deliver(1, Submitted{Submission: s})
	c.advance(20)
	l := c.leaders[1].leader
	if got := len(l.isolatedEndpoints); got != 1 {
		t.Fatalf("got %d endpoints held, want 1", got)
	}
	c.deliver(1, DesiredState{State: queue.NewState(2, nil, map[queue.ServiceName]queue.Service{testService: {Name: testService, GuardsRoom: true}}, queue.Limits{})})
	for range 30 {
		c.renewLeases(1, "a-1", 1, 2)
		c.advance(100)
	}
	c.wantOutcome(s.Key, job.Completed{})
	if got := len(l.isolatedEndpoints); got != 0 {
		t.Errorf("got %d endpoints held, want none", got)
	}
}

// Guards against deadly tasks that start together without end: their crashes come together each time and
// look like the failure of a rack.
func TestDeadlyTasksThatStartTogetherAreGivenUp(t *testing.T) {
	const deadly = 6
	c := newCluster(t, 41, 24)
	c.downTime = 3000
	id := submission("a-1", 1, deadly).Job.ID
	for k := range deadly {
		c.deadly[TaskName(id, 0, k)] = 30 + clock.Millis(k)*3
	}
	c.addLeader(1, 256)
	c.advance(50)
	c.renewLeases(1, "a-1", 1)
	s := c.submit(1, "a-1", 1, deadly)
	c.advance(20000)
	for k := range deadly {
		// The first two crashes of each may have had a cause in common.
		if got := c.crashCounts[TaskName(id, 0, k)]; got > 3 {
			t.Errorf("task %d: got %d crashes, want 3 at most", k, got)
		}
	}
	if _, ok := c.outcomes[s.Key].(job.Failed); !ok {
		t.Errorf("got outcome %v, want a failed job", c.outcomes[s.Key])
	}
}

// Guards against a suspect that starts beside other tasks since its crash became known while it had an attempt, and
// the waiting tasks of its job had been found to be none.
func TestSuspectThatHadAnAttemptRunsAlone(t *testing.T) {
	c := newCluster(t, 47, 2)
	l := c.addLeader(1, 256).leader
	c.advance(50)
	c.duration = func(n job.TaskName) clock.Millis {
		if n[len(n)-len("0.0.0")-2] == '2' {
			return 300
		}
		return clock.Minute
	}
	c.renewLeases(1, "a-1", 1, 2)
	for seq := uint64(1); seq <= 2; seq++ {
		s := submission("a-1", seq, 2)
		s.Job.Steps[0].PerEndpoint = 1
		// The job stays queued, since this step waits.
		s.Job.Steps = append(s.Job.Steps, job.Step{Tasks: 1, Demand: s.Job.Steps[0].Demand, After: []int{0}})
		s.Part, s.Limit = true, clock.Minute
		c.deliver(1, Submitted{Submission: s})
	}
	c.advance(50)
	suspect := l.jobs[submission("a-1", 1, 1).Key].tasks[0]
	l.crashes.Add(crash.Record{ID: crash.ID{Endpoint: "x0", Incarnation: 1}, Shard: "centro", Tasks: []job.TaskName{suspect.name}, Abrupt: true, Proved: true}, c.now)
	// The tasks of the second job end, so that each endpoint has room beside a task of the first one.
	c.advance(400)
	suspect.job.Job.Steps[0].PerEndpoint = 0
	l.endAttempt(suspect, EndStopDuration{})
	l.dispatch()
	if ep := suspect.endpoint; ep == nil || ep.suspect != suspect || len(ep.tasks) != 1 {
		t.Errorf("got the suspect at endpoint %+v, want it alone at one that is held for it", ep)
	}
}
