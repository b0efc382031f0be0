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

// Guards against concurrent attempts of a task, jobs without an outcome and refused jobs that have
// run, under random combinations of lost and late messages, endpoints that crash, and leaders that
// freeze or are replaced.
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
	c := newCluster(t, seed, 6)
	c.duration = func(n job.TaskName) clock.Millis { return 20 + clock.Millis(n[len(n)-1])*7%400 }
	for _, e := range c.sortedEndpoints {
		e.speed = 0.5 + c.random.Float64()
		e.drift = clockDrift * c.random.Float64()
	}
	c.addLeader(1, 256)
	c.advance(50)
	current := 1
	rate := 0.02 + 0.1*c.random.Float64()
	c.fault = func(int, datacentre.EndpointID, Action) delivery {
		if c.random.Float64() > rate {
			return delivery{}
		}
		switch c.random.IntN(3) {
		case 0:
			return delivery{lost: true}
		case 1:
			return delivery{answerLost: true}
		}
		return delivery{delay: clock.Millis(c.random.IntN(4000))}
	}
	open := make(map[uint64]job.Submission)
	for seq := uint64(1); seq <= 40; seq++ {
		s := submission("a-1", seq, 1+c.random.IntN(8))
		open[seq] = s
		c.deliver(current, Submitted{Submission: s})
		switch c.random.IntN(12) {
		case 0:
			for _, e := range c.sortedEndpoints {
				if c.random.IntN(4) == 0 {
					c.crash(e)
				}
			}
		case 1:
			if c.random.IntN(2) == 0 {
				c.leaders[current].stopped = true
			}
			current++
			c.addLeader(current, shard.Token(255+current))
			at := clock.Millis(c.random.IntN(150))
			c.advance(at)
			for _, seq := range slices.Sorted(maps.Keys(open)) {
				s := open[seq]
				if _, moved := c.outcomes[s.Key].(job.Moved); moved || c.outcomes[s.Key] == nil {
					delete(c.outcomes, s.Key)
					s.Adopt = true
					open[seq] = s
					c.deliver(current, Submitted{Submission: s})
				}
			}
		case 2:
			c.leaders[current].frozenUntil = c.now + clock.Millis(c.random.IntN(1500))
		}
		for step := 0; step < 4; step++ {
			var waiting []uint64
			for n, s := range open {
				if c.outcomes[s.Key] == nil {
					waiting = append(waiting, n)
				}
			}
			c.deliver(current, JobLeasesRenewed{Entry: "a-1", Sent: c.now, Waiting: waiting, LastSeq: seq})
			c.advance(clock.Millis(10 + c.random.IntN(40)))
		}
	}
	c.advance(6000)
	if got, want := c.maxConcurrentAttempts, 1; got != want {
		t.Errorf("seed %d: got %d concurrent attempts of a task, want %d", seed, got, want)
	}
	for seq, s := range open {
		o := c.outcomes[s.Key]
		if o == nil {
			t.Errorf("seed %d: job %d: got no outcome, want one", seed, seq)
		}
		if _, refused := o.(job.Refused); refused && !s.Adopt {
			for k := range s.Job.Steps[0].Tasks {
				if got := c.starts[TaskName(s.Job.ID, 0, k)]; got != 0 {
					t.Errorf("seed %d: job %d was refused: got %d starts of task %d, want none", seed, seq, got, k)
				}
			}
		}
	}
}
