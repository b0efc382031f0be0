// Package dispatch decides which task runs where and when. It does no I/O and knows no
// encoding; the control goroutine calls it with the time of the event at hand.
package dispatch

import (
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// Config bounds a scheduler.
type Config struct {
	// QueuedTasks bounds the tasks of all owners that wait.
	QueuedTasks int
	// Seed spreads retry hints; VMs with different seeds give different hints.
	Seed uint64
}

// Scheduler holds the queue and the free slots of one entry VM.
type Scheduler struct {
	config Config
	queue  []contract.TaskRef
	order  []datacentre.EndpointID
	slots  map[datacentre.EndpointID]*slotCount
}

type slotCount struct {
	capacity datacentre.Slots
	used     datacentre.Slots
}

// New returns a scheduler without endpoints.
func New(c Config) *Scheduler {
	return &Scheduler{config: c, slots: make(map[datacentre.EndpointID]*slotCount)}
}

// SetOwners takes over the shares and classes of a new bundle.
func (s *Scheduler) SetOwners(_ clock.Millis, _ []owner.Owner) {}

// SetSlots sets how many slots of an endpoint this VM may use; 0 takes the endpoint away.
func (s *Scheduler) SetSlots(_ clock.Millis, e datacentre.EndpointID, capacity datacentre.Slots) {
	c, ok := s.slots[e]
	if !ok {
		c = &slotCount{}
		s.slots[e] = c
		s.order = append(s.order, e)
	}
	c.capacity = capacity
}

// Admit queues the whole job or rejects the whole job.
func (s *Scheduler) Admit(_ clock.Millis, j Job) Verdict {
	if len(s.queue)+j.Tasks > s.config.QueuedTasks {
		return Rejected{Reason: "the queue is full", RetryAfter: clock.Second}
	}
	for i := range j.Tasks {
		s.queue = append(s.queue, contract.TaskRef{Job: j.Ref, Index: contract.TaskIndex(i)})
	}
	return Admitted{}
}

// Next takes the next task to start, as long as there is one and a slot for it. The
// slot is held until Finish.
func (s *Scheduler) Next(_ clock.Millis) (Start, bool) {
	if len(s.queue) == 0 {
		return Start{}, false
	}
	for _, e := range s.order {
		c := s.slots[e]
		if c.used >= c.capacity {
			continue
		}
		c.used++
		task := s.queue[0]
		s.queue = s.queue[1:]
		return Start{Task: task, Endpoint: e}, true
	}
	return Start{}, false
}

// Finish frees the slot of a start. A task that was not started is queued again; it
// returns whether that is so.
func (s *Scheduler) Finish(_ clock.Millis, st Start, result contract.AttemptResult) (requeued bool) {
	if c, ok := s.slots[st.Endpoint]; ok {
		c.used--
	}
	if _, ok := result.(contract.NotStarted); ok {
		s.queue = append(s.queue, st.Task)
		return true
	}
	return false
}

// Cancel drops the tasks of a job that wait, and returns them.
func (s *Scheduler) Cancel(_ clock.Millis, job contract.JobRef) []contract.TaskIndex {
	var dropped []contract.TaskIndex
	kept := s.queue[:0]
	for _, t := range s.queue {
		if t.Job == job {
			dropped = append(dropped, t.Index)
			continue
		}
		kept = append(kept, t)
	}
	s.queue = kept
	return dropped
}

// Check does what is due by the passing of time. Call it every 10 to 100 ms.
func (s *Scheduler) Check(_ clock.Millis) {}

// NextDropped returns the next job that was dropped since the last call.
func (s *Scheduler) NextDropped() (Dropped, bool) { return nil, false }

// Usage returns the figures of every owner at this VM, in the order of the bundle.
func (s *Scheduler) Usage() []OwnerUsage { return nil }

// SetPeerUsage takes a peer's figures, so that shares hold over all VMs together.
func (s *Scheduler) SetPeerUsage(_ clock.Millis, _ vm.Incarnation, _ []OwnerUsage) {}

// Drain stops new work to a leaving endpoint.
func (s *Scheduler) Drain(_ clock.Millis, _ datacentre.EndpointID) {}

// Readmit lifts a drain if the evidence that the endpoint serves was observed after it.
// It returns whether the endpoint takes new work now.
func (s *Scheduler) Readmit(_ clock.Millis, _ datacentre.EndpointID, _ clock.Millis) bool {
	return true
}

// LoanNeed returns what this VM would borrow from peers.
func (s *Scheduler) LoanNeed(_ clock.Millis) LoanNeed { return LoanNeed{} }

// Lend decides on a peer's request and takes the granted slots away from this VM until
// Reclaim.
func (s *Scheduler) Lend(_ clock.Millis, _ LoanNeed, _ clock.Millis) []SlotLoan { return nil }

// Reclaim takes lent slots back, when the peer returns them or the lease has expired.
func (s *Scheduler) Reclaim(_ clock.Millis, _ SlotLoan) {}

// Borrow adds slots that a peer has lent.
func (s *Scheduler) Borrow(_ clock.Millis, _ SlotLoan) {}

// GiveBack takes borrowed slots away when the lease has expired. Tasks that run there
// are not affected.
func (s *Scheduler) GiveBack(_ clock.Millis, _ SlotLoan) {}

// ReturnIdle takes away the borrowed slots that are idle, and returns them.
func (s *Scheduler) ReturnIdle(_ clock.Millis) []SlotLoan { return nil }

// Ejected returns the endpoints that are out of service because of failures.
func (s *Scheduler) Ejected() []datacentre.EndpointID { return nil }
