package leader

import (
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// startingTask returns a leader whose only endpoint has been sent a start that is not answered yet.
func startingTask(t *testing.T) (*cluster, *Leader, *endpointState, *task) {
	t.Helper()
	c := newCluster(t, 36, 1)
	c.endpoints["e00"].clockStart = 500_000
	f := c.addLeader(1, 256)
	c.advance(50)
	s := submission("a-1", 1, 1)
	s.Part, s.Limit = true, 20*clock.Second
	f.stopped = true
	f.leader.Handle(c.now, Submitted{Submission: s})
	started := f.leader.activeTasks[TaskName(s.Job.ID, 0, 0)]
	if started == nil || started.phase != starting {
		t.Fatalf("got task %+v, want it starting", started)
	}
	return c, f.leader, f.leader.endpoints["e00"], started
}

// Guards against an attempt of a restarted endpoint that counts as stopped because the earlier
// incarnation has acknowledged a stop.
func TestStopOfTheFormerIncarnationStopsNothing(t *testing.T) {
	c, l, ep, task := startingTask(t)
	before := l.sequence
	c.crash(c.endpoints["e00"])
	l.Handle(c.now+1, HoldEnded{Endpoint: ep.ID, Kind: Watch, Sequence: before, Report: c.statusReport(c.endpoints["e00"])})
	acknowledged := StopEnded{Endpoint: ep.ID, Task: task.name, Attempt: task.attempt, Sequence: before, Acknowledged: true}
	l.Handle(c.now+2, acknowledged)
	if task.phase != stopping || task.stopAckedAt != 0 {
		t.Errorf("got phase %v, acknowledged at %d, want the stop not acknowledged", task.phase, task.stopAckedAt)
	}
	acknowledged.Sequence = ep.tokenSeq
	l.Handle(c.now+3, acknowledged)
	if task.stopAckedAt != c.now+3 {
		t.Errorf("got the stop under the present token acknowledged at %d, want %d", task.stopAckedAt, c.now+3)
	}
}

// Guards against a leader that steps down because an endpoint that has accepted its raised token
// rejects a start under the former one.
func TestStartUnderTheFormerTokenEndsNoLeadership(t *testing.T) {
	for _, tt := range []struct {
		name   string
		raised bool
	}{{"present token", false}, {"former token", true}} {
		t.Run(tt.name, func(t *testing.T) {
			c, l, ep, task := startingTask(t)
			if tt.raised {
				l.SetToken(firstEpoch(257))
			}
			fenced := false
			for _, a := range l.Handle(c.now+1, StartEnded{Endpoint: ep.ID, Task: task.name, Attempt: task.attempt, SentTo: 1, Result: endpoint.Rejected{Reason: endpoint.RejectedFenced}}) {
				_, ok := a.(Fenced)
				fenced = fenced || ok
			}
			if fenced == tt.raised {
				t.Errorf("got fenced %v, want %v", fenced, !tt.raised)
			}
		})
	}
}

// Guards against an attempt that counts as confirmed by the known incarnation although the clock in
// the answer shows that a later one has started it, and against leases by the earlier clock.
func TestStartAnsweredByALaterIncarnation(t *testing.T) {
	c, l, ep, task := startingTask(t)
	reading := ep.clockReading
	l.Handle(c.now+1, StartEnded{Endpoint: ep.ID, Task: task.name, Attempt: task.attempt, SentTo: 1, Result: endpoint.Started{}, Clock: 20})
	if task.phase != starting || task.uncertainSeq == 0 || ep.clockReading != reading {
		t.Errorf("got phase %v and clock %d, want the start uncertain and clock %d", task.phase, ep.clockReading, reading)
	}
	l.Handle(c.now+2, EndpointsListed{Complete: true, Endpoints: []endpoint.Endpoint{{ID: ep.ID, Born: 2, Service: testService, DataCentre: "centro", Capacity: ep.Capacity}}})
	if until, ok := l.leaseUntil(ep); ok {
		t.Errorf("got a lease until %d by the clock of the earlier incarnation, want none", until)
	}
}

// Guards against an attempt that counts as ended before its lease is over: no incarnation that the
// leader knows of has confirmed the start.
func TestUnconfirmedStartExpiresLater(t *testing.T) {
	c, l, ep, task := startingTask(t)
	timeouts := testTimeouts()
	sent := task.startedAt
	for _, tt := range []struct {
		at      clock.Millis
		expired bool
	}{{sent + timeouts.attemptLeaseExpiry(), false}, {sent + timeouts.cappedLeaseExpiry() - 1, false}, {sent + timeouts.cappedLeaseExpiry(), true}} {
		l.now = tt.at
		if got := l.attemptExpired(task, ep); got != tt.expired {
			t.Errorf("%d ms after the start was issued: got expired %v, want %v", tt.at-sent, got, tt.expired)
		}
	}
	l.now = c.now
	l.confirmRunning(task)
	l.now = max(ep.leaseSentAt, sent) + timeouts.attemptLeaseExpiry()
	if !l.attemptExpired(task, ep) {
		t.Errorf("got a confirmed attempt not expired %d ms after the last extension, want it expired", timeouts.attemptLeaseExpiry())
	}
}
