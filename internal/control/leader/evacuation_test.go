package leader

import (
	"slices"
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/world/evacuation"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// testNotice is the time after a request for which tasks may start.
const testNotice = 3 * clock.Second

// evacuable adds a leader that knows the given status of its data centre and a list of endpoints that stays
// current.
func (c *cluster) evacuable(status *evacuation.Status, storeLost bool) {
	timeouts := testTimeouts()
	timeouts.EvacuationNotice = testNotice
	c.leaders[1] = &fakeLeader{relists: true, leader: New(Config{
		Shard: "centro", Token: firstEpoch(256), Timeouts: timeouts, FarFactor: 1.5, Desired: testState(), Now: c.now, StoreLost: storeLost,
		Evacuation: func() evacuation.Status { return *status },
	})}
	c.list(1)
	c.tick(1)
	c.renewLeases(1, "a-1", 1, 2, 3, 4)
	c.advance(50)
}

// loadsOf reports the free CPU of other shards to the leader.
func (c *cluster) loadsOf(free map[shard.ID]int64) {
	for _, id := range []shard.ID{"norte", "sur"} {
		if cpu, ok := free[id]; ok {
			load := shard.Load{Cell: id, FreeCPU: max(cpu, 0), TotalCPU: 64000, At: c.now}
			load.AddWaiting(0, max(-cpu, 0))
			c.deliver(1, LoadReported{Load: load})
		}
	}
}

// Guards against a start that takes effect later than the notice after the request, whether the leader knows of it
// or not, and whether the store answers or not; against starts that wait although the store is lost, and against
// a wait that nobody ends.
func TestStartsByWhatIsKnownOfTheEvacuation(t *testing.T) {
	const maxAge = testNotice - sendDelay - RequestLifetime
	for _, tt := range []struct {
		name      string
		evacuated bool
		clearAgo  clock.Millis
		storeLost bool
		starts    bool
		refreshes bool
	}{
		{name: "known to be clear", clearAgo: maxAge - 20, starts: true},
		{name: "known long ago", clearAgo: maxAge + 1, refreshes: true},
		{name: "known long ago, store lost", clearAgo: clock.Hour / 10, storeLost: true, starts: true},
		{name: "never known", clearAgo: -1, refreshes: true},
		{name: "never known, store lost", clearAgo: -1, storeLost: true, starts: true},
		{name: "evacuated, in the notice", evacuated: true, clearAgo: maxAge - 20, starts: true},
		{name: "evacuated, notice over", evacuated: true, clearAgo: maxAge + 1},
		{name: "evacuated, notice over, store lost", evacuated: true, clearAgo: maxAge + 1, storeLost: true},
		{name: "evacuated before the VM started", evacuated: true, clearAgo: -1},
		{name: "evacuated before the VM started, store lost", evacuated: true, clearAgo: -1, storeLost: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, 41, 2)
			status := evacuation.Status{ClearAt: c.now}
			c.evacuable(&status, tt.storeLost)
			status = evacuation.Status{Evacuated: tt.evacuated, ClearAt: max(c.now-tt.clearAgo, 0)}
			if tt.clearAgo < 0 {
				status.ClearAt = 0
			}
			s := submission("a-1", 1, 2)
			s.Part = true
			actions := c.leaders[1].leader.Handle(c.now, Submitted{Submission: s})
			if got := slices.ContainsFunc(actions, isStart); got != tt.starts {
				t.Errorf("got a start %v, want %v", got, tt.starts)
			}
			if got := slices.Contains(actions, Action(RefreshEvacuations{})); got != tt.refreshes {
				t.Errorf("got a request for the evacuations %v, want %v", got, tt.refreshes)
			}
		})
	}
}

// Guards against a task that starts in the event right after the end of the notice, before the next tick.
func TestNoStartBetweenTheEndOfTheNoticeAndTheNextTick(t *testing.T) {
	c := newCluster(t, 46, 2)
	status := evacuation.Status{ClearAt: c.now}
	c.evacuable(&status, false)
	status = evacuation.Status{}
	s := submission("a-1", 1, 2)
	s.Part = true
	l := c.leaders[1].leader
	l.Handle(c.now, Submitted{Submission: s})
	status = evacuation.Status{Evacuated: true, ClearAt: c.now - testNotice}
	if got := l.Handle(c.now, JobLeasesRenewed{Entry: "a-1", Sent: c.now, Waiting: []uint64{1}, LastSeq: 1}); slices.ContainsFunc(got, isStart) {
		t.Errorf("got a start after the notice, want none")
	}
}

func isStart(a Action) bool { _, ok := a.(Start); return ok }

// Guards against new jobs that are refused, or run, in an evacuated data centre although another one can take
// them, and against jobs that wait for a refusal that is certain.
func TestNewJobsInAnEvacuatedDataCentre(t *testing.T) {
	for _, tt := range []struct {
		name string
		free map[shard.ID]int64
		// after is when the job arrives, after the notice.
		after clock.Millis
		part  bool
		want  string
	}{
		{name: "capacity in one", free: map[shard.ID]int64{"norte": 20000, "sur": 200000}, want: "to sur"},
		{name: "capacity in both together", free: map[shard.ID]int64{"norte": 64000, "sur": 60000}, want: "divided"},
		{name: "none free", free: map[shard.ID]int64{"norte": -64000, "sur": -30000}, want: "to sur"},
		{name: "no other leader", want: "refused dataCentreEvacuated"},
		{name: "part in the notice", part: true, free: map[shard.ID]int64{"sur": 200000}, want: "job.Completed"},
		{name: "part after the notice", part: true, after: testNotice, free: map[shard.ID]int64{"norte": -64000, "sur": -30000}, want: "to sur"},
		{name: "part after the notice, no other leader", part: true, after: testNotice, want: "refused dataCentreEvacuated"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, 42, 8)
			status := evacuation.Status{ClearAt: c.now}
			c.evacuable(&status, false)
			status = evacuation.Status{Evacuated: true, ClearAt: c.now}
			c.deliver(1, EvacuationChanged{})
			c.advance(tt.after)
			c.loadsOf(tt.free)
			s := submission("a-1", 1, 4)
			s.Part = tt.part
			sent := c.now
			c.deliver(1, Submitted{Submission: s})
			c.advance(100)
			if got := describeOutcome(c.outcomes[s.Key]); got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
			if waited := c.endedAt[s.Key] - sent; tt.want != "job.Completed" && waited > 0 {
				t.Errorf("got an answer after %d ms, want it at once", waited)
			}
		})
	}
}

