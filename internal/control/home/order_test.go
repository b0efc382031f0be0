package home

import (
	"strconv"
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// The queues of a deployment whose operator ranks short urgent jobs above longer ones.
const (
	urgentQueue = "urgent"
	plainQueue  = "plain"

	urgentTakes = clock.Millis(50)
	plainTakes  = clock.Millis(170)
	// firstUrgent is the number of the first urgent job; those below it are plain.
	firstUrgent = 1000
)

func prioritizedState() *queue.State {
	return queue.NewState(2, []queue.Queue{
		{Name: urgentQueue, Host: "h", Path: "/u/", Service: testService, MaxAttempts: 3, Stretch: 1.6, Allowance: 60, Priority: 0},
		{Name: plainQueue, Host: "h", Path: "/p/", Service: testService, MaxAttempts: 3, Stretch: 1.6, Allowance: 60, Priority: 1},
	}, map[queue.ServiceName]queue.Service{testService: {Name: testService, GuardsRoom: true}}, queue.Limits{})
}

// newPrioritizedWorld has a home with urgent and plain queues and room for two tasks at each
// endpoint.
func newPrioritizedWorld(t *testing.T, endpoints int) *world {
	t.Helper()
	w := newWorld(t, 5, endpoints)
	w.takes = func(n job.TaskName) clock.Millis {
		seq, err := strconv.ParseUint(string(n[:16]), 16, 64)
		if err != nil {
			t.Fatal(err)
		}
		if seq >= firstUrgent {
			return urgentTakes
		}
		return plainTakes
	}
	w.addHome(1, 256)
	w.tell(1, DesiredState{State: prioritizedState()})
	w.advance(50)
	w.wantAll()
	return w
}

// wantAll keeps all jobs of the only entry VM wanted.
func (w *world) wantAll() {
	w.tell(1, Interest{Entry: "a-1", Sent: w.now})
	w.after(100, w.wantAll)
}

func (w *world) submitPlain(seq uint64, tasks int) {
	s := submission("a-1", seq, tasks)
	s.Job.Queue, s.Job.Steps[0].Estimate = plainQueue, plainTakes
	w.tell(1, Submitted{Submission: s})
}

func (w *world) submitUrgent(seq uint64, tasks int) {
	s := submission("a-1", seq, tasks)
	s.Job.Queue, s.Job.Steps[0].Estimate = urgentQueue, urgentTakes
	w.tell(1, Submitted{Submission: s})
}

func (w *world) outcome(seq uint64) string {
	return outcomeOf(w.outcomes[job.Key{Entry: "a-1", Seq: seq}])
}

// Pattern: a crest of longer jobs of a lower priority holds all room and waits for more, and a
// wide urgent job comes. Guards against an urgent job that is refused because jobs that the
// operator ranks below it came first.
func TestUrgentJobPassesPlainOnes(t *testing.T) {
	w := newPrioritizedWorld(t, 6)
	for seq := uint64(1); seq <= 6; seq++ {
		// Two tasks end every 20 ms, from 170 ms on.
		w.advance(20)
		w.submitPlain(seq, 2)
	}
	for seq := uint64(7); seq <= 10; seq++ {
		w.submitPlain(seq, 2)
	}
	w.advance(65)
	w.submitUrgent(firstUrgent, 4)
	w.advance(400)
	if got, want := w.outcome(firstUrgent), "job.Completed"; got != want {
		t.Errorf("urgent job: got %s, want %s", got, want)
	}
}

// Pattern: urgent jobs come without end and faster than they can be served. Guards against
// plain jobs that are starved by them.
func TestPlainJobsAreNotStarved(t *testing.T) {
	w := newPrioritizedWorld(t, 6)
	served := 0
	for n := uint64(0); n < 100; n++ {
		// Twelve slots do 6 urgent tasks in 25 ms; 10 come.
		for k := range uint64(10) {
			w.submitUrgent(firstUrgent+10*n+k, 1)
		}
		w.submitPlain(n+1, 1)
		w.advance(25)
	}
	w.advance(1000)
	for n := uint64(0); n < 100; n++ {
		if w.outcome(n+1) == "job.Completed" {
			served++
		}
	}
	if got, want := served, 10; got < want {
		t.Errorf("plain jobs served: got %d of 100, want at least %d", got, want)
	}
}
