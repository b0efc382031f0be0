package dispatch

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
)

// BenchmarkMemory reports the memory of a scheduler for different numbers of owners,
// endpoints, waiting jobs and tasks per job. No task runs.
func BenchmarkMemory(b *testing.B) {
	for _, size := range []struct{ owners, endpoints, jobs, tasks int }{
		{12, 12, 0, 1},
		{120, 12, 0, 1},
		{12, 640, 0, 1},
		{120, 640, 0, 1},
		{120, 640, 2000, 1},
		{120, 640, 20000, 1},
		{120, 640, 2000, 370},
	} {
		b.Run(fmt.Sprintf("owners=%d/endpoints=%d/jobs=%d/tasks=%d", size.owners, size.endpoints, size.jobs, size.tasks), func(b *testing.B) {
			var schedulers []*Scheduler
			before := heapBytes()
			for range b.N {
				schedulers = append(schedulers, loadedScheduler(size.owners, size.endpoints, size.jobs, size.tasks))
			}
			b.ReportMetric((heapBytes()-before)/float64(b.N), "B/scheduler")
			runtime.KeepAlive(schedulers)
		})
	}
}

func loadedScheduler(owners, endpoints, jobs, tasks int) *Scheduler {
	s := New(Config{MaxQueuedTasks: 1 << 20})
	var list []owner.Owner
	for i := range owners {
		list = append(list, owner.Owner{ID: owner.ID(fmt.Sprintf("o%03d", i)), Share: 1})
	}
	s.SetOwners(clock.Hour, list)
	for i := range endpoints {
		s.SetSlots(clock.Hour, endpointName(i), 8)
	}
	for n := range jobs {
		s.Admit(clock.Hour, Job{
			Ref:      contract.JobRef(n + 1),
			Owner:    list[n%owners].ID,
			Rank:     owner.Rank(n % 3),
			Kind:     "swap",
			Deadline: 2 * clock.Hour,
			Tasks:    tasks,
		})
	}
	return s
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
