package leader

import (
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// Guards against starts for a job whose lease expired while the leader's VM was frozen: the first
// event after the thaw is the answer to a hold, not a tick. The entry VM has handed the job to
// another leader, which relies on the end of the lease. After a short freeze, the leader does not
// wait for its endpoints.
func TestNothingStartsAfterTheJobLeaseExpired(t *testing.T) {
	for _, tt := range []struct {
		name               string
		freezeAt, freezeMs clock.Millis
		duration           clock.Millis
	}{{"long freeze", 0, 1500, 40}, {"short freeze", 200, 250, 300}} {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, 17, 1)
			f := c.addLeader(1, 256)
			c.advance(50)
			c.renewLeases(1, "b-1", 1)
			c.duration = func(job.TaskName) clock.Millis { return tt.duration }
			c.deliver(1, Submitted{Submission: submission("b-1", 1, 2)})
			c.advance(5)
			waiting := submission("a-1", 2, 1)
			waiting.Part, waiting.Limit = true, 20*clock.Second
			c.deliver(1, Submitted{Submission: waiting})
			c.advance(tt.freezeAt)
			name := TaskName(waiting.Job.ID, 0, 0)
			if o, started := c.outcomes[waiting.Key], c.starts[name]; o != nil || started != 0 {
				t.Fatalf("got %s and %d starts, want the job queued", outcomeName(o), started)
			}
			f.frozenUntil = c.now + tt.freezeMs
			c.advance(tt.freezeMs - 1)
			f.stopped = true
			l, e := f.leader, c.endpoints["e00"]
			for _, a := range l.Handle(c.now, HoldEnded{Endpoint: e.ID, Kind: Watch, Sequence: l.sequence, Report: c.statusReport(e)}) {
				if s, ok := a.(Start); ok && s.Task == name {
					t.Errorf("got a start %d ms after the job's last renewal, want none after %d ms", c.now-l.jobs[waiting.Key].receivedAt, testTimeouts().JobLease)
				}
			}
		})
	}
}

// Guards against tasks that run twice after a freeze of a leader: its successor extends the leases
// of the attempts that it finds, beyond the time at which the former leader counts them as expired.
// The successor does not list one endpoint, which therefore has not fenced the former leader.
func TestLeaderRestartsNothingAfterAFreeze(t *testing.T) {
	c := newCluster(t, 16, 2)
	short := submission("own", 2, 2)
	c.duration = func(n job.TaskName) clock.Millis {
		if n[:16] == job.TaskName(short.Job.ID) {
			return 40
		}
		return 760
	}
	old := c.addLeader(1, 256)
	c.advance(50)
	renewed := JobLeasesRenewed{Entry: "own", Sent: c.now, Waiting: []uint64{1, 2}, LastSeq: 2}
	c.deliver(1, renewed)
	c.deliver(1, Submitted{Submission: short})
	c.deliver(1, Submitted{Submission: submission("own", 1, 2)})
	c.advance(55)
	old.frozenUntil = c.now + 650
	// The jobs of the VM's own callers are renewed before the leader's tick.
	renewed.Sent = old.frozenUntil
	c.deliver(1, renewed)
	c.advance(500)
	c.leaders[2] = &fakeLeader{leader: New(Config{Shard: "centro", Token: firstEpoch(257), Timeouts: testTimeouts(), StoreLost: true, FarFactor: 1.5, Desired: testState(), Now: c.now})}
	c.deliver(2, EndpointsListed{Endpoints: []endpoint.Endpoint{c.endpoints["e01"].Endpoint}})
	c.tick(2)
	c.advance(1000)
	if got, want := c.maxConcurrentAttempts, 1; got != want {
		t.Errorf("got %d concurrent attempts of a task, want %d", got, want)
	}
}

// Guards against a leader that raises its token after a later replica set and then relies on
// reports under its former one, although another leader may have started tasks in between.
func TestRaisedTokenHasToBeAccepted(t *testing.T) {
	c := newCluster(t, 15, 4)
	l := c.addLeader(1, 256).leader
	c.advance(50)
	c.leaders[1].stopped = true
	l.SetToken(firstEpoch(257))
	s := submission("a-1", 1, 2)
	s.Adopt = true
	for _, a := range l.Handle(c.now, Submitted{Submission: s}) {
		if start, ok := a.(Start); ok {
			t.Errorf("got a start of %s at %s before any endpoint has accepted the token, want none", start.Task, start.Endpoint.ID)
		}
	}
}

// Guards against a leader that steps down because of its own raised token, or counts it as accepted
// too early: it learns of a restart in the first event after a pause, in which it has sent a request
// under the former token already.
func TestRestartInTheFirstEventAfterAPause(t *testing.T) {
	c := newCluster(t, 17, 1)
	f := c.addLeader(1, 256)
	c.advance(50)
	l, e := f.leader, c.endpoints["e00"]
	f.stopped = true
	c.advance(2000)
	c.crash(e)
	c.advance(100)
	actions := l.Handle(c.now, HoldEnded{Endpoint: e.ID, Kind: Watch, Sequence: l.sequence, Report: c.statusReport(e)})
	for _, a := range actions {
		h, ok := a.(Hold)
		if !ok || h.Token != firstEpoch(256) {
			continue
		}
		for _, a := range l.Handle(c.now+1, HoldEnded{Endpoint: e.ID, Kind: h.Kind, Sequence: h.Sequence, Rejection: HoldFenced}) {
			if _, ok := a.(Fenced); ok {
				t.Errorf("got the leader fenced out by its own raised token, want it to lead")
			}
		}
		l.Handle(c.now+2, HoldEnded{Endpoint: e.ID, Kind: h.Kind, Sequence: h.Sequence, Report: c.statusReport(e)})
		if l.endpoints[e.ID].tokenAccepted() {
			t.Errorf("got the raised token accepted by the answer to a request under the former one")
		}
	}
}

// Guards against attempts that outlast the job of a lost entry VM because the first event after a
// pause extends the leases of jobs that expired during it, and the stops are lost.
func TestPauseExtendsNoLeasesOfExpiredJobs(t *testing.T) {
	c := newCluster(t, 20, 1)
	c.duration = func(job.TaskName) clock.Millis { return 5000 }
	f := c.addLeader(1, 256)
	c.advance(50)
	c.deliver(1, JobLeasesRenewed{Entry: "a-1", Sent: c.now, Waiting: []uint64{1}, LastSeq: 1})
	lastRenewal := c.now
	s := submission("a-1", 1, 1)
	s.Part, s.Limit = true, 20*clock.Second
	c.deliver(1, Submitted{Submission: s})
	c.advance(330)
	f.frozenUntil = c.now + 560
	c.fault = func(_ int, _ datacentre.EndpointID, a Action) delivery {
		_, ok := a.(Stop)
		return delivery{lost: ok}
	}
	c.advance(lastRenewal + 1300 - c.now)
	if e := c.endpoints["e00"]; e.attempts[TaskName(s.Job.ID, 0, 0)] != nil {
		t.Errorf("got an attempt with a lease for another %d ms when the job is resent, want none", e.leaseEnd-e.clock(c.now))
	}
}