func describeOutcome(o job.Outcome) string {
	switch o := o.(type) {
	case job.Redirected:
		return "to " + string(o.To)
	case job.Divided:
		return "divided"
	default:
		return outcomeName(o)
	}
}

// Guards against jobs that wait when the request arrives and are refused although there is capacity elsewhere, or
// here before the notice is over; against jobs with started tasks that are cut off at once; and against tasks that
// start after the notice.
func TestWaitingJobsOfAnEvacuatedDataCentre(t *testing.T) {
	for _, tt := range []struct {
		name string
		free map[shard.ID]int64
		// runs is how long a task takes.
		runs clock.Millis
		// wantStarted and wantWaiting are the outcomes of a job with started tasks and of one without.
		wantStarted, wantWaiting string
	}{
		{"capacity elsewhere", map[shard.ID]int64{"sur": 400000}, 400, "job.Completed", "to sur"},
		{"no capacity elsewhere", map[shard.ID]int64{"sur": -64000}, 400, "job.Completed", "job.Completed"},
		{"tasks that outlast the notice", map[shard.ID]int64{"sur": -64000}, testNotice, "stopped dataCentreEvacuated", "to sur"},
		{"tasks that outlast the notice, no other leader", nil, testNotice, "stopped dataCentreEvacuated", "refused dataCentreEvacuated"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, 43, 1)
			c.duration = func(job.TaskName) clock.Millis { return tt.runs }
			status := evacuation.Status{ClearAt: c.now}
			c.evacuable(&status, false)
			submit := func(seq uint64, tasks int, estimate clock.Millis) job.Key {
				s := submission("a-1", seq, tasks)
				s.Job.Steps[0].Estimate, s.Limit = estimate, clock.Minute
				// A part is accepted although not all of its tasks can start.
				s.Part = seq == 1
				c.deliver(1, Submitted{Submission: s})
				return s.Key
			}
			started, waiting := submit(1, 3, clock.Second), submit(2, 2, 10*clock.Second)
			c.advance(10)
			status = evacuation.Status{Evacuated: true, ClearAt: c.now}
			clearAt := c.now
			var late int
			c.fault = func(_ int, _ datacentre.EndpointID, a Action) delivery {
				if isStart(a) && c.now > clearAt+testNotice-sendDelay-RequestLifetime {
					late++
				}
				return delivery{}
			}
			c.loadsOf(tt.free)
			c.deliver(1, EvacuationChanged{})
			for range 2 * testNotice / 100 {
				c.advance(100)
				c.loadsOf(tt.free)
			}
			if got := describeOutcome(c.outcomes[started]); got != tt.wantStarted {
				t.Errorf("job with started tasks: got %s, want %s", got, tt.wantStarted)
			}
			if got := describeOutcome(c.outcomes[waiting]); got != tt.wantWaiting {
				t.Errorf("job that waits: got %s, want %s", got, tt.wantWaiting)
			}
			if late > 0 {
				t.Errorf("got %d starts after the notice, want none", late)
			}
			if got, want := c.decisions[ShardEmptied], 1; got != want {
				t.Errorf("got %d reports of an empty data centre, want %d", got, want)
			}
		})
	}
}

// Guards against a leader that sends jobs to an evacuated data centre, whose capacity is all free.
func TestEvacuatedShardsGetNoJobs(t *testing.T) {
	c := newCluster(t, 44, 1)
	status := evacuation.Status{ClearAt: c.now}
	c.evacuable(&status, false)
	c.deliver(1, LoadReported{Load: shard.Load{Cell: "sur", FreeCPU: 1 << 30, TotalCPU: 1 << 30, Evacuated: true, At: c.now}})
	s := submission("a-1", 1, 8)
	c.deliver(1, Submitted{Submission: s})
	c.advance(1)
	if got, want := describeOutcome(c.outcomes[s.Key]), "refused noRoomInTime"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// Guards against a data centre that stays closed after the request has been taken back, and against a load that
// does not say that it is evacuated.
func TestReturnOfAnEvacuatedDataCentre(t *testing.T) {
	c := newCluster(t, 45, 2)
	status := evacuation.Status{ClearAt: c.now}
	c.evacuable(&status, false)
	for i, evacuated := range []bool{true, false, true, false} {
		status = evacuation.Status{Evacuated: evacuated, ClearAt: c.now}
		c.deliver(1, EvacuationChanged{})
		if got := c.leaders[1].leader.Load(c.now).Evacuated; got != evacuated {
			t.Errorf("step %d: got a load with evacuated %v, want %v", i, got, evacuated)
		}
		s := submission("a-1", uint64(i+1), 2)
		c.deliver(1, Submitted{Submission: s})
		c.advance(100)
		want := "job.Completed"
		if evacuated {
			want = "refused dataCentreEvacuated"
		}
		if got := describeOutcome(c.outcomes[s.Key]); got != want {
			t.Errorf("step %d: got %s, want %s", i, got, want)
		}
	}
}
