package leader

import (
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// Guards against starts that queue in front of a leader's narrow link while the link of another leader is
// idle, against jobs that are sent too late and delay those behind them, and against jobs that move for
// nothing. It is the pattern of a peak at one data centre with links of 2 Mbit/s.
func TestJobsOfAFullLink(t *testing.T) {
	for _, tt := range []struct {
		name       string
		delay      clock.Millis
		otherDelay clock.Millis
		otherFree  int64
		want       string
	}{
		{"link free", 0, 0, 384_000, ""},
		{"short queue", minReliefDelay - 1, 0, 384_000, ""},
		{"other link idle", 40, 0, 384_000, "job.Redirected"},
		{"other link as full", 40, 30, 384_000, ""},
		{"other shard without capacity", 40, 0, 14_000, ""},
		{"too late, other link idle", 200, 0, 384_000, "job.Redirected"},
		{"too late everywhere", 200, 190, 384_000, "refused noRoomInTime"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, 50, 4)
			f := c.addLeader(1, 256)
			c.advance(200)
			f.leader.config.LinkDelay = func() clock.Millis { return tt.delay }
			c.deliver(1, LoadReported{Load: shard.Load{Cell: "norte", TotalCPU: 384_000, FreeCPU: tt.otherFree, LinkDelay: tt.otherDelay, At: c.now}})
			c.renewLeases(1, "a-1", 1)
			s := submission("a-1", 1, 4)
			c.deliver(1, Submitted{Submission: s})
			got := ""
			if o := c.outcomes[s.Key]; o != nil {
				got = outcomeName(o)
			}
			if got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
			if _, refused := c.outcomes[s.Key].(job.Refused); refused && len(c.starts) > 0 {
				t.Errorf("got %d starts of a refused job, want none", len(c.starts))
			}
			if got, want := f.leader.Load(c.now).LinkDelay, tt.delay; got != want {
				t.Errorf("got a reported delay of %d ms, want %d ms", got, want)
			}
		})
	}
}
