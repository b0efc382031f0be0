package leader

import (
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// BenchmarkEventAtTheCrest is the cost of one event at a home of 88 endpoints, all of which are
// busy, with jobs waiting: each end of a run and each new job is one.
func BenchmarkEventAtTheCrest(b *testing.B) {
	w := newWorld(b, 5, 88)
	w.addHome(1, 256)
	w.tell(1, DesiredState{State: prioritizedState()})
	w.advance(50)
	w.wantAll()
	w.takes = func(job.TaskName) clock.Millis { return plainTakes }
	seq := uint64(0)
	for b.Loop() {
		// 176 slots do 26 tasks of 170 ms in 25 ms; 40 come.
		for range 20 {
			seq++
			w.submitPlain(seq, 2)
		}
		w.advance(25)
	}
	b.ReportMetric(float64(w.spent.Microseconds())/float64(w.events), "µs/event")
	b.ReportMetric(float64(len(w.homes[1].home.queue)), "waiting")
}
