package dispatch

import (
	"slices"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
)

// Guards against jobs that are taken though they cannot end in time or do not fit, and
// against a refusal that leaves something queued.
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
			w := newWorld(t, 1, 8, limited, ownerOf("b", 1))
			w.mustAdmit(Job{Owner: "a", Tasks: 40})
			w.mustAdmit(Job{Owner: "b", Tasks: 40})
			w.advance(2000)
			if tt.waiting > 0 {
				w.mustAdmit(Job{Owner: "a", Rank: 1, Tasks: tt.waiting})
			}
			tt.job.Rank++
			ref, v := w.admit(tt.job)
			rejected, isRejected := v.(Rejected)
			if isRejected == tt.admitted {
				t.Fatalf("got %+v, want admitted %v", v, tt.admitted)
			}
			w.advance(20 * clock.Second)
			started := 0
			for _, st := range w.starts {
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
				t.Errorf("got retry hint %d ms, want a wait", rejected.RetryAfter)
			}
		})
	}
}

// Guards against refusing the urgent while the less urgent wait, and against a burst of
// one owner that takes the queue from the others.
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
			name:   "owner inside its share displaces the burst of another",
			queued: []Job{{Owner: "a", Rank: 0, Tasks: 500}, {Owner: "a", Rank: 1, Tasks: 400}, {Owner: "b", Tasks: 100}},
			job:    Job{Owner: "b", Tasks: 300},
			shed:   []contract.JobRef{2},
		},
		{
			name:   "owner over its share displaces nobody",
			queued: []Job{{Owner: "a", Tasks: 600}, {Owner: "b", Tasks: 400}},
			job:    Job{Owner: "a", Tasks: 10},
			reject: true,
		},
		{
			name:   "no room by shedding too little",
			queued: []Job{{Owner: "a", Rank: 1, Tasks: 30}, {Owner: "a", Rank: 0, Tasks: 470}, {Owner: "b", Tasks: 500}},
			job:    Job{Owner: "a", Rank: 0, Tasks: 40},
			reject: true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t, 1, 8, ownerOf("a", 1), ownerOf("b", 1))
			for _, j := range tt.queued {
				w.mustAdmit(j)
			}
			_, v := w.admit(tt.job)
			w.collectDropped()
			if _, got := v.(Rejected); got != tt.reject {
				t.Errorf("got %+v, want rejected %v", v, tt.reject)
			}
			if !slices.Equal(w.shed, tt.shed) {
				t.Errorf("got jobs %v shed, want %v", w.shed, tt.shed)
			}
		})
	}
}

// Guards against retry hints that bring all refused callers back at once.
func TestRetryHintsAreSpread(t *testing.T) {
	w := newWorld(t, 1, 8, ownerOf("a", 1))
	w.mustAdmit(Job{Owner: "a", Tasks: queueBound})
	seen := make(map[clock.Millis]bool)
	for range 100 {
		_, v := w.admit(Job{Owner: "a", Tasks: 10})
		if r, ok := v.(Rejected); ok {
			seen[r.RetryAfter] = true
		}
	}
	if got := len(seen); got < 50 {
		t.Errorf("got %d different hints of 100, want at least 50", got)
	}
}

// Guards against cancelled tasks that start later, and against a lost count of the queue
// after a wave of cancellations.
func TestCancellationWave(t *testing.T) {
	w := newWorld(t, 1, 8, ownerOf("a", 1))
	w.scheduler = New(Config{MaxQueuedTasks: 20000})
	w.scheduler.SetOwners(w.clock.Now(), []owner.Owner{ownerOf("a", 1)})
	w.scheduler.SetSlots(w.clock.Now(), "e00", 8)
	w.learnKind()
	var refs []contract.JobRef
	for range 1000 {
		refs = append(refs, w.mustAdmit(Job{Owner: "a", Tasks: 10}))
	}
	w.startAll()
	cancelled := 0
	for _, ref := range refs {
		cancelled += len(w.scheduler.Cancel(w.clock.Now(), ref))
	}
	if got, want := cancelled, 10000-8; got != want {
		t.Errorf("got %d tasks cancelled, want %d", got, want)
	}
	if got := w.scheduler.Cancel(w.clock.Now(), refs[5]); len(got) != 0 {
		t.Errorf("got %d tasks from the second cancellation, want none", len(got))
	}
	for i := range w.running {
		w.running[i].result = contract.NotStarted{}
	}
	w.advance(1000)
	if got, want := len(w.starts), 8; got != want {
		t.Errorf("got %d starts, want only the %d before the cancellation", got, want)
	}
	back := 0
	for _, ref := range refs {
		back += len(w.scheduler.Cancel(w.clock.Now(), ref))
	}
	if got, want := back, 8; got != want {
		t.Errorf("got %d tasks back that were not started after all, want %d", got, want)
	}
	w.mustAdmit(Job{Owner: "a", Tasks: 20000})
}
