package leader

import (
	"fmt"
	"slices"
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/world/evacuation"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

const (
	testNotice = 3 * clock.Second
	testMaxAge = testNotice - sendDelay - RequestLifetime
)

// evacuable adds a leader that knows the given status of its data centre.
func (c *cluster) evacuable(status *evacuation.Status) *Leader {
	timeouts := testTimeouts()
	timeouts.EvacuationNotice, status.ClearAt = testNotice, c.now
	l := New(Config{
		Shard: "centro", Token: firstEpoch(256), Timeouts: timeouts, FarFactor: 1.5, Desired: testState(), Now: c.now,
		Evacuation: func() evacuation.Status { return *status },
	})
	c.leaders[1] = &fakeLeader{relists: true, leader: l}
	c.list(1)
	c.tick(1)
	c.renewLeases(1, "a-1", 1, 2)
	c.advance(50)
	return l
}

// Guards against a start that takes effect later than the notice after the request, whether the leader knows of it
// or not, also before its next tick; and against starts that wait although the store is lost, or that nobody ends.
func TestStartsByWhatIsKnownOfTheEvacuation(t *testing.T) {
	for _, tt := range []struct {
		evacuated         bool
		clearAgo          clock.Millis
		storeLost, starts bool
	}{
		{clearAgo: testMaxAge, starts: true},
		{clearAgo: testMaxAge + 1},
		{clearAgo: testMaxAge + 1, storeLost: true, starts: true},
		{evacuated: true, clearAgo: testMaxAge, starts: true},
		{evacuated: true, clearAgo: testMaxAge + 1},
		{evacuated: true, clearAgo: testMaxAge + 1, storeLost: true},
		// Evacuated before the VM started.
		{evacuated: true, clearAgo: clock.Hour, storeLost: true},
	} {
		c := newCluster(t, 41, 2)
		var status evacuation.Status
		l := c.evacuable(&status)
		status.ClearAt = 0
		s := submission("a-1", 1, 2)
		s.Part = true
		if held := l.Handle(c.now, Submitted{Submission: s}); !slices.Contains(held, Action(RefreshEvacuations{})) {
			t.Errorf("got no request for the evacuations, want one while they are unknown")
		}
		status = evacuation.Status{Evacuated: tt.evacuated, ClearAt: max(c.now-tt.clearAgo, 0)}
		starts := slices.ContainsFunc(l.Handle(c.now, StoreReported{Lost: tt.storeLost}), func(a Action) bool { _, ok := a.(Start); return ok })
		if starts != tt.starts {
			t.Errorf("%+v: got starts %v", tt, starts)
		}
	}
}

// Guards against jobs that are refused, or run, in an evacuated data centre although another one can take them;
// against a refusal that is certain and does not come at once; and against a data centre that stays closed.
func TestNewJobsInAnEvacuatedDataCentre(t *testing.T) {
	for _, tt := range []struct {
		norte, sur       int64
		others, returned bool
		want             string
	}{
		{20000, 200000, false, false, "job.Redirected{sur}"},
		{64000, 60000, false, false, "job.Divided{[{norte 2} {sur 2}]}"},
		{-64000, -30000, false, false, "job.Redirected{sur}"},
		{200000, 200000, true, false, "job.Refused{dataCentreEvacuated 1000}"},
		{200000, 200000, true, true, "job.Completed{}"},
	} {
		c := newCluster(t, 42, 8)
		var status evacuation.Status
		l := c.evacuable(&status)
		for _, status.Evacuated = range []bool{true, !tt.returned} {
			c.deliver(1, EvacuationChanged{})
		}
		for id, cpu := range map[shard.ID]int64{"norte": tt.norte, "sur": tt.sur} {
			load := shard.Load{Cell: id, FreeCPU: max(cpu, 0), Evacuated: tt.others, At: c.now}
			load.AddWaiting(0, max(-cpu, 0))
			c.deliver(1, LoadReported{Load: load})
		}
		s, sent := submission("a-1", 1, 4), c.now
		c.deliver(1, Submitted{Submission: s})
		c.advance(100)
		got, waited := fmt.Sprintf("%T%v", c.outcomes[s.Key], c.outcomes[s.Key]), c.endedAt[s.Key]-sent
		if got != tt.want || l.Load(c.now).Evacuated == tt.returned || !tt.returned && waited > 0 {
			t.Errorf("%+v: got %s after %d ms", tt, got, waited)
		}
	}
}

// Guards against jobs that wait when the request arrives and are refused although there is capacity elsewhere, or
// here before the notice is over; against jobs with started tasks that are cut off at once; and against a data
// centre that is never reported as empty.
func TestWaitingJobsOfAnEvacuatedDataCentre(t *testing.T) {
	for _, tt := range []struct {
		free                     int64
		runs                     clock.Millis
		wantStarted, wantWaiting string
	}{
		{400000, 400, "job.Completed{}", "job.Redirected{sur}"},
		{0, 400, "job.Completed{}", "job.Completed{}"},
		{0, testNotice, "job.Stopped{dataCentreEvacuated}", "job.Redirected{sur}"},
	} {
		c := newCluster(t, 43, 1)
		c.duration = func(job.TaskName) clock.Millis { return tt.runs }
		var status evacuation.Status
		c.evacuable(&status)
		started, waiting := submission("a-1", 1, 3), submission("a-1", 2, 2)
		started.Part, started.Job.Steps[0].Estimate = true, clock.Second
		waiting.Job.Steps[0].Estimate, waiting.Limit, started.Limit = 10*clock.Second, clock.Minute, clock.Minute
		c.deliver(1, Submitted{Submission: started})
		c.deliver(1, Submitted{Submission: waiting})
		c.advance(10)
		status = evacuation.Status{Evacuated: true, ClearAt: c.now}
		for range 2 * testNotice / 100 {
			c.deliver(1, LoadReported{Load: shard.Load{Cell: "sur", FreeCPU: tt.free, At: c.now}})
			c.advance(100)
		}
		got := fmt.Sprintf("%T%[1]v %T%[2]v", c.outcomes[started.Key], c.outcomes[waiting.Key])
		if got != tt.wantStarted+" "+tt.wantWaiting || c.decisions[ShardEmptied] != 1 {
			t.Errorf("%+v: got %s, reported empty %d times", tt, got, c.decisions[ShardEmptied])
		}
	}
}
