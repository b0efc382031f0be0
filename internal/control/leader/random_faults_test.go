package leader

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// Guards against combinations of faults that nobody has thought of. The seeds that failed
// are kept in the table.
func TestRandomFaults(t *testing.T) {
	seeds := 150
	if testing.Short() {
		seeds = 30
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { randomFaults(t, uint64(seed)) })
	}
}

func randomFaults(t *testing.T, seed uint64) {
	w := newWorld(t, seed, 6)
	w.takes = func(n job.TaskName) clock.Millis { return 20 + clock.Millis(n[len(n)-1])*7%400 }
	for _, e := range w.inOrder {
		e.speed = 0.5 + w.random.Float64()
	}
	w.addHome(1, 256)
	w.advance(50)
	current := 1
	rate := 0.02 + 0.1*w.random.Float64()
	w.fault = func(int, datacentre.EndpointID, Action) delivery {
		if w.random.Float64() > rate {
			return delivery{}
		}
		switch w.random.IntN(3) {
		case 0:
			return delivery{lost: true}
		case 1:
			return delivery{answerLost: true}
		}
		return delivery{later: clock.Millis(w.random.IntN(4000))}
	}
	open := make(map[uint64]job.Submission)
	for seq := uint64(1); seq <= 40; seq++ {
		s := submission("a-1", seq, 1+w.random.IntN(8))
		open[seq] = s
		w.tell(current, Submitted{Submission: s})
		switch w.random.IntN(12) {
		case 0:
			for _, e := range w.inOrder {
				if w.random.IntN(4) == 0 {
					e.crash()
				}
			}
		case 1:
			if w.random.IntN(2) == 0 {
				w.homes[current].gone = true
			}
			current++
			w.addHome(current, shard.Token(255+current))
			at := clock.Millis(w.random.IntN(150))
			w.advance(at)
			for _, seq := range slices.Sorted(maps.Keys(open)) {
				s := open[seq]
				if _, moved := w.outcomes[s.Key].(job.Moved); moved || w.outcomes[s.Key] == nil {
					delete(w.outcomes, s.Key)
					s.Adopt = true
					open[seq] = s
					w.tell(current, Submitted{Submission: s})
				}
			}
		case 2:
			w.homes[current].frozen = w.now + clock.Millis(w.random.IntN(1500))
		}
		for step := 0; step < 4; step++ {
			var waiting []uint64
			for n, s := range open {
				if w.outcomes[s.Key] == nil {
					waiting = append(waiting, n)
				}
			}
			w.tell(current, JobLeasesRenewed{Entry: "a-1", Sent: w.now, Waiting: waiting, LastSeq: seq})
			w.advance(clock.Millis(10 + w.random.IntN(40)))
		}
	}
	w.advance(6000)
	if got, want := w.mostRuns, 1; got != want {
		t.Errorf("seed %d: got %d runs of a task at the same time, want %d", seed, got, want)
	}
	for seq, s := range open {
		o := w.outcomes[s.Key]
		if o == nil {
			t.Errorf("seed %d: job %d: got no outcome, want one", seed, seq)
		}
		if _, refused := o.(job.Refused); refused && !s.Adopt {
			for k := range s.Job.Steps[0].Tasks {
				if got := w.starts[TaskName(s.Job.ID, 0, k)]; got != 0 {
					t.Errorf("seed %d: job %d was refused: got %d starts of task %d, want none", seed, seq, got, k)
				}
			}
		}
	}
}
