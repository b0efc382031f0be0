package leader

import (
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// Guards against jobs that are not completed, or are completed later than callers accept, although
// there is no fault.
func TestJobsWithoutFaults(t *testing.T) {
	c := newCluster(t, 1, 6)
	c.addLeader(1, 256)
	c.advance(50)
	c.renewLeases(1, "a-1", 1, 2)
	c.deliver(1, Submitted{Submission: submission("a-1", 1, 8)})
	c.deliver(1, Submitted{Submission: submission("a-1", 2, 2)})
	c.advance(200)
	for seq := uint64(1); seq <= 2; seq++ {
		k := job.Key{Entry: "a-1", Seq: seq}
		if got, want := outcomeName(c.outcomes[k]), "job.Completed"; got != want {
			t.Errorf("job %d: got %s, want %s", seq, got, want)
		}
		if got, want := c.endedAt[k]-1_000_050, clock.Millis(70); got > want {
			t.Errorf("job %d: got an answer after %d ms, want at most %d ms", seq, got, want)
		}
	}
}

// Guards against concurrent attempts of a task, jobs that are answered as complete although they
// are not, and jobs that never end, when a request fails in any way that the platform describes.
func TestRequestsThatFail(t *testing.T) {
	faults := map[string]func(a Action) delivery{
		"start lost":                func(a Action) delivery { _, ok := a.(Start); return delivery{lost: ok} },
		"start's answer lost":       func(a Action) delivery { _, ok := a.(Start); return delivery{answerLost: ok} },
		"start carried out late":    func(a Action) delivery { return delayStart(a, 2000) },
		"start late, before expiry": func(a Action) delivery { return delayStart(a, 300) },
		"start's answer late":       func(a Action) delivery { return delayStartAnswer(a, 60) },
		"hold's answer lost":        func(a Action) delivery { _, ok := a.(Hold); return delivery{answerLost: ok} },
		"everything lost":           func(Action) delivery { return delivery{lost: true} },
		"all answers lost":          func(Action) delivery { return delivery{answerLost: true} },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 2, 4)
			c.addLeader(1, 256)
			c.advance(50)
			c.renewLeases(1, "a-1", 1)
			from := c.now
			c.fault = func(_ int, e datacentre.EndpointID, a Action) delivery {
				if e != "e00" || c.now-from > 1000 {
					return delivery{}
				}
				return fault(a)
			}
			c.deliver(1, Submitted{Submission: submission("a-1", 1, 8)})
			c.advance(3500)
			if got, want := outcomeName(c.outcomes[job.Key{Entry: "a-1", Seq: 1}]), "job.Completed"; got != want {
				t.Errorf("got %s, want %s", got, want)
			}
			if got, want := c.maxConcurrentAttempts, 1; got != want {
				t.Errorf("got %d concurrent attempts of a task, want %d", got, want)
			}
		})
	}
}

func delayStart(a Action, d clock.Millis) delivery {
	if _, ok := a.(Start); ok {
		return delivery{delay: d}
	}
	return delivery{}
}

// delayStartAnswer delays the answer to a start that is carried out at once.
func delayStartAnswer(a Action, d clock.Millis) delivery {
	if _, ok := a.(Start); ok {
		return delivery{answerDelay: d}
	}
	return delivery{}
}

// Guards against attempts that are stopped, or started elsewhere, when only the answer to their
// start is late.
func TestLateAnswersToStartsStopNothing(t *testing.T) {
	for _, late := range []clock.Millis{25, 40, 200} {
		c := newCluster(t, 3, 4)
		c.addLeader(1, 256)
		c.advance(50)
		c.renewLeases(1, "a-1", 1)
		c.fault = func(_ int, _ datacentre.EndpointID, a Action) delivery { return delayStartAnswer(a, late) }
		c.deliver(1, Submitted{Submission: submission("a-1", 1, 8)})
		c.advance(400)
		if got, want := len(c.starts), 8; got != want {
			t.Fatalf("answers %d ms late: got %d tasks started, want %d", late, got, want)
		}
		for name, n := range c.starts {
			if n != 1 {
				t.Errorf("answers %d ms late: got %d starts of %s, want 1", late, n, name)
			}
		}
		k := job.Key{Entry: "a-1", Seq: 1}
		if got, want := c.endedAt[k]-1_000_050, clock.Millis(90); outcomeName(c.outcomes[k]) != "job.Completed" || got > want {
			t.Errorf("answers %d ms late: got %s after %d ms, want it completed within %d ms", late, outcomeName(c.outcomes[k]), got, want)
		}
	}
}

