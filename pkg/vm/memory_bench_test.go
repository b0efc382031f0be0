package vm_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// BenchmarkMemory reports the memory of a membership with its current roster.
func BenchmarkMemory(b *testing.B) {
	for _, size := range []int{12, 88, 352, 858} {
		b.Run(fmt.Sprint("vms=", size), func(b *testing.B) {
			var kept []*vm.Membership
			before := heapBytes()
			for range b.N {
				m := vm.NewMembership(0, vm.VM{Incarnation: "v0-1", DataCentre: "dc0", Size: 1})
				var rows []vm.Row
				for i := range size {
					rows = append(rows, vm.Row{Revision: 1, VM: vm.VM{Incarnation: vm.Incarnation(fmt.Sprintf("v%d-0123456789ab", i)), DataCentre: datacentre.ID(fmt.Sprint("dc", i%22)), PeerAddress: fmt.Sprintf("10.11.12.13:%d", 7000+i), Size: 1}})
				}
				m.RecordRows(1, rows)
				kept = append(kept, m)
			}
			b.ReportMetric((heapBytes()-before)/float64(b.N), "B/membership")
			runtime.KeepAlive(kept)
		})
	}
}

// BenchmarkWitnesses reports how many issuers have the same VM as witness: the mean over
// data centres of the VM with most of them, and the most of all.
func BenchmarkWitnesses(b *testing.B) {
	for _, each := range []int{4, 8, 16, 39} {
		b.Run(fmt.Sprint("vms=", each), func(b *testing.B) {
			sum, most := 0, 0
			const dataCentres = 100
			for z := range dataCentres {
				var vms []vm.VM
				for i := range each {
					vms = append(vms, vm.VM{Incarnation: vm.Incarnation(fmt.Sprintf("z%dv%d-%d", z, i, 7*z+i)), DataCentre: "z", Size: 1})
				}
				witnessed := make(map[vm.Incarnation]int)
				largest := 0
				for _, v := range vms {
					w := vm.NewRoster(vm.RosterConfig{Self: v.Incarnation, VMs: vms}).Witness()
					witnessed[w]++
					largest = max(largest, witnessed[w])
				}
				sum, most = sum+largest, max(most, largest)
			}
			b.ReportMetric(float64(sum)/dataCentres, "issuers-of-busiest/dataCentre")
			b.ReportMetric(float64(most), "issuers-of-busiest")
		})
	}
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
