package entry

import (
	"math/rand/v2"
	"os"
	"strconv"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
)

// TestRandomFaults guards against second starts, partial answers, false refusals,
// different endings and submissions without an ending under combined faults: lost,
// late, duplicate messages, cuts, pauses, one crash or shutdown, and a platform that is down or
// loses answers. SEQUOIACART_FAULT_SEED runs one seed, SEQUOIACART_FAULT_RUNS more seeds.
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
		s := newStorm(t, seed)
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

// storm is a random run of submissions and faults.
type storm struct {
	*world
	ids     []contract.SubmissionID
	jobs    map[contract.SubmissionID]contract.Submission
	crashed bool
	drained int
	ended   map[string]int
}

func newStorm(t *testing.T, seed uint64) *storm {
	w := newWorld(t, "a", "b", "c")
	w.rng = rand.New(rand.NewPCG(seed, 7))
	w.faults = w.rng.Float64() * 0.4
	s := &storm{world: w, jobs: map[contract.SubmissionID]contract.Submission{}, ended: map[string]int{}}
	w.runTime = func() clock.Millis { return clock.Millis(w.rng.IntN(2000)) }
	w.result = func() contract.AttemptResult {
		switch w.rng.IntN(20) {
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

func (s *storm) run() {
	for range 150 {
		s.step()
		s.advance(clock.Millis(1 + s.rng.IntN(400)))
	}
	s.heal()
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

func (s *storm) step() {
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
		s.again(n)
	case 7:
		s.cut(n, other, true)
	case 8, 9:
		s.cut(n, other, false)
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
			s.stop(n)
		}
	}
}

// stop ends a VM by a crash or, every second time, after a graceful shutdown.
func (s *storm) stop(n *node) {
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

// again asks for, submits or cancels an earlier submission through any VM.
func (s *storm) again(via *node) {
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

func (s *storm) heal() {
	s.faults, s.platformDown, s.loseAnswers = 0, false, false
	clear(s.cuts)
	for _, n := range s.nodes {
		n.resume()
	}
	s.publishRoster()
}

func (s *storm) checkEnded() {
	for _, id := range s.ids {
		last := s.endings[id][len(s.endings[id])-1]
		s.ended[kindOf(last)]++
		switch last.(type) {
		case contract.Running, contract.CannotTellYet:
			s.t.Errorf("last answer of %s: got %#v, want an ending", id, last)
		}
	}
}
