package app

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sequoiacart/sequoiacart/pkg/bundlestore"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/operator"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/peer"
	"github.com/sequoiacart/sequoiacart/pkg/platform"
	"github.com/sequoiacart/sequoiacart/pkg/standin"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// countingWriter counts the bytes of the platform's answers, without headers.
type countingWriter struct {
	http.ResponseWriter
	bytes *int
}

func (w countingWriter) Write(b []byte) (int, error) {
	*w.bytes += len(b)
	return w.ResponseWriter.Write(b)
}

// BenchmarkPollRoster measures one read of the rows of all entry VMs: the bytes of the answer, and
// the time that the stand-in and the VM take together.
func BenchmarkPollRoster(b *testing.B) {
	for _, vms := range []int{12, 88, 352, 858} {
		b.Run(fmt.Sprint("vms=", vms), func(b *testing.B) {
			platformStandin := standin.NewPlatform()
			client, bytes := benchPlatform(b, platformStandin)
			for i := range vms {
				self := vm.VM{Incarnation: vm.Incarnation(fmt.Sprintf("sur%d-0123456789ab", i)), DataCentre: "sur", PeerAddress: "10.11.12.13:7001", Size: 16, Started: 1_765_000_000_000}
				if err := newRosterRows(client.Table(), clock.NewSystem(), self).register(b.Context()); err != nil {
					b.Fatal(err)
				}
			}
			rows := newRosterRows(client.Table(), clock.NewSystem(), vm.VM{})
			benchPoll(b, bytes, func(ctx context.Context) error {
				_, err := rows.read(ctx)
				return err
			})
		})
	}
}

// BenchmarkPollEndpoints measures one read of the platform's list of endpoints, which includes
// all data centres.
func BenchmarkPollEndpoints(b *testing.B) {
	for _, size := range []struct{ endpoints, dataCentres int }{{48, 1}, {640, 1}, {14000, 1}, {14000, 22}} {
		b.Run(fmt.Sprintf("endpoints=%d/dataCentres=%d", size.endpoints, size.dataCentres), func(b *testing.B) {
			platformStandin := standin.NewPlatform()
			client, bytes := benchPlatform(b, platformStandin)
			for i := range size.endpoints {
				platformStandin.SetVM(platform.ListedVM{Endpoint: datacentre.Endpoint{ID: datacentre.EndpointID(fmt.Sprintf("playout%05d", i)), DataCentre: datacentre.ID(fmt.Sprint("dc", i%size.dataCentres)), Rack: "rack1", Address: "10.11.12.13:8000", Slots: 8, Connections: 64}})
			}
			benchPoll(b, bytes, func(ctx context.Context) error {
				_, err := client.ListVMs(ctx, "dc0")
				return err
			})
		})
	}
}

func benchPlatform(b *testing.B, platformStandin *standin.Platform) (*platform.Client, *int) {
	bytes := new(int)
	handler := platformStandin.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(countingWriter{w, bytes}, r)
	}))
	b.Cleanup(server.Close)
	client := platform.NewClient(platform.ClientConfig{Address: strings.TrimPrefix(server.URL, "http://"), AttemptTimeout: 5 * clock.Second, CallsPerSecond: 1 << 20})
	b.Cleanup(client.Close)
	return client, bytes
}

func benchPoll(b *testing.B, bytes *int, poll func(context.Context) error) {
	*bytes = 0
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if err := poll(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(*bytes)/float64(b.N), "B/poll")
}

// BenchmarkPlatformCalls counts the platform calls of one VM while idle and, after subtracting the
// idle calls, per change of the bundle. The operator's own calls are not counted.
func BenchmarkPlatformCalls(b *testing.B) {
	for _, vms := range []int{3, 9} {
		b.Run(fmt.Sprint("vms=", vms), func(b *testing.B) {
			for range b.N {
				benchmarkPlatformCalls(b, vms)
			}
		})
	}
}

const (
	// callsWindow is how long calls are counted: first while idle, then during callsChanges changes.
	callsWindow  = 10 * time.Second
	callsChanges = 5
)

func benchmarkPlatformCalls(b *testing.B, vms int) {
	handler := standin.NewPlatform().Handler()
	var reads, writes atomic.Int64
	counted := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			reads.Add(1)
		} else {
			writes.Add(1)
		}
		handler.ServeHTTP(w, r)
	}))
	b.Cleanup(counted.Close)
	uncounted := httptest.NewServer(handler)
	b.Cleanup(uncounted.Close)
	client := platform.NewClient(platform.ClientConfig{Address: strings.TrimPrefix(uncounted.URL, "http://"), AttemptTimeout: 5 * clock.Second, CallsPerSecond: 10000})
	b.Cleanup(client.Close)
	peers := peer.NewClient(peer.ClientConfig{Dialer: &net.Dialer{}})
	b.Cleanup(peers.Close)
	store := bundlestore.New(client.Table(), client.Objects())
	fleet := &operator.Fleet{Store: store, Peers: peers, Timeout: 5 * clock.Second}
	o := operator.New(operator.Deps{Name: "bench", Store: store, Clock: clock.NewSystem()})
	pin, signOff, err := o.Bootstrap(b.Context(), []owner.Owner{{ID: "owner000", Share: 1, Classes: []owner.Class{{Name: "alert", Deadline: clock.Second}}, Limits: owner.Limits{TasksPerJob: 370, QueuedTasks: 10000}}})
	if err != nil {
		b.Fatal(err)
	}
	var daemons []*Daemon
	for i := range vms {
		daemons = append(daemons, startDaemon(b, vm.ID(fmt.Sprintf("vm%d", i)), strings.TrimPrefix(counted.URL, "http://"), string(pin)))
	}
	waitForShare(daemons, 1)
	time.Sleep(callsWindow / 5)
	window := func(work func()) (r, w float64) {
		start, r0, w0 := time.Now(), reads.Load(), writes.Load()
		work()
		time.Sleep(callsWindow - time.Since(start))
		return float64(reads.Load()-r0) / float64(vms), float64(writes.Load()-w0) / float64(vms)
	}
	idleReads, idleWrites := window(func() {})
	workReads, workWrites := window(func() {
		for n := range callsChanges {
			rollShare(b, o, fleet, signOff, daemons, owner.Share(n+2))
			time.Sleep(callsWindow / callsChanges / 2)
		}
	})
	b.ReportMetric(idleReads/callsWindow.Seconds(), "idle-reads/s")
	b.ReportMetric(idleWrites/callsWindow.Seconds(), "idle-writes/s")
	b.ReportMetric((workReads-idleReads)/callsChanges, "reads/change")
	b.ReportMetric((workWrites-idleWrites)/callsChanges, "writes/change")
}

// rollShare rolls out a bundle with a changed share to all VMs.
func rollShare(b *testing.B, o *operator.Operator, fleet *operator.Fleet, signOff operator.SignOff, daemons []*Daemon, share owner.Share) {
	b.Helper()
	ctx := b.Context()
	candidate := signShare(b, o, signOff, daemons, share)
	reports, err := fleet.Store.Reports(ctx)
	if err != nil {
		b.Fatal(err)
	}
	rolled, err := o.Roll(ctx, candidate)
	if err != nil {
		b.Fatal(err)
	}
	announcement, err := o.Announcement(ctx, rolled.Head)
	if err != nil {
		b.Fatal(err)
	}
	fleet.Announce(ctx, reports, announcement)
	waitForShare(daemons, share)
}
