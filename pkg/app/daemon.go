package app

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/caller"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
	"github.com/sequoiacart/sequoiacart/pkg/endpoint"
	"github.com/sequoiacart/sequoiacart/pkg/entry"
	"github.com/sequoiacart/sequoiacart/pkg/event"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/peer"
	"github.com/sequoiacart/sequoiacart/pkg/platform"
	"github.com/sequoiacart/sequoiacart/pkg/settings"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// DaemonDeps holds what a daemon is made of.
type DaemonDeps struct {
	Settings settings.Settings
	Clock    clock.Clock
	Log      *event.Log
}

// Daemon is an entry VM at work.
type Daemon struct {
	deps    DaemonDeps
	self    vm.VM
	bundle  atomic.Pointer[bundle.Bundle]
	router  *entry.Router
	loop    *entry.Loop
	callers *caller.Server
	peers   *peer.Server
	client  *peer.Client
	poller  *poller
	address string
	killed  context.Context
	kill    context.CancelFunc
}

const (
	nonceBytes = 6
	keyBytes   = 32
)

// NewDaemon opens the listeners and wires the parts.
func NewDaemon(deps DaemonDeps) (*Daemon, error) {
	s := deps.Settings
	callerListener, err := net.Listen("tcp", s.CallerAddress)
	if err != nil {
		return nil, errors.Annotate(err, "listen for callers")
	}
	peerListener, err := net.Listen("tcp", s.PeerAddress)
	if err != nil {
		_ = callerListener.Close()
		return nil, errors.Annotate(err, "listen for peers")
	}
	d := &Daemon{deps: deps, address: callerListener.Addr().String(), self: vm.VM{
		Incarnation: vm.NewIncarnation(s.VM, hex.EncodeToString(randomBytes(nonceBytes))),
		DataCentre:  s.DataCentre,
		PeerAddress: peerListener.Addr().String(),
		Size:        s.Size,
	}}
	d.killed, d.kill = context.WithCancel(context.Background())
	d.client = peer.NewClient(peer.ClientConfig{Dialer: &net.Dialer{Timeout: s.Timeouts.Dial.Duration()}})
	d.wireControl()
	d.callers = caller.NewServer(caller.Config{
		Listener:  callerListener,
		Service:   d.router,
		Owners:    d,
		Readiness: d,
		BodyBytes: s.Limits.BodyBytes,
		MaxWait:   s.Timeouts.MaxWait,
		MaxIDs:    s.Limits.ReservedIDs,
	})
	d.peers, err = peer.NewServer(peer.ServerConfig{Listener: peerListener, Handler: d.router})
	return d, errors.Trace(err)
}

func (d *Daemon) wireControl() {
	s := d.deps.Settings
	control := entry.NewControl(entry.ControlConfig{
		DataCentre:     s.DataCentre,
		Self:           d.self.Incarnation,
		Key:            randomBytes(keyBytes),
		Dispatch:       dispatch.Config{QueuedTasks: s.Limits.QueuedTasks},
		AttemptTimeout: s.Timeouts.Attempt,
	})
	endpoints := endpoint.NewClient(endpoint.ClientConfig{
		Connections: s.Limits.EndpointConnections,
		ResultBytes: s.Limits.ResultBytes,
		DialTimeout: s.Timeouts.Dial,
	})
	client := platform.NewClient(platform.ClientConfig{Address: s.PlatformAddress, Timeout: s.Timeouts.Platform})
	traffic := entry.NewTraffic(entry.TrafficConfig{
		Self:            d.self.Incarnation,
		Endpoints:       endpoints,
		Witnesses:       d.client,
		Table:           client.Table(),
		PeerTimeout:     s.Timeouts.Peer,
		PlatformTimeout: s.Timeouts.Platform,
	})
	d.loop = entry.NewLoop(entry.LoopConfig{
		Control:   control,
		Clock:     d.deps.Clock,
		Executor:  traffic,
		Mailbox:   s.Limits.Mailbox,
		TickEvery: s.Timeouts.Tick,
	})
	traffic.Attach(d.loop)
	d.router = entry.NewRouter(entry.RouterConfig{
		Self:        d.self.Incarnation,
		Loop:        d.loop,
		Peers:       d.client,
		PeerTimeout: s.Timeouts.Peer,
	})
	d.poller = newPoller(pollerDeps{
		Self:   d.self,
		Client: client,
		Clock:  d.deps.Clock,
		Log:    d.deps.Log,
		Every:  s.Timeouts.Poll,
		Loop:   d.loop,
		Router: d.router,
		InForce: func(b *bundle.Bundle) {
			d.bundle.Store(b)
		},
	})
}