// Guards against tasks that wait for an endpoint that has crashed, has restarted or makes no
// progress.
func TestEndpointsThatFail(t *testing.T) {
	faults := map[string]func(c *cluster, e *fakeEndpoint){
		"down permanently": func(_ *cluster, e *fakeEndpoint) { e.down = true },
		"restarted":        func(c *cluster, e *fakeEndpoint) { c.crash(e) },
		"stalling": func(_ *cluster, e *fakeEndpoint) {
			for _, attempt := range e.attempts {
				attempt.stalled = true
			}
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 3, 4)
			c.addLeader(1, 256)
			c.advance(50)
			c.renewLeases(1, "a-1", 1)
			c.deliver(1, Submitted{Submission: submission("a-1", 1, 4)})
			c.advance(20)
			for _, id := range []datacentre.EndpointID{"e00", "e01"} {
				fault(c, c.endpoints[id])
			}
			c.advance(1500)
			if got, want := outcomeName(c.outcomes[job.Key{Entry: "a-1", Seq: 1}]), "job.Completed"; got != want {
				t.Errorf("got %s, want %s", got, want)
			}
			if got, want := c.maxConcurrentAttempts, 1; got != want {
				t.Errorf("got %d concurrent attempts of a task, want %d", got, want)
			}
		})
	}
}

// Guards against an endpoint that fails every attempt at once and therefore always has free
// capacity.
func TestFailingEndpointIsEjected(t *testing.T) {
	c := newCluster(t, 4, 6)
	c.endpoints["e00"].failing = true
	c.addLeader(1, 256)
	c.advance(50)
	var seqs []uint64
	for seq := uint64(1); seq <= 40; seq++ {
		seqs = append(seqs, seq)
	}
	c.renewLeases(1, "a-1", seqs...)
	for _, seq := range seqs {
		c.deliver(1, Submitted{Submission: submission("a-1", seq, 2)})
		c.advance(20)
	}
	c.advance(500)
	for _, seq := range seqs {
		if got, want := outcomeName(c.outcomes[job.Key{Entry: "a-1", Seq: seq}]), "job.Completed"; got != want {
			t.Errorf("job %d: got %s, want %s", seq, got, want)
		}
	}
	if got := c.decisions[EndpointEjected]; got == 0 {
		t.Errorf("got no ejection, want one")
	}
	if got, want := c.decisions[AttemptFailed], 6; got > want {
		t.Errorf("got %d failed attempts, want at most %d", got, want)
	}
}

// Guards against speed estimates that converge only half-way, so that long tasks go to slow
// endpoints.
func TestSpeedEstimates(t *testing.T) {
	c := newCluster(t, 12, 4)
	want := map[datacentre.EndpointID]float64{"e00": 0.55, "e01": 1.2, "e02": 1.2, "e03": 1.2}
	for id, s := range want {
		c.endpoints[id].speed = s
	}
	l := c.addLeader(1, 256).leader
	c.advance(50)
	for seq := uint64(1); seq <= 60; seq++ {
		c.renewLeases(1, "a-1", seq)
		c.deliver(1, Submitted{Submission: submission("a-1", seq, 8)})
		c.advance(150)
	}
	ratio := l.endpoints["e01"].speed.factor() / l.endpoints["e00"].speed.factor()
	if want := 1.2 / 0.55; ratio < 0.8*want || ratio > 1.2*want {
		t.Errorf("got a ratio of %.2f between the speeds of two endpoints, want %.2f", ratio, want)
	}
}

