package entry

import (
	"fmt"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// BenchmarkMembershipSecond measures the time that the control goroutine spends on membership
// and loans in one second without tasks: ticks, the heartbeats of all peers that send them,
// their answers, and one read of the rows and of the list. 1.1 % of a core is 11 ms.
func BenchmarkMembershipSecond(b *testing.B) {
	for _, size := range []struct{ dataCentres, each, endpoints int }{{3, 4, 640}, {3, 8, 640}, {3, 16, 640}, {7, 4, 640}, {7, 8, 100}, {7, 8, 640}, {7, 16, 640}, {22, 4, 640}, {22, 8, 640}, {22, 16, 640}, {22, 39, 640}} {
		b.Run(fmt.Sprintf("dataCentres=%d/vms=%d/endpoints=%d", size.dataCentres, size.each, size.endpoints), func(b *testing.B) {
			var vms []vm.VM
			var rows []vm.Row
			for z := range size.dataCentres {
				for i := range size.each {
					v := vm.VM{Incarnation: vm.Incarnation(fmt.Sprintf("z%dv%d-1", z, i)), DataCentre: datacentre.ID(fmt.Sprint("z", z)), PeerAddress: fmt.Sprint(z, ":", i), Size: 1}
					vms = append(vms, v)
					rows = append(rows, vm.Row{VM: v, Revision: 1})
				}
			}
			var listed EndpointsListed
			for i := range size.endpoints {
				listed.Endpoints = append(listed.Endpoints, datacentre.Endpoint{ID: datacentre.EndpointID(fmt.Sprint("e", i)), DataCentre: "z0", Slots: 8})
			}
			c := NewControl(ControlConfig{DataCentre: "z0", Self: vms[0].Incarnation, VM: vms[0], Dispatch: dispatch.Config{MaxQueuedTasks: 1000}, AttemptTimeout: 30 * clock.Second})
			second := func(from clock.Millis) {
				c.Handle(from, RowsRead{Rows: rows})
				c.Handle(from, listed)
				for now := from; now < from+clock.Second; now += 50 {
					if now%HeartbeatInterval == 0 {
						for i, v := range vms {
							if i == 0 || v.DataCentre != "z0" && i%size.each > 1 {
								continue
							}
							c.Handle(now, HeartbeatReceived{Heartbeat: Heartbeat{From: v, Lendable: 4}})
						}
					}
					for _, a := range append([]Action(nil), c.Handle(now, Tick{})...) {
						if h, ok := a.(SendHeartbeat); ok {
							c.Handle(now, HeartbeatAnswered{To: h.To, Answered: h.To.Incarnation, RoundTripMicros: 500, ReportedUpTo: h.reportedUpTo})
						}
					}
				}
			}
			now := clock.Second
			for ; now < 10*clock.Second; now += clock.Second {
				second(now)
			}
			b.ResetTimer()
			for range b.N {
				second(now)
				now += clock.Second
			}
		})
	}
}
