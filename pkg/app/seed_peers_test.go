package app

import (
	"context"
	"net"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/bundlestore"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/operator"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/peer"
	"github.com/sequoiacart/sequoiacart/pkg/platform"
	"github.com/sequoiacart/sequoiacart/pkg/standin"
)

// Guards against a daemon that starts while the platform is down and never obtains a bundle,
// although its settings name a peer that has one.
func TestStartInAnOutageWithSeedPeer(t *testing.T) {
	p := standin.NewPlatform()
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	client := platform.NewClient(platform.ClientConfig{Address: address, AttemptTimeout: 10 * clock.Second})
	peers := peer.NewClient(peer.ClientConfig{Dialer: &net.Dialer{}})
	t.Cleanup(func() { client.Close(); peers.Close() })
	o := operator.New(operator.Deps{Name: "test", Store: bundlestore.New(client.Table(), client.Objects()), Clock: clock.NewSystem()})
	pin, _, err := o.Bootstrap(context.Background(), []owner.Owner{{
		ID: "norte", Share: 1, Classes: []owner.Class{{Name: "alert", Deadline: 1}}, Limits: owner.Limits{TasksPerJob: 1, QueuedTasks: 1},
	}})
	if err != nil {
		t.Fatal(err)
	}
	waitReady := func(d *Daemon) {
		// Each status query is a network call, so the loop doesn't spin.
		for !d.Ready() {
			if _, err := peers.BundleStatus(context.Background(), d.self); err != nil {
				t.Fatal(err)
			}
		}
	}
	first := startDaemon(t, "centro1", address, string(pin))
	waitReady(first)
	for _, s := range []standin.Service{standin.TableService, standin.ObjectService, standin.VMService} {
		p.SetFaults(s, standin.Faults{Down: true})
	}
	second := startDaemon(t, "centro2", address, string(pin), first.self.PeerAddress)
	waitReady(second)
	if got, want := second.bundle.Load().Version, first.bundle.Load().Version; got != want {
		t.Errorf("got version %d, want %d", got, want)
	}
}
