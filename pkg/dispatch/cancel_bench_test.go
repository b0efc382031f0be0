package dispatch

import (
	"fmt"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
)

// BenchmarkCancel cancels 10,000 waiting tasks in jobs of 10 while other tasks wait, and
// reports the time per task.
func BenchmarkCancel(b *testing.B) {
	const wave, size = 10_000, 10
	for _, others := range []int{0, 10_000, 100_000} {
		b.Run(fmt.Sprintf("others=%d", others), func(b *testing.B) {
			for range b.N {
				b.StopTimer()
				s := New(Config{MaxQueuedTasks: 1 << 20})
				s.SetOwners(clock.Hour, []owner.Owner{{ID: "a", Share: 1}})
				for i := range (wave + others) / size {
					deadline := clock.Hour + clock.Millis(i*7919%5000)
					s.Admit(clock.Hour, Job{Ref: contract.JobRef(i), Owner: "a", Kind: "k", Deadline: deadline, Tasks: size})
				}
				b.StartTimer()
				for i := range wave / size {
					s.Cancel(clock.Hour, contract.JobRef(i))
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/wave, "ns/task")
		})
	}
}
