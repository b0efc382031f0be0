package vm_test

import (
	"fmt"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// BenchmarkMembership measures the cost of one heartbeat and of one evaluation for different
// numbers of VMs.
func BenchmarkMembership(b *testing.B) {
	for _, size := range []int{12, 48, 352} {
		m := vm.NewMembership(0, vm.VM{Incarnation: "v0-1", DataCentre: "dc0", Size: 1})
		var vms []vm.VM
		for i := range size {
			v := vm.VM{Incarnation: vm.Incarnation(fmt.Sprintf("v%d-1", i)), DataCentre: datacentre.ID(fmt.Sprint("dc", i/16)), PeerAddress: fmt.Sprint(i), Size: 1}
			vms = append(vms, v)
			m.RecordReport(1, "d-1", v)
		}
		now := clock.Millis(1)
		b.Run(fmt.Sprint("heartbeat/", size), func(b *testing.B) {
			for i := range b.N {
				m.RecordHeartbeat(now, vms[i%len(vms)])
			}
		})
		b.Run(fmt.Sprint("evaluate/", size), func(b *testing.B) {
			for range b.N {
				m.Evaluate(now)
			}
		})
	}
}