// Guards against urgent jobs that are late because one message is lost: a start, the answer to a
// start, or the answer to a watch that reports the end.
func TestLostAnswersAreNoticedInTime(t *testing.T) {
	faults := map[string]func(a Action) delivery{
		"start":          func(a Action) delivery { _, ok := a.(Start); return delivery{lost: ok} },
		"start's answer": func(a Action) delivery { _, ok := a.(Start); return delivery{answerLost: ok} },
		"watch's answer": func(a Action) delivery {
			hold, ok := a.(Hold)
			return delivery{answerLost: ok && hold.Kind == Watch}
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 13, 6)
			c.addLeader(1, 256)
			c.advance(50)
			c.renewLeases(1, "a-1", 1)
			lost := false
			c.fault = func(_ int, _ datacentre.EndpointID, a Action) delivery {
				d := fault(a)
				if lost || !d.lost && !d.answerLost {
					return delivery{}
				}
				lost = true
				return d
			}
			from := c.now
			c.deliver(1, Submitted{Submission: submission("a-1", 1, 8)})
			c.advance(1000)
			k := job.Key{Entry: "a-1", Seq: 1}
			if got, want := c.endedAt[k]-from, testState().Queue(testQueue).Objective(50); got > want || c.outcomes[k] == nil {
				t.Errorf("got %s after %d ms, want an answer within %d ms", outcomeName(c.outcomes[k]), got, want)
			}
		})
	}
}

// Guards against endless retries of a task that can never succeed.
func TestTaskThatAlwaysFails(t *testing.T) {
	c := newCluster(t, 5, 4)
	for _, e := range c.endpoints {
		e.failing = true
	}
	c.addLeader(1, 256)
	c.advance(50)
	c.renewLeases(1, "a-1", 1)
	c.deliver(1, Submitted{Submission: submission("a-1", 1, 1)})
	c.advance(500)
	if got, want := outcomeName(c.outcomes[job.Key{Entry: "a-1", Seq: 1}]), "job.Failed"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if got, want := c.starts[TaskName("0000000000000001", 0, 0)], 3; got != want {
		t.Errorf("got %d starts, want the queue's %d attempts", got, want)
	}
}

// Guards against attempts that outlast their caller: after a broken connection the caller resends
// the job, and the attempts of the first submission must have ended by then.
func TestAttemptsEndWithTheirEntryVM(t *testing.T) {
	for name, freeze := range map[string]bool{"entry VM stops renewing": false, "leader freezes as well": true} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 6, 2)
			c.duration = func(job.TaskName) clock.Millis { return 5000 }
			f := c.addLeader(1, 256)
			c.advance(50)
			c.deliver(1, JobLeasesRenewed{Entry: "a-1", Sent: c.now, Waiting: []uint64{1}, LastSeq: 1})
			c.deliver(1, Submitted{Submission: submission("a-1", 1, 2)})
			c.advance(200)
			c.deliver(1, JobLeasesRenewed{Entry: "a-1", Sent: c.now, Waiting: []uint64{1}, LastSeq: 1})
			lastRenewal := c.now
			if freeze {
				c.advance(testTimeouts().JobLease - 20)
				f.frozenUntil = c.now + 5000
			}
			c.advance(lastRenewal + testTimeouts().AttemptsExpireAfter() - c.now)
			for id, e := range c.endpoints {
				if got := len(e.attempts); got != 0 {
					t.Errorf("%s: got %d attempts, want none", id, got)
				}
			}
		})
	}
}

// Guards against timeouts that add up to more than the time after which callers resend a job.
func TestAttemptsEndBeforeJobsAreResent(t *testing.T) {
	for _, tt := range []struct {
		lease, stop, resend clock.Millis
		usable              bool
	}{{1000, 50, 1300, true}, {1000, 50, 2000, true}, {1000, 50, 700, true}, {400, 200, 1300, true}, {5000, 20, 4000, true}, {1000, 300, 700, false}, {100, 50, 1300, false}} {
		timeouts := DefaultTimeouts(tt.lease, tt.stop, tt.resend, 2000)
		if got, want := timeouts.AttemptsExpireAfter(), tt.resend-100; got > want && tt.usable {
			t.Errorf("%+v: got attempts for %d ms, want at most %d ms", tt, got, want)
		}
		if got, want := timeouts.EarlierAttemptsExpireAfter(), tt.resend; got > want && tt.usable {
			t.Errorf("%+v: got attempts of earlier leaders for %d ms, want at most %d ms", tt, got, want)
		}
		if timeouts.AttemptLease > tt.lease {
			t.Errorf("%+v: got a lease of %d ms, want no longer one than endpoints grant", tt, timeouts.AttemptLease)
		}
		if got := timeouts.Validate() == nil; got != tt.usable {
			t.Errorf("%+v: got bounds accepted %v, want %v", tt, got, tt.usable)
		}
	}
}

