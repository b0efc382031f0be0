package dispatch

import (
	"slices"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
)

// Guards against admission of jobs that cannot meet their deadline or exceed the queue
// limits, and against tasks that stay queued after a rejection.
func TestWholeJobAdmission(t *testing.T) {
	limited := owner.Owner{ID: "a", Share: 1, Limits: owner.Limits{TasksPerJob: 300, QueuedTasks: 500}}
	tests := []struct {
		name     string
		waiting  int
		job      Job
		admitted bool
	}{
		{name: "fits", job: Job{Owner: "a", Tasks: 40, Deadline: clock.Second}, admitted: true},
		{name: "too many tasks for its deadline", job: Job{Owner: "a", Tasks: 200, Deadline: clock.Second}},
		{name: "too much work ahead", waiting: 160, job: Job{Owner: "a", Tasks: 8, Deadline: clock.Second}},
		{name: "ahead of less urgent work", waiting: 160, job: Job{Owner: "a", Tasks: 8, Rank: -1, Deadline: clock.Second}, admitted: true},
		{name: "share beside the backlog of another owner", waiting: 160, job: Job{Owner: "b", Tasks: 8, Deadline: clock.Second}, admitted: true},
		{name: "beyond the tasks of a job", job: Job{Owner: "a", Tasks: 301}},
		{name: "beyond the owner's queue", waiting: 300, job: Job{Owner: "a", Tasks: 250}},
		{name: "no tasks", job: Job{Owner: "a"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sim := newSimulation(t, 1, 8, limited, ownerOf("b", 1))
			sim.mustAdmit(Job{Owner: "a", Tasks: 40})
			sim.mustAdmit(Job{Owner: "b", Tasks: 40})
			sim.advance(2000)
			if tt.waiting > 0 {
				sim.mustAdmit(Job{Owner: "a", Rank: 1, Tasks: tt.waiting})
			}
			tt.job.Rank++
			ref, v := sim.admit(tt.job)
			rejected, isRejected := v.(Rejected)
			if isRejected == tt.admitted {
				t.Fatalf("got %+v, want admitted %v", v, tt.admitted)
			}
			sim.advance(20 * clock.Second)
			started := 0
			for _, st := range sim.starts {
				if st.Task.Job == ref {
					started++
				}
			}
			want := 0
			if tt.admitted {
				want = tt.job.Tasks
			}
			if started != want {
				t.Errorf("got %d starts of the job, want %d", started, want)
			}
			if isRejected && rejected.RetryAfter < 25 {
				t.Errorf("got retry delay %d ms, want at least 25 ms", rejected.RetryAfter)
			}
		})
	}
}

// Guards against rejecting urgent jobs while less urgent ones wait, and against a burst of
// one owner that fills the queue for the others.
func TestShedOrder(t *testing.T) {
	// The queue holds 1000 tasks, 500 for each owner.
	tests := []struct {
		name   string
		queued []Job
		job    Job
		shed   []contract.JobRef
		reject bool
	}{
		{
			name:   "own less urgent job goes first",
			queued: []Job{{Owner: "a", Rank: 1, Tasks: 500}, {Owner: "a", Rank: 2, Tasks: 400}, {Owner: "b", Tasks: 100}},
			job:    Job{Owner: "a", Rank: 0, Tasks: 100},
			shed:   []contract.JobRef{2},
		},
		{
			name:   "owner within its share displaces the burst of another",
			queued: []Job{{Owner: "a", Rank: 0, Tasks: 500}, {Owner: "a", Rank: 1, Tasks: 400}, {Owner: "b", Tasks: 100}},
			job:    Job{Owner: "b", Tasks: 300},
			shed:   []contract.JobRef{2},
		},
		{
			name:   "owner over its share displaces no other owner",
			queued: []Job{{Owner: "a", Tasks: 600}, {Owner: "b", Tasks: 400}},
			job:    Job{Owner: "a", Tasks: 10},
			reject: true,
		},
		{
			name:   "too few tasks to shed",
			queued: []Job{{Owner: "a", Rank: 1, Tasks: 30}, {Owner: "a", Rank: 0, Tasks: 470}, {Owner: "b", Tasks: 500}},
			job:    Job{Owner: "a", Rank: 0, Tasks: 40},
			reject: true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sim := newSimulation(t, 1, 8, ownerOf("a", 1), ownerOf("b", 1))
			for _, j := range tt.queued {
				sim.mustAdmit(j)
			}
			_, v := sim.admit(tt.job)
			sim.collectDropped()
			if _, got := v.(Rejected); got != tt.reject {
				t.Errorf("got %+v, want rejected %v", v, tt.reject)
			}
			if !slices.Equal(sim.shed, tt.shed) {
				t.Errorf("got jobs %v shed, want %v", sim.shed, tt.shed)
			}
		})
	}
}

// Guards against retry delays that make all rejected callers retry at the same time.
func TestRetryDelaysAreSpread(t *testing.T) {
	sim := newSimulation(t, 1, 8, ownerOf("a", 1))
	sim.mustAdmit(Job{Owner: "a", Tasks: maxQueued})
	seen := make(map[clock.Millis]bool)
	for range 100 {
		_, v := sim.admit(Job{Owner: "a", Tasks: 10})
		if r, ok := v.(Rejected); ok {
			seen[r.RetryAfter] = true
		}
	}
	if got := len(seen); got < 50 {
		t.Errorf("got %d different retry delays of 100, want at least 50", got)
	}
}

// Guards against cancelled tasks that start later, and against queue totals that are wrong
// after many cancellations.
func TestMassCancellation(t *testing.T) {
	sim := newSimulation(t, 1, 8, ownerOf("a", 1))
	sim.scheduler = New(Config{MaxQueuedTasks: 20000})
	sim.scheduler.SetOwners(sim.clock.Now(), []owner.Owner{ownerOf("a", 1)})
	sim.scheduler.SetSlots(sim.clock.Now(), "e00", 8)
	sim.warmUp()
	var refs []contract.JobRef
	for range 1000 {
		refs = append(refs, sim.mustAdmit(Job{Owner: "a", Tasks: 10}))
	}
	sim.startAll()
	cancelled := 0
	for _, ref := range refs {
		cancelled += len(sim.scheduler.Cancel(sim.clock.Now(), ref))
	}
	if got, want := cancelled, 10000-8; got != want {
		t.Errorf("got %d tasks cancelled, want %d", got, want)
	}
	if got := sim.scheduler.Cancel(sim.clock.Now(), refs[5]); len(got) != 0 {
		t.Errorf("got %d tasks from the second cancellation, want none", len(got))
	}
	for i := range sim.running {
		sim.running[i].result = contract.NotStarted{}
	}
	sim.advance(1000)
	if got, want := len(sim.starts), 8; got != want {
		t.Errorf("got %d starts, want only the %d before the cancellation", got, want)
	}
	requeued := 0
	for _, ref := range refs {
		requeued += len(sim.scheduler.Cancel(sim.clock.Now(), ref))
	}
	if got, want := requeued, 8; got != want {
		t.Errorf("got %d tasks that the endpoint did not run from a further cancellation, want %d", got, want)
	}
	sim.mustAdmit(Job{Owner: "a", Tasks: 20000})
}
