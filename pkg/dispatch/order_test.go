package dispatch

import (
	"math"
	"slices"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
)

// Guards against an owner that gets more than its share because of longer queues, longer
// tasks or its usage of other entry VMs.
func TestSlotTimeFollowsShares(t *testing.T) {
	tests := []struct {
		name       string
		a, b       owner.Share
		backlogA   int
		runTimeA   clock.Millis
		usedAtPeer float64
		want       float64
	}{
		{name: "equal shares, longer queue", a: 1, b: 1, backlogA: 400, runTimeA: 100, want: 0.5},
		{name: "three to one", a: 3, b: 1, backlogA: 100, runTimeA: 100, want: 0.75},
		{name: "equal shares, tasks four times longer", a: 1, b: 1, backlogA: 100, runTimeA: 400, want: 0.5},
		{name: "half of the slots used at a peer", a: 1, b: 1, backlogA: 100, runTimeA: 100, usedAtPeer: 0.5, want: 0.25},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sim := newSimulation(t, 2, 8, ownerOf("a", tt.a), ownerOf("b", tt.b))
			sim.run = func(j Job, _ datacentre.EndpointID) (clock.Millis, contract.AttemptResult) {
				if j.Owner == "a" {
					return tt.runTimeA, contract.Succeeded{}
				}
				return 100, contract.Succeeded{}
			}
			peer := clock.Millis(0)
			sim.scheduler.SetPeerUsage(sim.clock.Now(), "p-1", []OwnerUsage{{Owner: "a"}})
			for range 200 {
				sim.fillBacklog(tt.backlogA, Job{Owner: "a", Tasks: 20})
				sim.fillBacklog(50, Job{Owner: "b", Tasks: 10})
				sim.advance(50)
				peer += clock.Millis(50 * 16 * tt.usedAtPeer)
				sim.scheduler.SetPeerUsage(sim.clock.Now(), "p-1", []OwnerUsage{{Owner: "a", SlotTime: peer, Charged: peer}})
			}
			got := float64(sim.slotTime["a"]) / float64(sim.slotTime["a"]+sim.slotTime["b"])
			if math.Abs(got-tt.want) > 0.05*tt.want {
				t.Errorf("got %.3f of the slot time for a, want %.3f within 5 %%", got, tt.want)
			}
		})
	}
}

// Guards against starts in the order of arrival where urgency or deadlines require another
// order.
func TestOrderWithinOwner(t *testing.T) {
	tests := []struct {
		name string
		jobs []Job
		want []contract.JobRef
	}{
		{
			name: "more urgent class first",
			jobs: []Job{{Rank: 2}, {Rank: 1}, {Rank: 0}},
			want: []contract.JobRef{3, 2, 1},
		},
		{
			name: "earlier deadline first within a class",
			jobs: []Job{{Deadline: 30000}, {Deadline: 10000}, {Deadline: 20000}},
			want: []contract.JobRef{2, 3, 1},
		},
		{
			name: "arrival decides between equals",
			jobs: []Job{{}, {}, {}},
			want: []contract.JobRef{1, 2, 3},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sim := newSimulation(t, 1, 1, ownerOf("a", 1))
			for _, j := range tt.jobs {
				j.Owner, j.Tasks = "a", 1
				sim.mustAdmit(j)
			}
			sim.advance(1000)
			var got []contract.JobRef
			for _, st := range sim.starts {
				got = append(got, st.Task.Job)
			}
			if !slices.Equal(got, tt.want) {
				t.Errorf("got order %v, want %v", got, tt.want)
			}
		})
	}
}

