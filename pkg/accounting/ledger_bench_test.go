package accounting

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// BenchmarkLedgerMemory reports the memory that the figures of all VMs of a data centre take.
func BenchmarkLedgerMemory(b *testing.B) {
	for _, size := range []struct{ vms, owners int }{{4, 12}, {16, 12}, {16, 120}} {
		b.Run(fmt.Sprintf("vms=%d/owners=%d", size.vms, size.owners), func(b *testing.B) {
			var usage []dispatch.OwnerUsage
			for i := range size.owners {
				usage = append(usage, dispatch.OwnerUsage{Owner: owner.ID(fmt.Sprint("owner", i))})
			}
			var kept []*Ledger
			before := heapBytes()
			for range b.N {
				l := NewLedger()
				for i := range size.vms {
					l.Record(1, vm.Incarnation(fmt.Sprint("v", i)), usage)
				}
				kept = append(kept, l)
			}
			b.ReportMetric((heapBytes()-before)/float64(b.N), "B/ledger")
			runtime.KeepAlive(kept)
		})
	}
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