// OwnerOf implements caller.Authenticator with the bundle in force.
func (d *Daemon) OwnerOf(token string) (owner.Owner, bool) {
	b := d.bundle.Load()
	if b == nil {
		return owner.Owner{}, false
	}
	return b.OwnerOf(token)
}

// Ready implements caller.Readiness: without a bundle, and during the drain, no work is
// taken.
func (d *Daemon) Ready() bool {
	return d.bundle.Load() != nil && d.router.Ready()
}

// CallerAddress returns the address on which callers are served.
func (d *Daemon) CallerAddress() string {
	return d.address
}

// Kill ends the daemon at once, as a crash of its VM would.
func (d *Daemon) Kill() {
	d.kill()
}

// Run serves until the context ends.
func (d *Daemon) Run(ctx context.Context) error {
	var g run.Group
	// One limit holds for the drain and the requests in flight after it.
	stopping := sync.OnceValues(func() (context.Context, context.CancelFunc) {
		return context.WithTimeout(context.Background(), d.deps.Settings.Timeouts.Shutdown.Duration())
	})
	addContext(ctx, &g, func(run context.Context) error {
		<-run.Done()
		// Only a shutdown that was asked for drains; after a failed part there may be
		// nobody to drain.
		if ctx.Err() != nil && d.killed.Err() == nil {
			limit, _ := stopping()
			d.drain(limit)
		}
		return nil
	})
	// The group stops its parts in this order: control outlives the listeners, whose
	// requests wait for its replies.
	g.Add(d.callers.Serve, func(error) {
		if d.killed.Err() != nil {
			d.callers.Close()
			return
		}
		limit, cancel := stopping()
		defer cancel()
		_ = d.callers.Shutdown(limit)
	})
	g.Add(d.peers.Serve, func(error) {
		d.peers.Close()
		d.client.Close()
	})
	addContext(context.Background(), &g, d.poller.Run)
	addContext(d.killed, &g, d.loop.Run)
	d.deps.Log.Info(event.DaemonStarted, "daemon started", logrus.Fields{
		"incarnation": d.self.Incarnation, "dataCentre": d.self.DataCentre,
		"callerAddress": d.address, "peerAddress": d.self.PeerAddress,
	})
	err := g.Run()
	d.deps.Log.Info(event.DaemonStopped, "daemon stopped", logrus.Fields{"incarnation": d.self.Incarnation})
	if errors.Is(err, context.Canceled) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// drain ends the work in flight and hands it over, while the listeners still serve.
func (d *Daemon) drain(limit context.Context) {
	if err := d.router.Drain(limit); err != nil {
		d.deps.Log.Warn(event.DrainFailed, "drain", logrus.Fields{"error": err})
	}
}

// addContext adds an actor that ends when the group cancels its context.
func addContext(parent context.Context, g *run.Group, actor func(context.Context) error) {
	ctx, cancel := context.WithCancel(parent)
	g.Add(func() error { return actor(ctx) }, func(error) { cancel() })
}

func randomBytes(n int) []byte {
	b := make([]byte, n)
	_, _ = rand.Read(b)
	return b
}
