package node

import (
	"fmt"
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/control/leader"
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// Guards against a cancellation that is acknowledged although it would be lost with the VMs that have heard of it,
// and against one that is refused although the store is back in time.
func TestCancellationIsConfirmedOnceStored(t *testing.T) {
	for _, tt := range []struct {
		name    string
		downFor clock.Millis
		want    string
	}{
		{"store answers", 0, "confirmed"},
		{"store down for a moment", 300, "confirmed"},
		{"store down", 2 * clock.Second, "not confirmed"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := withLeaders(t)
			h.storedLost = tt.downFor > 0
			done := h.cancel(clock.Second)
			h.confirmCancel("n-1", "norte")
			h.confirmCancel("peer-1", "centro")
			if got, want := state(done), map[bool]string{true: "pending", false: "confirmed"}[h.storedLost]; got != want {
				t.Fatalf("got %s at once, want %s", got, want)
			}
			if tt.downFor == 0 {
				return
			}
			h.advance(min(tt.downFor, 1200))
			h.storedLost = tt.downFor > 1200
			h.advance(300)
			if got := state(done); got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
}

// Guards against a job that is started again after all VMs were killed: its cancellation was acknowledged before.
func TestNextLeaderKnowsStoredCancellations(t *testing.T) {
	for _, tt := range []struct {
		name string
		// before and after are whether reads of the store fail at the start of the VM and after its take-over.
		before, after bool
		// listLost means that reads of the list of endpoints fail, too.
		listLost  bool
		leads     bool
		starts    bool
		cancelled bool
	}{
		{name: "read at the take-over", leads: true, starts: true, cancelled: true},
		{name: "not read at the start", before: true, after: true},
		{name: "not read at the take-over", after: true, leads: true},
		{name: "store lost", after: true, listLost: true, leads: true, starts: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			if tt.before {
				h.control.storedCancellations.loaded = 0
			}
			h.storedLost = tt.after
			// Written since the VM has started.
			h.stored["peer-1.1"] = []job.Cancellation{cancelledJob}
			h.storeLost = tt.listLost
			h.handle(StoreReported{Lost: tt.listLost})
			h.handle(EndpointsLoaded{Version: 2, Endpoints: firstList(), ReadAt: h.now})
			h.handle(ReplicaSetsLoaded{ReplicaSets: []shard.ReplicaSet{replicaSet("centro", 5, "me-1", "peer-1")}})
			h.advance(50)
			if got := h.isLeader("centro"); got != tt.leads {
				t.Fatalf("got leader %v, want %v", got, tt.leads)
			}
			if !tt.leads {
				return
			}
			h.answerHolds(nil)
			other := resubmittedJob()
			other.Adopt, other.Key.Seq, other.Job.ID, other.Job.Origin = false, 2, "0000000000000002", cancelledJob.Origin
			h.handle(PeerSubmitted{Shard: "centro", Submission: other, Ended: make(chan job.Outcome, 1)})
			s := resubmittedJob()
			s.Adopt, s.Job.Origin = false, cancelledJob.Origin
			ended := make(chan job.Outcome, 1)
			h.handle(PeerSubmitted{Shard: "centro", Submission: s, Ended: ended})
			h.advance(20)
			started := false
			for _, start := range startedTasks(h) {
				started = started || start.Task == leader.TaskName(other.Job.ID, 0, 0)
			}
			if started != tt.starts {
				t.Errorf("got another job started %v, want %v", started, tt.starts)
			}
			if got := len(ended) == 1 && <-ended == job.Outcome(job.Cancelled{}); got != tt.cancelled {
				t.Errorf("got the job cancelled %v, want %v", got, tt.cancelled)
			}
			h.storedLost = false
			h.advance(cancelLoadRetry + 20)
			if !tt.starts && len(startedTasks(h)) == 0 {
				t.Errorf("got no start after the store has answered, want one")
			}
		})
	}
}

// Guards against a leader that waits for a read whose answer is lost until that times out.
func TestOverdueReadOfCancellationsIsRepeated(t *testing.T) {
	h := leaderOfCentro(t)
	h.storeLost = false
	h.handle(StoreReported{})
	first := h.control.loadCancellations()
	h.control.ledShards["centro"].cancellations = first
	h.advance(cancelLoadPatience + 20)
	if got := takeActions[LoadCancellations](h); len(got) != 1 || got[0].Load <= first {
		t.Errorf("got the reads %v, want one more", got)
	}
	if h.control.ledShards["centro"].cancellations != 0 {
		t.Errorf("got a leader that waits for the first read, want the second to do")
	}
}

// Guards against a burst of cancellations that takes the rate of the store, and against rows that stay.
func TestRowsOfCancellations(t *testing.T) {
	h := withLeaders(t)
	h.stored["former-1.7"] = []job.Cancellation{{Job: "00000000000000ff", Origin: "h/q/"}}
	h.control.loadCancellations()
	h.handle(CancellationsLoaded{Load: h.control.storedCancellations.requested, Rows: h.stored, OK: true})
	const count = 250
	done := make(chan CancelOutcome, count)
	for i := range count {
		c := job.Cancellation{Job: job.ID(fmt.Sprintf("%016x", i)), Origin: "h/q/"}
		h.handle(CancelRequested{Cancellation: c, Limit: clock.Second, Done: done})
		h.handle(CancelAnswered{Cancellation: c, From: "peer-1", Answer: CancelAnswer{Led: []shard.ID{"centro"}}})
		h.handle(CancelAnswered{Cancellation: c, From: "n-1", Answer: CancelAnswer{Led: []shard.ID{"norte"}}})
	}
	h.advance(3*minSaveInterval + 20)
	if got, want := len(takeActions[SaveCancellations](h)), 4; got != want {
		t.Errorf("got %d writes, want %d: the first cancellation, and the others in rows of 100", got, want)
	}
	if len(done) != count {
		t.Errorf("got %d of %d cancellations answered", len(done), count)
	}
	h.advance(cancelRetention - clock.Second)
	if got, want := len(h.stored), 5; got != want {
		t.Errorf("got %d rows, want %d before the time of the first is over", got, want)
	}
	h.advance(2 * removalInterval)
	if got, want := len(h.stored), 1; got != want {
		t.Errorf("got %d rows, want %d: that of another VM", got, want)
	}
	h.advance(cancelRetention)
	if got := len(h.stored); got != 0 {
		t.Errorf("got %d rows at the end, want none", got)
	}
}

// Guards against a leader that starts a job whose cancellation was confirmed without it: while its shard had no
// endpoints, or while it was cut off from the store. One that has read the list all the while reads nothing again.
func TestLeaderReadsCancellationsAgain(t *testing.T) {
	for _, tt := range []struct {
		name string
		// lists are those before the last one, a second apart, and silence is how long none was read after them.
		lists   [][]endpoint.Endpoint
		silence clock.Millis
		want    bool
	}{
		{"list read all the while", [][]endpoint.Endpoint{firstList(), firstList(), firstList(), firstList()}, clock.Second, false},
		{"no endpoints", [][]endpoint.Endpoint{nil, nil, nil, nil}, clock.Second, true},
		{"endpoints missing for a moment", [][]endpoint.Endpoint{nil, nil}, clock.Second, false},
		{"list not read", nil, 4 * clock.Second, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := leaderOfCentro(t)
			read := func(all []endpoint.Endpoint) {
				h.handle(EndpointsLoaded{Version: h.control.endpointsVersion + 1, Endpoints: all, ReadAt: h.now})
			}
			read(firstList())
			for _, all := range tt.lists {
				h.advance(clock.Second)
				read(all)
			}
			h.advance(tt.silence)
			h.stored["peer-1.1"] = []job.Cancellation{cancelledJob}
			read(firstList())
			s := resubmittedJob()
			s.Adopt, s.Job.Origin = false, cancelledJob.Origin
			ended := make(chan job.Outcome, 1)
			h.handle(PeerSubmitted{Shard: "centro", Submission: s, Ended: ended})
			if got := len(ended) == 1 && <-ended == job.Outcome(job.Cancelled{}); got != tt.want {
				t.Errorf("got the job cancelled %v, want %v", got, tt.want)
			}
		})
	}
}