// Guards against a job that continues after its caller has disconnected, and against one that is
// abandoned because a renewal that was sent before it arrived does not list it.
func TestJobLeases(t *testing.T) {
	c := newCluster(t, 7, 4)
	c.duration = func(job.TaskName) clock.Millis { return 1000 }
	c.addLeader(1, 256)
	c.advance(50)
	early := c.now
	c.advance(5)
	c.deliver(1, Submitted{Submission: submission("a-1", 1, 2)})
	c.deliver(1, Submitted{Submission: submission("a-1", 2, 2)})
	c.deliver(1, JobLeasesRenewed{Entry: "a-1", Sent: early, Waiting: nil, LastSeq: 2})
	c.advance(10)
	if got := len(c.outcomes); got != 0 {
		t.Errorf("renewal sent before the jobs arrived: got %d ended, want none", got)
	}
	c.deliver(1, JobLeasesRenewed{Entry: "a-1", Sent: c.now, Waiting: []uint64{2}, LastSeq: 2})
	c.advance(80)
	if got, want := outcomeName(c.outcomes[job.Key{Entry: "a-1", Seq: 1}]), "stopped callerGone"; got != want {
		t.Errorf("job without a waiting caller: got %s, want %s", got, want)
	}
	if got := c.outcomes[job.Key{Entry: "a-1", Seq: 2}]; got != nil {
		t.Errorf("job with a waiting caller: got %s, want none yet", outcomeName(got))
	}
}

// Guards against a message that was delayed in the network and would run a job that its caller has
// long resent.
func TestDelayedSubmissionIsRefused(t *testing.T) {
	c := newCluster(t, 8, 2)
	c.addLeader(1, 256)
	c.advance(50)
	s := submission("a-1", 1, 2)
	s.Expires = c.now - 1
	c.deliver(1, Submitted{Submission: s})
	c.advance(100)
	if got, want := outcomeName(c.outcomes[s.Key]), "refused messageHeldUp"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if got := len(c.starts); got != 0 {
		t.Errorf("got %d tasks started, want none", got)
	}
}

// Guards against a repeated message that runs a job again.
func TestRepeatedSubmissionGetsTheSameAnswer(t *testing.T) {
	c := newCluster(t, 9, 2)
	c.addLeader(1, 256)
	c.advance(50)
	c.renewLeases(1, "a-1", 1)
	s := submission("a-1", 1, 2)
	c.deliver(1, Submitted{Submission: s})
	c.deliver(1, Submitted{Submission: s})
	c.advance(100)
	delete(c.outcomes, s.Key)
	c.deliver(1, Submitted{Submission: s})
	c.advance(100)
	if got, want := outcomeName(c.outcomes[s.Key]), "job.Completed"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	for name, got := range c.starts {
		if want := 1; got != want {
			t.Errorf("%s: got %d starts, want %d", name, got, want)
		}
	}
}

// Guards against a second concurrent attempt when a status report that was requested before the
// start does not list the first one.
func TestOlderStatusReportEndsNoAttempt(t *testing.T) {
	c := newCluster(t, 10, 2)
	l := c.addLeader(1, 256).leader
	c.advance(50)
	c.renewLeases(1, "a-1", 1)
	c.deliver(1, Submitted{Submission: submission("a-1", 1, 1)})
	c.advance(3)
	var ep *endpointState
	for _, candidate := range l.sortedEndpoints {
		if len(candidate.tasks) > 0 {
			ep = candidate
		}
	}
	c.deliver(1, HoldEnded{Endpoint: ep.ID, Kind: Renewal, Sequence: l.sequence - 3, Report: &endpoint.StatusReport{Incarnation: ep.Born, Clock: ep.earliestClock(c.now)}})
	c.advance(100)
	if got, want := c.starts[TaskName("0000000000000001", 0, 0)], 1; got != want {
		t.Errorf("got %d starts, want %d", got, want)
	}
}

// Guards against starts that do not carry the trace of their job.
func TestStartsCarryTheTrace(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.addLeader(1, 256)
	c.advance(50)
	s := submission("a-1", 1, 1)
	s.Job.Trace = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	started := false
	for _, a := range c.leaders[1].leader.Handle(c.now, Submitted{Submission: s}) {
		if start, ok := a.(Start); ok {
			started = true
			if got, want := start.Trace, s.Job.Trace; got != want {
				t.Errorf("got trace %q, want %q", got, want)
			}
		}
	}
	if !started {
		t.Errorf("got no start, want one")
	}
}
