package dispatch

import (
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// Guards against black-hole endpoints, which get more and more tasks because they fail them
// at once, against the ejection of too many endpoints, and against the ejection of endpoints
// because of a kind of task that fails everywhere.
func TestFailingEndpoints(t *testing.T) {
	tests := []struct {
		name string
		// faulty endpoints fail everything for the first 10 s.
		faulty  int
		runTime clock.Millis
		// badKind fails on every endpoint.
		badKind contract.Kind
		// maxLost is the accepted fraction of tasks that fail because of their endpoint.
		maxLost    float64
		maxEjected int
		unrunnable bool
	}{
		{name: "one of 12 fails at once", faulty: 1, runTime: 1, maxLost: 0.01, maxEjected: 1},
		{name: "one of 12 fails slowly", faulty: 1, runTime: 100, maxLost: 0.01, maxEjected: 1},
		{name: "five of 12 fail at once", faulty: 5, runTime: 1, maxLost: 0.1, maxEjected: 3},
		{name: "a kind fails everywhere", badKind: "bad", runTime: 5, maxEjected: 0, unrunnable: true},
		{name: "a kind fails everywhere and one endpoint too", badKind: "bad", faulty: 1, runTime: 5, maxLost: 0.01, maxEjected: 1, unrunnable: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sim := newSimulation(t, 12, 8, ownerOf("a", 1))
			begin := sim.clock.Now()
			lost, served := 0, 0
			sim.run = func(j Job, e datacentre.EndpointID) (clock.Millis, contract.AttemptResult) {
				if j.Kind == tt.badKind {
					return tt.runTime, contract.RanAndFailed{Reason: "cannot run"}
				}
				served++
				if e < endpointName(tt.faulty) && sim.clock.Now()-begin < 10*clock.Second {
					lost++
					return tt.runTime, contract.RanAndFailed{Reason: "broken"}
				}
				return 100, contract.Succeeded{}
			}
			peakEjected := 0
			for range 100 {
				sim.mustAdmit(Job{Owner: "a", Tasks: 60})
				if tt.badKind != "" {
					sim.mustAdmit(Job{Owner: "a", Kind: tt.badKind, Tasks: 100})
				}
				sim.advance(100)
				peakEjected = max(peakEjected, len(sim.scheduler.Ejected()))
			}
			if got := float64(lost) / float64(served); got > tt.maxLost {
				t.Errorf("got %d of %d tasks lost, want at most %.1f %%", lost, served, 100*tt.maxLost)
			}
			if peakEjected > tt.maxEjected {
				t.Errorf("got %d endpoints ejected at a time, want at most %d", peakEjected, tt.maxEjected)
			}
			if got := len(sim.unrunnable) > 0; got != tt.unrunnable {
				t.Errorf("got jobs failed early %v, want %v", got, tt.unrunnable)
			}
			sim.advance(2 * clock.Minute)
			before := len(sim.starts)
			sim.mustAdmit(Job{Owner: "a", Tasks: 96})
			sim.advance(10)
			sim.mustAdmit(Job{Owner: "a", Tasks: 300})
			sim.advance(2000)
			used := make(map[datacentre.EndpointID]bool)
			for _, st := range sim.starts[before:] {
				used[st.Endpoint] = true
			}
			if got := len(used); got != 12 {
				t.Errorf("got %d endpoints in use after the recovery, want 12", got)
			}
		})
	}
}

// Guards against starts on a draining endpoint, and against a readmission because of an
// observation that is older than the drain.
func TestDrain(t *testing.T) {
	tests := []struct {
		name string
		// observed is the time of the observation relative to the drain.
		observed clock.Millis
		want     bool
	}{
		{name: "observation before the drain", observed: -50},
		{name: "observation at the time of the drain", observed: 0},
		{name: "observation after the drain", observed: 50, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sim := newSimulation(t, 1, 8, ownerOf("a", 1))
			drained := sim.clock.Now()
			sim.scheduler.Drain(drained, endpointName(0))
			sim.mustAdmit(Job{Owner: "a", Tasks: 8})
			sim.scheduler.SetSlots(drained, endpointName(0), 0)
			sim.scheduler.SetSlots(drained, endpointName(0), 8)
			sim.advance(100)
			if got := len(sim.starts); got != 0 {
				t.Fatalf("got %d starts on a draining endpoint, want none", got)
			}
			if got := sim.scheduler.Readmit(sim.clock.Now(), endpointName(0), drained+tt.observed); got != tt.want {
				t.Errorf("got readmitted %v, want %v", got, tt.want)
			}
			sim.advance(100)
			if got := len(sim.starts) > 0; got != tt.want {
				t.Errorf("got starts %v, want %v", got, tt.want)
			}
		})
	}
}

