package leader

import (
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// BenchmarkEventAtPeak measures the cost of one event at a leader of 88 busy endpoints with queued
// jobs; events are mostly ends of attempts and new jobs.
func BenchmarkEventAtPeak(b *testing.B) {
	c := newCluster(b, 5, 88)
	c.addLeader(1, 256)
	c.deliver(1, DesiredState{State: prioritizedState()})
	c.advance(50)
	c.renewAllLeases()
	c.duration = func(job.TaskName) clock.Millis { return plainDuration }
	seq := uint64(0)
	for b.Loop() {
		// 176 slots finish 26 tasks of 170 ms in 25 ms; 40 arrive.
		for range 20 {
			seq++
			c.submitPlain(seq, 2)
		}
		c.advance(25)
	}
	b.ReportMetric(float64(c.handlingTime.Microseconds())/float64(c.events), "µs/event")
	b.ReportMetric(float64(len(c.leaders[1].leader.queue)), "waiting")
}
