package dispatch

import (
	"fmt"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
)

// BenchmarkDecision measures Admit, Next and Finish of one task while a given number of
// tasks waits. Jobs have one task each, which is the most expensive case: each task needs
// its own Admit.
func BenchmarkDecision(b *testing.B) {
	for _, queued := range []int{10, 100, 1000, 10000} {
		for _, owners := range []int{1, 12, 120} {
			for _, endpoints := range []int{12, 48, 640} {
				name := fmt.Sprintf("queued=%d/owners=%d/endpoints=%d", queued, owners, endpoints)
				b.Run(name, func(b *testing.B) { benchmarkDecision(b, queued, owners, endpoints) })
			}
		}
	}
}

func benchmarkDecision(b *testing.B, queued, owners, endpoints int) {
	l := newBenchLoad(queued, owners, endpoints)
	for range 4 * (queued + 8*endpoints) {
		l.step()
	}
	before := l.finished
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		l.step()
	}
	b.ReportMetric(float64(l.finished-before)/float64(b.N), "finished/op")
}

// benchLoad keeps all slots occupied and the queue at a constant length.
type benchLoad struct {
	scheduler *Scheduler
	now       clock.Millis
	steps     int
	queued    int
	waiting   int
	owners    []owner.ID
	kinds     []contract.Kind
	// running is a ring buffer of the running tasks.
	running           []Start
	started, finished int
	ref               contract.JobRef
}

func newBenchLoad(queued, owners, endpoints int) *benchLoad {
	l := &benchLoad{
		scheduler: New(Config{MaxQueuedTasks: 1 << 20}),
		now:       clock.Hour,
		queued:    queued,
		kinds:     []contract.Kind{"swap", "notice", "stamp"},
		running:   make([]Start, 8*endpoints),
	}
	var list []owner.Owner
	for i := range owners {
		o := owner.Owner{ID: owner.ID(fmt.Sprintf("o%03d", i)), Share: owner.Share(1 + i%3)}
		l.owners = append(l.owners, o.ID)
		list = append(list, o)
	}
	l.scheduler.SetOwners(l.now, list)
	for i := range endpoints {
		l.scheduler.SetSlots(l.now, endpointName(i), 8)
	}
	return l
}

func (l *benchLoad) step() {
	l.steps++
	if l.steps%16 == 0 {
		l.now++
	}
	if l.steps%512 == 0 {
		l.scheduler.Tick(l.now)
	}
	for l.waiting < l.queued {
		l.admit()
	}
	for !l.start() {
		l.finish()
	}
}

func (l *benchLoad) start() bool {
	st, ok := l.scheduler.Next(l.now)
	if !ok {
		return false
	}
	l.waiting--
	l.running[l.started%len(l.running)] = st
	l.started++
	return true
}

func (l *benchLoad) finish() {
	l.scheduler.Finish(l.now, l.running[l.finished%len(l.running)], contract.Succeeded{})
	l.finished++
}

func (l *benchLoad) admit() {
	l.ref++
	n := int(l.ref)
	l.scheduler.Admit(l.now, Job{
		Ref:      l.ref,
		Owner:    l.owners[n%len(l.owners)],
		Rank:     owner.Rank(n % 3),
		Kind:     l.kinds[n%len(l.kinds)],
		Deadline: l.now + clock.Hour + clock.Millis(n*7919%5000),
		Tasks:    1,
	})
	l.waiting++
}
