package leader

import (
	"strconv"
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
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
	w.tell(1, JobLeasesRenewed{Entry: "a-1", Sent: w.now})
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

// Pattern: a wide urgent job comes at the crest, when no cell has room for it and all cells
// together are about to give back enough. Guards against a refusal although every task could
// start in time.
func TestWideJobIsDividedByWhatIsAboutToBeFree(t *testing.T) {
	tests := []struct {
		name   string
		others []shard.Load
		want   string
	}{
		{"two cells are about to have room", []shard.Load{
			{Cell: "norte", TotalCPU: 384_000, SoonCPU: 140_000},
			{Cell: "sur", TotalCPU: 384_000, SoonCPU: 140_000},
		}, "job.Divided"},
		{"urgent jobs wait for that room already", []shard.Load{
			{Cell: "norte", TotalCPU: 384_000, SoonCPU: 140_000, Waiting: []shard.Waiting{{Priority: 0, CPU: 140_000}}},
			{Cell: "sur", TotalCPU: 384_000, SoonCPU: 140_000, Waiting: []shard.Waiting{{Priority: 0, CPU: 140_000}}},
		}, "refused noRoomInTime"},
		{"only jobs that come after it wait there", []shard.Load{
			{Cell: "norte", TotalCPU: 384_000, SoonCPU: 140_000, Waiting: []shard.Waiting{{Priority: 1, CPU: 140_000}}},
			{Cell: "sur", TotalCPU: 384_000, SoonCPU: 140_000, Waiting: []shard.Waiting{{Priority: 1, CPU: 140_000}}},
		}, "job.Divided"},
		{"nobody else has room", nil, "refused noRoomInTime"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newPrioritizedWorld(t, 4)
			for seq := uint64(1); seq <= 4; seq++ {
				w.submitPlain(seq, 2)
				w.advance(5)
			}
			w.advance(20)
			for _, l := range tt.others {
				l.At = w.now
				w.tell(1, LoadReported{Load: l})
			}
			w.submitUrgent(firstUrgent, 12)
			if got := w.outcome(firstUrgent); got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
}

// Guards against a home that does not tell others what it is about to give back.
func TestLoadTellsWhatIsAboutToBeFree(t *testing.T) {
	w := newPrioritizedWorld(t, 2)
	w.submitPlain(1, 4)
	w.advance(60)
	w.submitPlain(2, 2)
	w.advance(40)
	before := w.homes[1].home.Load(w.now)
	w.advance(30)
	after := w.homes[1].home.Load(w.now)
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

// Guards against tasks that wait although there is room for them, because a larger one, or one
// that may run on few endpoints, has found none.
func TestTasksWithRoomPassThoseWithout(t *testing.T) {
	tests := []struct {
		name string
		// taken is how many of four slots are taken.
		taken int
		first func(*job.Step)
	}{
		{"larger", 3, func(s *job.Step) { s.Demand.CPU = 32_000 }},
		{"more memory", 3, func(s *job.Step) { s.Demand.Memory = 1 << 17 }},
		{"label that is missing here", 3, func(s *job.Step) { s.Requires = "elsewhere" }},
		{"spread over endpoints", 0, func(s *job.Step) { s.Tasks, s.PerEndpoint = 3, 1 }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newPrioritizedWorld(t, 2)
			h := w.homes[1].home
			if tt.taken > 0 {
				w.submitPlain(1, tt.taken)
			}
			blocked := submission("a-1", 2, 1)
			blocked.Job.Queue, blocked.Job.Steps[0].Estimate = plainQueue, plainTakes
			tt.first(&blocked.Job.Steps[0])
			blocked.Job.Steps[0].Demand.CPU = max(blocked.Job.Steps[0].Demand.CPU, 14_000)
			small := submission("a-1", 3, 1)
			small.Job.Queue, small.Job.Steps[0].Estimate = plainQueue, plainTakes
			// Admission would refuse the first one or both; here they wait one behind the other.
			for i, s := range []job.Submission{blocked, small} {
				q := newWork(s, w.now)
				q.turn, q.startBy, q.limit = w.now+clock.Millis(i), w.now+3000, w.now+3000
				h.works[q.Key] = q
				h.enqueue(q)
			}
			w.advance(190)
			if got, want := w.outcome(3), "job.Completed"; got != want {
				t.Errorf("got %s, want %s", got, want)
			}
		})
	}
}