// Guards against starvation of the lowest class, and of an owner that arrives after another
// has used all slots for a long time. A class waits at most 1 s plus the time until a slot
// becomes free, and an owner at most 2 s plus that time.
func TestWaitIsBounded(t *testing.T) {
	tests := []struct {
		name  string
		flood Job
		late  Job
		// usedLate is the slot time that the owner of the late job has used at a peer.
		usedLate clock.Millis
		bound    clock.Millis
	}{
		{
			name:  "lowest class under a flood of the most urgent",
			flood: Job{Owner: "a", Rank: 0, Tasks: 10},
			late:  Job{Owner: "a", Rank: 3, Tasks: 1},
			bound: clock.Second + 100,
		},
		{
			name:  "owner with a small share against a long backlog",
			flood: Job{Owner: "a", Tasks: 10},
			late:  Job{Owner: "b", Tasks: 1},
			bound: 2*clock.Second + 100,
		},
		{
			name:     "owner that used far more than its share at a peer",
			flood:    Job{Owner: "a", Tasks: 10},
			late:     Job{Owner: "b", Rank: 1, Tasks: 1},
			usedLate: clock.Hour,
			bound:    2*clock.Second + 100,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sim := newSimulation(t, 1, 8, ownerOf("a", 50), ownerOf("b", 1))
			for range 40 {
				sim.fillBacklog(300, tt.flood)
				sim.advance(50)
			}
			for _, used := range []clock.Millis{0, tt.usedLate} {
				sim.scheduler.SetPeerUsage(sim.clock.Now(), "p-1", []OwnerUsage{{Owner: tt.late.Owner, Charged: used}})
			}
			late := sim.mustAdmit(tt.late)
			for range 100 {
				sim.fillBacklog(300, tt.flood)
				sim.advance(50)
			}
			got, started := sim.waits[late]
			if !started || got > tt.bound {
				t.Errorf("got started %v after %d ms, want at most %d ms", started, got, tt.bound)
			}
		})
	}
}

// Guards against long work and stragglers that occupy all slots and block short work. The
// kinds have no estimates at the start.
func TestLongWorkIsConfined(t *testing.T) {
	const long, short = contract.Kind("long"), contract.Kind("short")
	tests := []struct {
		name     string
		runTimes map[contract.Kind]clock.Millis
		// tasks is the number of tasks of the long kind that wait from the start.
		tasks int
	}{
		{name: "kind 50 times longer", runTimes: map[contract.Kind]clock.Millis{long: 5000, short: 100}, tasks: 400},
		{name: "kind of stragglers", runTimes: map[contract.Kind]clock.Millis{long: clock.Minute, short: 100}, tasks: 400},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sim := newSimulation(t, 2, 8, ownerOf("a", 1))
			sim.run = func(j Job, _ datacentre.EndpointID) (clock.Millis, contract.AttemptResult) {
				return tt.runTimes[j.Kind], contract.Succeeded{}
			}
			for range 20 {
				sim.fillBacklog(20, Job{Owner: "a", Kind: short, Tasks: 10})
				sim.advance(50)
			}
			sim.mustAdmit(Job{Owner: "a", Kind: long, Rank: 1, Tasks: tt.tasks})
			peak := 0
			for range 600 {
				sim.fillBacklog(4, Job{Owner: "a", Kind: short, Tasks: 2})
				sim.advance(20)
				peak = max(peak, sim.heldBy(long))
			}
			if peak > 12 {
				t.Errorf("got %d of 16 slots held by long tasks at most, want at most 12 while the kind has no stable estimate", peak)
			}
			if got := sim.heldBy(long); got > 8 {
				t.Errorf("got %d of 16 slots held by long tasks at the end, want at most 8", got)
			}
		})
	}
}

// Guards against urgent tasks that miss their deadlines because their owner used slots of
// another VM, although the owner's urgent work is far below its share.
func TestUrgentTasksOfOwnerOverShare(t *testing.T) {
	sim := newSimulation(t, 1, 8, ownerOf("a", 1), ownerOf("b", 1))
	sim.warmUp()
	sim.scheduler.SetPeerUsage(sim.clock.Now(), "p-1", []OwnerUsage{{Owner: "a"}})
	for round := range clock.Millis(40) {
		sim.fillBacklog(100, Job{Owner: "b", Rank: 1, Tasks: 10})
		sim.scheduler.SetPeerUsage(sim.clock.Now(), "p-1", []OwnerUsage{{Owner: "a", Charged: round * 50 * 16}})
		sim.advance(50)
	}
	var urgent []contract.JobRef
	for range 10 {
		sim.fillBacklog(100, Job{Owner: "b", Rank: 1, Tasks: 10})
		urgent = append(urgent, sim.mustAdmit(Job{Owner: "a", Tasks: 1}))
		sim.advance(100)
	}
	for _, ref := range urgent {
		if got, started := sim.waits[ref]; !started || got > 200 {
			t.Errorf("got urgent job %d started %v after %d ms, want at most 200 ms", ref, started, got)
		}
	}
}