// Guards against memory that grows with every replaced endpoint, and against a drain that is
// dropped while the platform may still list the endpoint.
func TestUnusedEndpointsAreRemoved(t *testing.T) {
	sim := newSimulation(t, 0, 0, ownerOf("a", 1))
	sim.scheduler.Drain(sim.clock.Now(), "leaving")
	for i := range 20000 {
		sim.scheduler.SetSlots(sim.clock.Now(), endpointName(i), 8)
		sim.scheduler.SetSlots(sim.clock.Now(), endpointName(i), 0)
	}
	if got := len(sim.scheduler.endpoints); got > 2000 {
		t.Errorf("got %d endpoints stored, want at most 2000", got)
	}
	if sim.scheduler.Readmit(sim.clock.Now(), "leaving", sim.clock.Now()) {
		t.Errorf("got the draining endpoint readmitted without a newer observation, want the drain kept")
	}
}

// Guards against starts on slow endpoints while fast ones have free slots.
func TestSpeedDecidesPlacement(t *testing.T) {
	sim := newSimulation(t, 4, 8, ownerOf("a", 1))
	sim.run = func(_ Job, e datacentre.EndpointID) (clock.Millis, contract.AttemptResult) {
		if e == endpointName(3) {
			return 50, contract.Succeeded{}
		}
		return 200, contract.Succeeded{}
	}
	for range 20 {
		sim.mustAdmit(Job{Owner: "a", Tasks: 32})
		sim.advance(500)
	}
	before := len(sim.starts)
	sim.mustAdmit(Job{Owner: "a", Tasks: 6})
	sim.advance(500)
	for _, st := range sim.starts[before:] {
		if st.Endpoint != endpointName(3) {
			t.Errorf("got a task on %s, want all on the fast endpoint", st.Endpoint)
		}
	}
}

// Guards against lent slots that both VMs use or that neither can use, and against loans
// that cost more than they save.
func TestLoans(t *testing.T) {
	tests := []struct {
		name   string
		need   LoanNeed
		oneWay clock.Millis
		want   datacentre.Slots
	}{
		{name: "idle slots except the reserve", need: LoanNeed{Tasks: 100, Wait: 200}, oneWay: 1, want: 14},
		{name: "no more than needed", need: LoanNeed{Tasks: 5, Wait: 200}, oneWay: 1, want: 5},
		{name: "link slower than the wait", need: LoanNeed{Tasks: 100, Wait: 200}, oneWay: 100},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			lender := newSimulation(t, 2, 8, ownerOf("a", 1))
			borrower := newSimulation(t, 1, 1, ownerOf("a", 1))
			lender.warmUp()
			borrower.warmUp()
			borrower.scheduler.SetSlots(borrower.clock.Now(), endpointName(0), 0)
			loans := lender.scheduler.Lend(lender.clock.Now(), tt.need, tt.oneWay)
			got := datacentre.Slots(0)
			for _, l := range loans {
				got += l.Slots
				borrower.scheduler.Borrow(borrower.clock.Now(), l)
			}
			if got != tt.want {
				t.Fatalf("got %d slots lent, want %d", got, tt.want)
			}
			lender.mustAdmit(Job{Owner: "a", Tasks: 100})
			borrower.mustAdmit(Job{Owner: "a", Tasks: 100})
			lender.advance(1)
			borrower.advance(1)
			if got, want := len(lender.starts), int(16-tt.want); got != want {
				t.Errorf("got %d starts at the lender, want %d", got, want)
			}
			if got, want := len(borrower.starts), int(tt.want); got != want {
				t.Errorf("got %d starts at the borrower, want %d", got, want)
			}
			borrower.advance(5000)
			for _, l := range borrower.scheduler.ReturnIdle(borrower.clock.Now()) {
				got -= l.Slots
				lender.scheduler.Reclaim(lender.clock.Now(), l)
			}
			if got > 0 && tt.want > 0 {
				t.Errorf("got %d slots not returned, want none", got)
			}
		})
	}
}

// Guards against a kind that is rejected permanently because its first run time is far above
// the usual one: the tasks that would correct the estimate are never admitted.
func TestWrongEstimateIsCorrected(t *testing.T) {
	sim := newSimulation(t, 1, 8, ownerOf("a", 1))
	runTime := 20 * clock.Second
	sim.run = func(Job, datacentre.EndpointID) (clock.Millis, contract.AttemptResult) {
		return runTime, contract.Succeeded{}
	}
	sim.mustAdmit(Job{Owner: "a", Tasks: 1})
	sim.advance(30 * clock.Second)
	runTime = 50
	admitted := 0
	for range 200 {
		if _, v := sim.admit(Job{Owner: "a", Tasks: 1, Deadline: clock.Second}); v == (Admitted{}) {
			admitted++
		}
		sim.advance(100)
	}
	if admitted < 100 {
		t.Errorf("got %d of 200 jobs admitted after a straggler, want at least 100", admitted)
	}
}
