package leader

import (
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// lateStartAfterRestart plays the failure of the fault soak with seed 1: a start gets no answer, its stop
// is acknowledged and the job ends; the caller sends the job again and its task starts at the other
// endpoint; then the first endpoint restarts under its ID, and the start arrives after the given time.
// It returns how many attempts of the task run at the same time.
func lateStartAfterRestart(t *testing.T, arrivesAfter clock.Millis, options ...func(*cluster)) int {
	t.Helper()
	c := newCluster(t, 48, 2)
	for _, o := range options {
		o(c)
	}
	for _, e := range c.endpoints {
		e.clockStart = 500_000
	}
	c.addLeader(1, 256)
	c.advance(50)
	c.duration = func(job.TaskName) clock.Millis { return 700 }
	var late *Start
	var first *fakeEndpoint
	c.fault = func(_ int, id datacentre.EndpointID, a Action) delivery {
		if s, ok := a.(Start); ok && late == nil {
			late, first = &s, c.endpoints[id]
			return delivery{lost: true}
		}
		return delivery{}
	}
	s := submission("a-1", 1, 1)
	s.Part = true
	c.renewLeases(1, "a-1", 1)
	c.deliver(1, Submitted{Submission: s})
	c.advance(200)
	c.deliver(1, Cancelled{Cancellation: job.Cancellation{Job: s.Job.ID}})
	c.advance(1300)

	again := submission("b-1", 2, 1)
	again.Job.ID, again.Part = s.Job.ID, true
	c.renewLeases(1, "b-1", 2)
	c.leaders[1].leader.endpoints[first.ID].blockedUntil = c.now + 100
	c.deliver(1, Submitted{Submission: again})
	c.advance(35)
	if other := c.endpointOf(TaskName(s.Job.ID, 0, 0)); other == nil || other == first {
		t.Fatalf("got the second submission running at %v, want it at the other endpoint", other)
	}
	c.crash(first)
	watch := HoldEnded{Endpoint: first.ID, Kind: Watch, Sequence: c.leaders[1].leader.sequence, Rejection: HoldClosed}
	c.schedule(oneWayDelay, func() { c.deliver(1, watch) })
	running := 0
	c.schedule(arrivesAfter, func() {
		c.start(first, *late)
		for _, e := range c.sortedEndpoints {
			running += len(e.attempts)
		}
	})
	c.advance(200)
	return running
}

// Guards against a start that is carried out by the next incarnation of its endpoint although the leader
// has noticed the restart: the first request to the new incarnation has to fence it.
func TestFirstRequestFencesLateStartsAfterARestart(t *testing.T) {
	firstRequestArrives := 2 * oneWayDelay
	for _, after := range []clock.Millis{firstRequestArrives + 1, 4, 8, 20, 100} {
		if got, want := lateStartAfterRestart(t, after), 1; got != want {
			t.Errorf("start carried out %d ms after the restart: got %d attempts at the same time, want %d", after, got, want)
		}
	}
}

// Guards against a start that the next incarnation of its endpoint carries out before any leader has
// contacted it: no token fences it there, so it must not reach that incarnation.
func TestLateStartBeforeTheFirstRequestAfterARestart(t *testing.T) {
	if got, want := lateStartAfterRestart(t, 0, func(c *cluster) { c.boundConnections = true }), 1; got != want {
		t.Errorf("got %d attempts of a task at the same time, want %d", got, want)
	}
}
