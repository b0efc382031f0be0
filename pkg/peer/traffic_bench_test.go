package peer_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/accounting"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
	"github.com/sequoiacart/sequoiacart/pkg/entry"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/peer"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// heartbeatHandler only answers heartbeats.
type heartbeatHandler struct{ peer.Handler }

func (heartbeatHandler) HandleHeartbeat(context.Context, entry.Heartbeat) (vm.Incarnation, error) {
	return "sur12-0123456789ab", nil
}

// pipeListener accepts the connections sent to its channel.
type pipeListener struct{ conns chan net.Conn }

func (l pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (l pipeListener) Close() error   { close(l.conns); return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Write(b []byte) (int, error) {
	c.bytes.Add(int64(len(b)))
	return c.Conn.Write(b)
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkControlTraffic reports the calls per second of one VM, derived from the heartbeat
// targets of a roster in a steady state, and their bytes, measured over a counting connection
// for requests and replies without TCP and IP headers. The calls that a VM makes are counted
// twice, since it receives as many as it makes.
func BenchmarkControlTraffic(b *testing.B) {
	perCall := measureHeartbeat(b, heartbeatSize{})
	perDigest := measureHeartbeat(b, heartbeatSize{owners: accounting.MaxDigestOwners}) - perCall
	perDataCentreDigest := measureHeartbeat(b, heartbeatSize{dataCentreOwners: accounting.MaxDataCentreDigestOwners}) - perCall
	for _, dataCentres := range []int{3, 7, 22} {
		for _, vmsEach := range []int{4, 8, 16, 39} {
			mean, highest := heartbeatsPerSecond(dataCentres, vmsEach)
			// The number of peers of the VM that is the delegate toward most data centres.
			peers := vmsEach - 1 + int((highest-float64(vmsEach-1)*float64(clock.Second)/float64(entry.HeartbeatInterval))*float64(entry.DataCentreHeartbeatInterval)/float64(clock.Second)+0.5)
			b.Run(fmt.Sprintf("dataCentres=%d/vms=%d", dataCentres, vmsEach), func(b *testing.B) {
				for range b.N {
					heartbeatsPerSecond(dataCentres, vmsEach)
				}
				b.ReportMetric(2*mean, "mean-calls/s")
				b.ReportMetric(2*highest, "most-calls/s")
				b.ReportMetric(2*mean*perCall/1000, "mean-KB/s")
				b.ReportMetric(2*highest*perCall/1000, "most-KB/s")
				b.ReportMetric(2*float64(vmsEach-1)*perDigest/1000*float64(clock.Second)/float64(accounting.DigestInterval(vmsEach-1)), "usage-KB/s")
				b.ReportMetric(perDataCentreDigest, "data-centre-digest-bytes")
				b.ReportMetric(2*float64(peers)*perDataCentreDigest/1000*float64(clock.Second)/float64(accounting.DataCentreDigestInterval(peers)), "data-centres-KB/s")
			})
		}
	}
}

// heartbeatsPerSecond returns the heartbeats that a VM of the first data centre sends: the
// mean, and the highest rate, at the VM that is the delegate toward most data centres.
func heartbeatsPerSecond(dataCentres, vmsEach int) (mean, highest float64) {
	var vms []vm.VM
	for z := range dataCentres {
		for i := range vmsEach {
			vms = append(vms, vm.VM{Incarnation: vm.Incarnation(fmt.Sprintf("z%dv%d-1", z, i)), DataCentre: datacentre.ID(fmt.Sprint("z", z)), Size: 1})
		}
	}
	for _, v := range vms[:vmsEach] {
		r := vm.NewRoster(vm.RosterConfig{Self: v.Incarnation, VMs: vms})
		rate := 0.0
		for _, to := range r.HeartbeatTargets(1) {
			interval := entry.HeartbeatInterval
			if to.DataCentre != v.DataCentre {
				interval = entry.DataCentreHeartbeatInterval
			}
			rate += float64(clock.Second) / float64(interval)
		}
		mean += rate / float64(vmsEach)
		highest = max(highest, rate)
	}
	return mean, highest
}

// heartbeatSize is the number of entries of each kind in a heartbeat.
type heartbeatSize struct{ owners, dataCentreOwners, reports, drains int }

// BenchmarkHeartbeat measures the bytes of one heartbeat with its reply for different
// contents, and the time to encode, handle and decode it at both ends.
func BenchmarkHeartbeat(b *testing.B) {
	for _, size := range []heartbeatSize{{}, {owners: 4}, {owners: 12}, {owners: 120}, {reports: 1}, {reports: 32}, {drains: 1}, {drains: 32}} {
		b.Run(fmt.Sprintf("owners=%d/reports=%d/drains=%d", size.owners, size.reports, size.drains), func(b *testing.B) {
			b.ReportMetric(measureHeartbeat(b, size), "B/heartbeat")
		})
	}
}

func measureHeartbeat(b *testing.B, size heartbeatSize) float64 {
	b.Helper()
	c, bytes := pipeClient(b, heartbeatHandler{})
	self := vm.VM{Incarnation: "sur11-0123456789ab", DataCentre: "sur", PeerAddress: "10.11.12.13:7001", Size: 16, Started: 1_765_000_000_000}
	var usage []dispatch.OwnerUsage
	for i := range size.owners {
		usage = append(usage, dispatch.OwnerUsage{Owner: owner.ID(fmt.Sprint("owner", i)), SlotTime: 100_000_000, Charged: 100_000_000, Backlog: 100, Started: 1_000_000, Refused: 1000, Waited: 10_000_000, LongestWait: 10_000})
	}
	var dataCentres []accounting.DataCentreUsage
	for i := range size.dataCentreOwners {
		dataCentres = append(dataCentres, accounting.DataCentreUsage{DataCentre: "norte", Age: 10_000, Usage: dispatch.OwnerUsage{Owner: owner.ID(fmt.Sprint("owner", 100+i)), SlotTime: 100_000_000, Backlog: 100, Started: 1_000_000, Refused: 1000, Waited: 10_000_000, LongestWait: 10_000}})
	}
	h := entry.Heartbeat{From: self, RosterVersion: 1000, Backlog: 1000, Reaches: []datacentre.ID{"sur", "oeste", "norte"}, Usage: usage, DataCentres: dataCentres}
	for range size.reports {
		h.Reports = append(h.Reports, self)
	}
	for i := range size.drains {
		h.Drains = append(h.Drains, datacentre.DrainReport{Endpoint: datacentre.EndpointID(fmt.Sprint("playout", i)), Leaving: true, Age: 1000})
	}
	calls := max(100, b.N)
	for i := range calls + 1 {
		if i == 1 {
			// The first call also carries gob's type descriptions.
			bytes.Store(0)
			b.ResetTimer()
		}
		if _, err := c.Heartbeat(context.Background(), self, h); err != nil {
			b.Fatal(err)
		}
	}
	return float64(bytes.Load()) / float64(calls)
}

type fixedDialer struct{ conn net.Conn }

func (d fixedDialer) DialContext(context.Context, string, string) (net.Conn, error) {
	return d.conn, nil
}

// pipeClient returns a client that is connected in memory to a server with the handler, and
// the counter of bytes in both directions.
func pipeClient(b *testing.B, h peer.Handler) (*peer.Client, *atomic.Int64) {
	b.Helper()
	conns := make(chan net.Conn, 1)
	server, err := peer.NewServer(peer.ServerConfig{Listener: pipeListener{conns}, Handler: h})
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = server.Serve() }()
	bytes := new(atomic.Int64)
	clientEnd, serverEnd := net.Pipe()
	conns <- serverEnd
	c := peer.NewClient(peer.ClientConfig{Dialer: fixedDialer{countingConn{clientEnd, bytes}}})
	b.Cleanup(func() { c.Close(); server.Close() })
	return c, bytes
}
