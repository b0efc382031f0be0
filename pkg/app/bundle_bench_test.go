package app

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/bundlestore"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/operator"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/peer"
	"github.com/sequoiacart/sequoiacart/pkg/platform"
	"github.com/sequoiacart/sequoiacart/pkg/standin"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

const (
	benchVMs                      = 9
	benchAnswerDelay clock.Millis = 1500
)

// BenchmarkForce measures the time from the acceptance of a version until it is in force on the
// last of 9 VMs in this process, over real sockets. The cases are: announced by the operator and
// relayed between peers; not announced by the operator; and announced while the platform takes
// 1.5 s for each answer after the acceptance.
func BenchmarkForce(b *testing.B) {
	for _, owners := range []int{12, 120} {
		b.Run(fmt.Sprintf("owners=%d/pushed", owners), func(b *testing.B) { benchmarkForce(b, owners, true, 0) })
		b.Run(fmt.Sprintf("owners=%d/polled", owners), func(b *testing.B) { benchmarkForce(b, owners, false, 0) })
		b.Run(fmt.Sprintf("owners=%d/slow", owners), func(b *testing.B) { benchmarkForce(b, owners, true, benchAnswerDelay) })
	}
}

func benchmarkForce(b *testing.B, ownerCount int, announce bool, answerDelay clock.Millis) {
	platformStandin := standin.NewPlatform()
	setAnswerDelay := func(delay clock.Millis) {
		platformStandin.SetFaults(standin.TableService, standin.Faults{Delay: delay})
		platformStandin.SetFaults(standin.ObjectService, standin.Faults{Delay: delay})
	}
	server := httptest.NewServer(platformStandin.Handler())
	b.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	client := platform.NewClient(platform.ClientConfig{Address: address, AttemptTimeout: 5 * clock.Second, CallsPerSecond: 10000})
	peers := peer.NewClient(peer.ClientConfig{Dialer: &net.Dialer{}})
	b.Cleanup(func() { client.Close(); peers.Close() })
	store := bundlestore.New(client.Table(), client.Objects())
	fleet := &operator.Fleet{Store: store, Peers: peers, Timeout: 5 * clock.Second}
	o := operator.New(operator.Deps{Name: "bench", Store: store, Clock: clock.NewSystem()})
	ctx := context.Background()
	var owners []owner.Owner
	for i := range ownerCount {
		owners = append(owners, owner.Owner{
			ID: owner.ID(fmt.Sprintf("owner%03d", i)), Share: 1,
			Classes: []owner.Class{{Name: "alert", Deadline: clock.Second}, {Name: "normal", Rank: 1, Deadline: clock.Minute}},
			Limits:  owner.Limits{TasksPerJob: 370, QueuedTasks: 10000},
		})
	}
	pin, signOff, err := o.Bootstrap(ctx, owners)
	if err != nil {
		b.Fatal(err)
	}
	var daemons []*Daemon
	for i := range benchVMs {
		daemons = append(daemons, startDaemon(b, vm.ID(fmt.Sprintf("vm%d", i)), address, string(pin)))
	}
	waitForShare(daemons, 1)
	var slowest time.Duration
	share := owner.Share(1)
	for b.Loop() {
		b.StopTimer()
		share++
		candidate := signShare(b, o, signOff, daemons, share)
		reports, err := store.Reports(ctx)
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
		setAnswerDelay(answerDelay)
		b.StartTimer()
		start := time.Now()
		if announce {
			fleet.Announce(ctx, reports, announcement)
		}
		waitForShare(daemons, share)
		slowest = max(slowest, time.Since(start))
		setAnswerDelay(0)
	}
	b.ReportMetric(float64(slowest.Milliseconds()), "slowest-ms")
}

func waitForCandidate(daemons []*Daemon, id bundle.Digest) {
	ready := func(p bundle.Readiness) bool { return p.Candidate == id && p.Ready }
	for _, d := range daemons {
		for !slices.ContainsFunc(d.replica.LocalBundleStatus().Prepared, ready) {
			time.Sleep(time.Millisecond)
		}
	}
}

func waitForShare(daemons []*Daemon, s owner.Share) {
	for _, d := range daemons {
		for d.bundle.Load() == nil || d.bundle.Load().Owners[0].Share != s {
			time.Sleep(200 * time.Microsecond)
		}
	}
}

// signShare prepares and signs a bundle with a changed share and waits until all VMs report it as
// ready.
func signShare(b *testing.B, o *operator.Operator, signOff operator.SignOff, daemons []*Daemon, share owner.Share) bundle.Digest {
	b.Helper()
	ctx := b.Context()
	inForce, err := o.InForce(ctx)
	if err != nil {
		b.Fatal(err)
	}
	next := *inForce.Bundle
	next.Owners = append([]owner.Owner(nil), next.Owners...)
	next.Owners[0].Share = share
	row, err := o.Prepare(ctx, &next)
	if err != nil {
		b.Fatal(err)
	}
	signOff.Candidate = row.ID
	if _, err := o.Sign(ctx, signOff); err != nil {
		b.Fatal(err)
	}
	waitForCandidate(daemons, row.ID)
	return row.ID
}
