package dispatch

import (
	"fmt"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
)

const (
	noDeadline = 1000 * clock.Minute
	queueBound = 1000
)

// world runs a scheduler against endpoints whose run times and failures a scenario sets.
type world struct {
	t         *testing.T
	clock     *clock.Manual
	scheduler *Scheduler
	running   []worldRun
	jobs      map[contract.JobRef]Job
	admitted  map[contract.JobRef]clock.Millis
	// run returns how long a task takes and how it ends; the default is 100 ms of success.
	run func(Job, datacentre.EndpointID) (clock.Millis, contract.AttemptResult)

	starts     []Start
	slotTime   map[owner.ID]clock.Millis
	failed     map[datacentre.EndpointID]int
	waits      map[contract.JobRef]clock.Millis
	shed       []contract.JobRef
	unrunnable []Unrunnable
	lastRef    contract.JobRef
}

type worldRun struct {
	start  Start
	began  clock.Millis
	ends   clock.Millis
	result contract.AttemptResult
}

func newWorld(t *testing.T, endpoints int, slots datacentre.Slots, owners ...owner.Owner) *world {
	w := &world{
		t:         t,
		clock:     clock.NewManual(clock.Hour),
		scheduler: New(Config{MaxQueuedTasks: queueBound, Seed: 1}),
		jobs:      make(map[contract.JobRef]Job),
		admitted:  make(map[contract.JobRef]clock.Millis),
		slotTime:  make(map[owner.ID]clock.Millis),
		failed:    make(map[datacentre.EndpointID]int),
		waits:     make(map[contract.JobRef]clock.Millis),
		run: func(Job, datacentre.EndpointID) (clock.Millis, contract.AttemptResult) {
			return 100, contract.Succeeded{}
		},
	}
	w.scheduler.SetOwners(w.clock.Now(), owners)
	for i := range endpoints {
		w.scheduler.SetSlots(w.clock.Now(), endpointName(i), slots)
	}
	return w
}

func endpointName(i int) datacentre.EndpointID {
	return datacentre.EndpointID(fmt.Sprintf("e%02d", i))
}

func ownerOf(id owner.ID, share owner.Share) owner.Owner {
	return owner.Owner{ID: id, Share: share}
}

// admit submits a job with a new reference, and without a deadline where it names none.
func (w *world) admit(j Job) (contract.JobRef, AdmissionResult) {
	w.lastRef++
	j.Ref = w.lastRef
	if j.Kind == "" {
		j.Kind = "short"
	}
	if j.Deadline == 0 {
		j.Deadline = noDeadline
	}
	j.Deadline += w.clock.Now()
	w.jobs[j.Ref] = j
	w.admitted[j.Ref] = w.clock.Now()
	return j.Ref, w.scheduler.Admit(w.clock.Now(), j)
}

func (w *world) mustAdmit(j Job) contract.JobRef {
	w.t.Helper()
	ref, v := w.admit(j)
	if r, ok := v.(Rejected); ok {
		w.t.Fatalf("got job of %s rejected (%s), want admitted", j.Owner, r.Reason)
	}
	return ref
}

// learnKind lets a task of the default kind run, since a new kind gets only part of the slots.
func (w *world) learnKind() {
	w.mustAdmit(Job{Owner: "a", Tasks: 1})
	w.advance(200)
	w.starts = nil
}

// keepBacklog admits jobs of the same form until that many of the owner's tasks wait.
func (w *world) keepBacklog(backlog int, j Job) {
	started := 0
	for _, st := range w.starts {
		if w.jobs[st.Task.Job].Owner == j.Owner && w.jobs[st.Task.Job].Rank == j.Rank {
			started++
		}
	}
	admitted := 0
	for _, known := range w.jobs {
		if known.Owner == j.Owner && known.Rank == j.Rank {
			admitted += known.Tasks
		}
	}
	for ; admitted-started < backlog; admitted += j.Tasks {
		w.mustAdmit(j)
	}
}

// advance lets time pass in steps of 1 ms, with a Check every 10 ms.
func (w *world) advance(span clock.Millis) {
	for range span {
		w.clock.Advance(1)
		now := w.clock.Now()
		kept := w.running[:0]
		for _, r := range w.running {
			if r.ends > now {
				kept = append(kept, r)
				continue
			}
			w.finish(now, r)
		}
		w.running = kept
		if now%10 == 0 {
			w.scheduler.Tick(now)
		}
		w.startAll()
	}
}

func (w *world) finish(now clock.Millis, r worldRun) {
	j := w.jobs[r.start.Task.Job]
	w.slotTime[j.Owner] += now - r.began
	if _, ok := r.result.(contract.Succeeded); !ok {
		w.failed[r.start.Endpoint]++
	}
	w.scheduler.Finish(now, r.start, r.result)
}

func (w *world) startAll() {
	now := w.clock.Now()
	for {
		st, ok := w.scheduler.Next(now)
		w.collectDropped()
		if !ok {
			return
		}
		j := w.jobs[st.Task.Job]
		span, result := w.run(j, st.Endpoint)
		w.starts = append(w.starts, st)
		if _, ok := w.waits[j.Ref]; !ok {
			w.waits[j.Ref] = now - w.admitted[j.Ref]
		}
		w.running = append(w.running, worldRun{start: st, began: now, ends: now + span, result: result})
	}
}

func (w *world) collectDropped() {
	for {
		d, ok := w.scheduler.NextDropped()
		if !ok {
			return
		}
		switch d := d.(type) {
		case Shed:
			w.shed = append(w.shed, d.Job)
		case Unrunnable:
			w.unrunnable = append(w.unrunnable, d)
		}
	}
}

func (w *world) heldBy(kind contract.Kind) int {
	n := 0
	for _, r := range w.running {
		if w.jobs[r.start.Task.Job].Kind == kind {
			n++
		}
	}
	return n
}
