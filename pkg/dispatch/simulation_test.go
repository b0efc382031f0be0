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
	maxQueued  = 1000
)

// simulation runs a scheduler on a manual clock against endpoints whose run times and
// failures each test sets.
type simulation struct {
	t         *testing.T
	clock     *clock.Manual
	scheduler *Scheduler
	running   []simulatedAttempt
	jobs      map[contract.JobRef]Job
	admitted  map[contract.JobRef]clock.Millis
	// run returns the run time and the result of a task; the default is success after
	// 100 ms.
	run func(Job, datacentre.EndpointID) (clock.Millis, contract.AttemptResult)

	starts     []Start
	slotTime   map[owner.ID]clock.Millis
	failed     map[datacentre.EndpointID]int
	waits      map[contract.JobRef]clock.Millis
	shed       []contract.JobRef
	unrunnable []Unrunnable
	lastRef    contract.JobRef
}

type simulatedAttempt struct {
	start  Start
	began  clock.Millis
	ends   clock.Millis
	result contract.AttemptResult
}

func newSimulation(t *testing.T, endpoints int, slots datacentre.Slots, owners ...owner.Owner) *simulation {
	s := &simulation{
		t:         t,
		clock:     clock.NewManual(clock.Hour),
		scheduler: New(Config{MaxQueuedTasks: maxQueued, Seed: 1}),
		jobs:      make(map[contract.JobRef]Job),
		admitted:  make(map[contract.JobRef]clock.Millis),
		slotTime:  make(map[owner.ID]clock.Millis),
		failed:    make(map[datacentre.EndpointID]int),
		waits:     make(map[contract.JobRef]clock.Millis),
		run: func(Job, datacentre.EndpointID) (clock.Millis, contract.AttemptResult) {
			return 100, contract.Succeeded{}
		},
	}
	s.scheduler.SetOwners(s.clock.Now(), owners)
	for i := range endpoints {
		s.scheduler.SetSlots(s.clock.Now(), endpointName(i), slots)
	}
	return s
}

func endpointName(i int) datacentre.EndpointID {
	return datacentre.EndpointID(fmt.Sprintf("e%02d", i))
}

func ownerOf(id owner.ID, share owner.Share) owner.Owner {
	return owner.Owner{ID: id, Share: share}
}

// admit submits a job with a new reference. Deadline is relative to now; 0 means none.
func (s *simulation) admit(j Job) (contract.JobRef, AdmissionResult) {
	s.lastRef++
	j.Ref = s.lastRef
	if j.Kind == "" {
		j.Kind = "short"
	}
	if j.Deadline == 0 {
		j.Deadline = noDeadline
	}
	j.Deadline += s.clock.Now()
	s.jobs[j.Ref] = j
	s.admitted[j.Ref] = s.clock.Now()
	return j.Ref, s.scheduler.Admit(s.clock.Now(), j)
}

func (s *simulation) mustAdmit(j Job) contract.JobRef {
	s.t.Helper()
	ref, v := s.admit(j)
	if r, ok := v.(Rejected); ok {
		s.t.Fatalf("got job of %s rejected (%s), want admitted", j.Owner, r.Reason)
	}
	return ref
}

// warmUp runs a task of the default kind, since a kind without a known run time gets only
// part of the slots.
func (s *simulation) warmUp() {
	s.mustAdmit(Job{Owner: "a", Tasks: 1})
	s.advance(200)
	s.starts = nil
}

// fillBacklog admits copies of a job until the given number of tasks of its owner and rank
// wait.
func (s *simulation) fillBacklog(backlog int, j Job) {
	started := 0
	for _, st := range s.starts {
		if s.jobs[st.Task.Job].Owner == j.Owner && s.jobs[st.Task.Job].Rank == j.Rank {
			started++
		}
	}
	admitted := 0
	for _, other := range s.jobs {
		if other.Owner == j.Owner && other.Rank == j.Rank {
			admitted += other.Tasks
		}
	}
	for ; admitted-started < backlog; admitted += j.Tasks {
		s.mustAdmit(j)
	}
}

// advance moves the clock forward in steps of 1 ms, with a Tick every 10 ms.
func (s *simulation) advance(duration clock.Millis) {
	for range duration {
		s.clock.Advance(1)
		now := s.clock.Now()
		kept := s.running[:0]
		for _, r := range s.running {
			if r.ends > now {
				kept = append(kept, r)
				continue
			}
			s.finish(now, r)
		}
		s.running = kept
		if now%10 == 0 {
			s.scheduler.Tick(now)
		}
		s.startAll()
	}
}

func (s *simulation) finish(now clock.Millis, r simulatedAttempt) {
	j := s.jobs[r.start.Task.Job]
	s.slotTime[j.Owner] += now - r.began
	if _, ok := r.result.(contract.Succeeded); !ok {
		s.failed[r.start.Endpoint]++
	}
	s.scheduler.Finish(now, r.start, r.result)
}

func (s *simulation) startAll() {
	now := s.clock.Now()
	for {
		st, ok := s.scheduler.Next(now)
		s.collectDropped()
		if !ok {
			return
		}
		j := s.jobs[st.Task.Job]
		runTime, result := s.run(j, st.Endpoint)
		s.starts = append(s.starts, st)
		if _, ok := s.waits[j.Ref]; !ok {
			s.waits[j.Ref] = now - s.admitted[j.Ref]
		}
		s.running = append(s.running, simulatedAttempt{start: st, began: now, ends: now + runTime, result: result})
	}
}

func (s *simulation) collectDropped() {
	for {
		d, ok := s.scheduler.NextDropped()
		if !ok {
			return
		}
		switch d := d.(type) {
		case Shed:
			s.shed = append(s.shed, d.Job)
		case Unrunnable:
			s.unrunnable = append(s.unrunnable, d)
		}
	}
}

func (s *simulation) heldBy(kind contract.Kind) int {
	n := 0
	for _, r := range s.running {
		if s.jobs[r.start.Task.Job].Kind == kind {
			n++
		}
	}
	return n
}
