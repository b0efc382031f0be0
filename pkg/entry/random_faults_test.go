package entry

import (
	"math/rand/v2"
	"os"
	"strconv"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
)

// TestRandomFaults guards against second starts, partial answers, false refusals, differing
// final answers and submissions without a final answer under combined faults: lost, delayed
// and duplicate messages, network partitions, pauses, one crash or shutdown, and a platform
// that is down or loses answers. SEQUOIACART_FAULT_SEED runs a single seed,
// SEQUOIACART_FAULT_RUNS sets the number of seeds.
func TestRandomFaults(t *testing.T) {
	first, runs := uint64(1), uint64(300)
	if seed, err := strconv.ParseUint(os.Getenv("SEQUOIACART_FAULT_SEED"), 10, 64); err == nil {
		first, runs = seed, 1
	}
	if more, err := strconv.ParseUint(os.Getenv("SEQUOIACART_FAULT_RUNS"), 10, 64); err == nil {
		runs = more
	}
	total := map[string]int{}
	for seed := first; seed < first+runs; seed++ {
		s := newFaultRun(t, seed)
		s.run()
		for kind, n := range s.ended {
			total[kind] += n
		}
		total["drained VMs"] += s.drained
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	t.Logf("seeds %d to %d, last answers: %v", first, first+runs-1, total)
}

// faultRun is a random sequence of submissions and faults.
type faultRun struct {
	*cluster
	ids     []contract.SubmissionID
	jobs    map[contract.SubmissionID]contract.Submission
	crashed bool
	drained int
	ended   map[string]int
}

func newFaultRun(t *testing.T, seed uint64) *faultRun {
	cl := newCluster(t, "a", "b", "c")
	cl.rng = rand.New(rand.NewPCG(seed, 7))
	cl.faults = cl.rng.Float64() * 0.4
	s := &faultRun{cluster: cl, jobs: map[contract.SubmissionID]contract.Submission{}, ended: map[string]int{}}
	cl.runTime = func() clock.Millis { return clock.Millis(cl.rng.IntN(2000)) }
	cl.result = func() contract.AttemptResult {
		switch cl.rng.IntN(20) {
		case 0:
			return contract.Ambiguous{Reason: "cut off"}
		case 1:
			return contract.RanAndFailed{Reason: "failed"}
		case 2, 3:
			return contract.NotStarted{}
		}
		return contract.Succeeded{Result: []byte("r")}
	}
	return s
}

func (s *faultRun) run() {
	for range 150 {
		s.step()
		s.advance(clock.Millis(1 + s.rng.IntN(400)))
	}
	s.clearFaults()
	s.advance(20 * clock.Second)
	for range 2 {
		for _, id := range s.ids {
			for _, n := range s.nodes {
				s.ask(n, id)
			}
		}
		s.advance(80 * clock.Second)
	}
	s.check()
	s.checkEnded()
}

func (s *faultRun) step() {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	other := s.nodes[s.rng.IntN(len(s.nodes))]
	switch s.rng.IntN(14) {
	case 0, 1, 2:
		if n.paused || n.crashed || !n.sending {
			return
		}
		id := n.reserve()
		s.ids = append(s.ids, id)
		s.jobs[id] = job(id, 1+s.rng.IntN(4))
		s.submit(other, s.jobs[id])
	case 3, 4, 5, 6:
		s.repeat(n)
	case 7:
		s.setPartition(n, other, true)
	case 8, 9:
		s.setPartition(n, other, false)
	case 10:
		s.platformDown, s.loseAnswers = s.rng.IntN(3) == 0, s.rng.IntN(3) == 0
	case 11:
		n.paused = s.rng.IntN(2) == 0
		n.sending = n.paused && n.sending
	case 12:
		n.resume()
	case 13:
		if !s.crashed && s.rng.IntN(4) == 0 {
			s.crashed = true
			s.stopVM(n)
		}
	}
}

// stopVM stops a VM, half of the time by a crash and otherwise by a graceful shutdown.
func (s *faultRun) stopVM(n *node) {
	if s.rng.IntN(2) == 0 {
		n.crashed = true
		return
	}
	n.ask(func(id WaiterID) Event { return ShutdownBegun{Waiter: id} }, func(Reply) {
		n.crashed = true
		s.drained++
		s.publishRoster()
	})
}

// repeat queries, resubmits or cancels an earlier submission through any VM.
func (s *faultRun) repeat(via *node) {
	if len(s.ids) == 0 || via.crashed {
		return
	}
	id := s.ids[s.rng.IntN(len(s.ids))]
	switch s.rng.IntN(5) {
	case 0, 1:
		s.submit(via, s.jobs[id])
	case 2, 3:
		s.ask(via, id)
	case 4:
		s.cancel(via, id)
	}
}

func (s *faultRun) clearFaults() {
	s.faults, s.platformDown, s.loseAnswers = 0, false, false
	clear(s.partitions)
	for _, n := range s.nodes {
		n.resume()
	}
	s.publishRoster()
}

func (s *faultRun) checkEnded() {
	for _, id := range s.ids {
		last := s.answers[id][len(s.answers[id])-1]
		s.ended[kindOf(last)]++
		switch last.(type) {
		case contract.Running, contract.CannotTellYet:
			s.t.Errorf("last answer of %s: got %#v, want a final answer", id, last)
		}
	}
}
