package app

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
	"github.com/oklog/run"
	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/bundlestore"
	"github.com/sequoiacart/sequoiacart/pkg/caller"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
	"github.com/sequoiacart/sequoiacart/pkg/endpoint"
	"github.com/sequoiacart/sequoiacart/pkg/entry"
	"github.com/sequoiacart/sequoiacart/pkg/event"
	"github.com/sequoiacart/sequoiacart/pkg/metrics"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/peer"
	"github.com/sequoiacart/sequoiacart/pkg/platform"
	"github.com/sequoiacart/sequoiacart/pkg/replica"
	"github.com/sequoiacart/sequoiacart/pkg/settings"
	"github.com/sequoiacart/sequoiacart/pkg/trace"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// DaemonDeps holds what a daemon is made of.
type DaemonDeps struct {
	Settings settings.Settings
	Clock    clock.Clock
	Log      *event.Log
	// Registry receives the metrics; nil stands for a registry of its own.
	Registry gometrics.Registry
	// Identity turns on mutual TLS in place of the files in the settings.
	Identity *peer.Identity
}

// Daemon is an entry VM at work.
type Daemon struct {
	deps        DaemonDeps
	self        vm.VM
	bundle      atomic.Pointer[bundle.Bundle]
	metrics     *metrics.Metrics
	tracer      *trace.Tracer
	router      *entry.Router
	loop        *entry.Loop
	callers     *caller.Server
	peers       *peer.Server
	client      *peer.Client
	heartbeats  *peer.Client
	poller      *poller
	replica     *replica.Replica
	bundles     *platform.Client
	address     string
	peerAddress string
	killed      context.Context
	kill        context.CancelFunc
}

const (
	nonceBytes = 6
	keyBytes   = 32
	seedBytes  = 8
)

// NewDaemon opens the listeners and wires the parts.
func NewDaemon(deps DaemonDeps) (*Daemon, error) {
	s := deps.Settings
	if err := loadIdentity(&deps); err != nil {
		return nil, errors.Trace(err)
	}
	callerListener, err := listen("callers", "callerAddress", s.CallerAddress)
	if err != nil {
		return nil, errors.Trace(err)
	}
	peerListener, err := listen("peers", "peerAddress", s.PeerAddress)
	if err != nil {
		_ = callerListener.Close()
		return nil, errors.Trace(err)
	}
	d := &Daemon{deps: deps, address: callerListener.Addr().String(), peerAddress: peerListener.Addr().String(), self: vm.VM{
		Incarnation: vm.NewIncarnation(s.VM, hex.EncodeToString(randomBytes(nonceBytes))),
		DataCentre:  s.DataCentre,
		PeerAddress: advertisedAddress(s, peerListener),
		Size:        s.Size,
		Started:     deps.Clock.Now(),
	}}
	d.killed, d.kill = context.WithCancel(context.Background())
	if err := d.wireObservation(); err != nil {
		_, _ = callerListener.Close(), peerListener.Close()
		return nil, errors.Trace(err)
	}
	d.client = d.newPeerClient()
	// Heartbeats have connections of their own, so that a large message does not hold
	// them up.
	d.heartbeats = d.newPeerClient()
	d.wireControl()
	d.metrics.MailboxLength(d.loop.MailboxLength)
	d.metrics.QueueLength(d.loop.QueuedTasks)
	d.callers = caller.NewServer(caller.Config{
		Listener:  callerListener,
		Service:   d.router,
		Owners:    d,
		Readiness: d,
		Metrics:   d.metrics,
		Tracer:    d.tracer,
		Log:       d.deps.Log,
		Limits: caller.Limits{
			BodyBytes:   s.Limits.BodyBytes,
			BodiesBytes: s.Limits.BodiesBytes,
			AnswerBytes: s.Limits.AnswerBytes,
			TasksPerJob: s.Limits.TasksPerJob,
			IDs:         s.Limits.ReservedIDs,
			Connections: s.Limits.CallerConnections,
			Wait:        s.Timeouts.MaxWait,
			Deadline:    s.Timeouts.MaxDeadline,
			Idle:        s.Timeouts.CallerIdle,
		},
	})
	d.peers, err = peer.NewServer(peer.ServerConfig{
		Listener:  peerListener,
		Handler:   d.router,
		Bundles:   d.replica,
		Tracer:    d.tracer,
		Handshake: s.Timeouts.Handshake,
		TLS:       d.serverTLS(),
		Refused: func(from net.Addr, err error) {
			host, _, _ := net.SplitHostPort(from.String())
			deps.Log.Warn(event.PeerRefused, "peer refused", logrus.Fields{"peer": host, "error": err})
		},
	})
	return d, errors.Trace(err)
}

func advertisedAddress(s settings.Settings, l net.Listener) string {
	if s.AdvertisedPeerAddress != "" {
		return s.AdvertisedPeerAddress
	}
	return l.Addr().String()
}

// newPeerClient returns a client with connections of its own.
func (d *Daemon) newPeerClient() *peer.Client {
	return peer.NewClient(peer.ClientConfig{
		Dialer:  &net.Dialer{Timeout: d.deps.Settings.Timeouts.Dial.Duration()},
		TLS:     d.clientTLS(),
		Tracer:  d.tracer,
		Metrics: d.metrics,
	})
}

// wireObservation makes what the other parts report to.
func (d *Daemon) wireObservation() error {
	if d.deps.Registry == nil {
		d.deps.Registry = gometrics.NewRegistry()
	}
	d.metrics = metrics.New(d.deps.Registry)
	var err error
	d.tracer, err = trace.New(trace.Config{Exporter: exporterOf(d.deps.Settings.Trace), Self: d.self.Incarnation})
	return errors.Trace(err)
}

func exporterOf(s settings.Trace) trace.Exporter {
	switch s.Exporter {
	case settings.TraceStdout:
		return trace.Stdout{Writer: os.Stdout}
	case settings.TraceOTLPHTTP:
		return trace.OTLP{Address: s.Address}
	default:
		return trace.None{}
	}
}

func (d *Daemon) wireControl() {
	s := d.deps.Settings
	control := entry.NewControl(entry.ControlConfig{
		DataCentre:     s.DataCentre,
		Self:           d.self.Incarnation,
		VM:             d.self,
		Now:            d.deps.Clock.Now(),
		Key:            randomBytes(keyBytes),
		Limits:         s.Limits.Remembered,
		Dispatch:       dispatch.Config{QueuedTasks: s.Limits.QueuedTasks, Seed: binary.BigEndian.Uint64(randomBytes(seedBytes))},
		AttemptTimeout: s.Timeouts.Attempt,
	})
	endpoints := endpoint.NewClient(endpoint.ClientConfig{
		Connections: s.Limits.EndpointConnections,
		ResultBytes: s.Limits.ResultBytes,
		DialTimeout: s.Timeouts.Dial,
		Metrics:     d.metrics,
		Log:         d.deps.Log,
	})
	client := platform.NewClient(platform.ClientConfig{Address: s.PlatformAddress, Timeout: s.Timeouts.Platform})
	rows := newRosterRows(client.Table(), d.deps.Clock, d.self)
	traffic := entry.NewTraffic(entry.TrafficConfig{
		Self:            d.self.Incarnation,
		Endpoints:       endpoints,
		Witnesses:       d.client,
		Roster:          d.heartbeats,
		Rows:            rows,
		Loans:           d.client,
		Peers:           func(p entry.Snapshot) { d.router.SetPeers(p) },
		Table:           client.Table(),
		PeerTimeout:     s.Timeouts.Peer,
		PlatformTimeout: s.Timeouts.Platform,
		Clock:           d.deps.Clock,
		Tracer:          d.tracer,
		Metrics:         d.metrics,
		Publish:         d.bundle.Store,
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
		Rows:   rows,
	})
	// An own client, so that a VM that loads its first bundle does not use up the rate of
	// the other platform calls.
	d.bundles = platform.NewClient(platform.ClientConfig{Address: s.PlatformAddress, Timeout: s.Timeouts.Platform, Clock: d.deps.Clock})
	d.replica = replica.New(replica.Deps{
		Self:            d.self,
		Pin:             s.GovernanceDigest,
		Store:           bundlestore.New(d.bundles.Table(), d.bundles.Objects()),
		Peers:           d.client,
		Control:         d.router,
		Known:           d.knownPeers,
		Clock:           d.deps.Clock,
		Log:             d.deps.Log,
		Every:           s.Timeouts.Poll,
		PeerTimeout:     s.Timeouts.Peer,
		PlatformTimeout: s.Timeouts.Platform,
		Random:          rand.New(rand.NewPCG(randomSeed(), randomSeed())),
	})
}

// knownPeers returns the peers of the roster, and those that the settings name for the
// time before there is a roster.
func (d *Daemon) knownPeers() []vm.VM {
	var known []vm.VM
	listed := map[string]bool{d.self.PeerAddress: true}
	for _, v := range d.router.Roster().VMs() {
		if !listed[v.PeerAddress] {
			known = append(known, v)
		}
		listed[v.PeerAddress] = true
	}
	for _, address := range d.deps.Settings.SeedPeers.List() {
		if !listed[address] {
			known = append(known, vm.VM{Incarnation: seedIncarnation, PeerAddress: address})
		}
	}
	return known
}

// seedIncarnation stands in errors for a peer of which only the address is known.
const seedIncarnation vm.Incarnation = "seed"

// OwnerOf implements caller.Authenticator with the bundle in force.
func (d *Daemon) OwnerOf(token string) (owner.Owner, bool) {
	b := d.bundle.Load()
	if b == nil {
		return owner.Owner{}, false
	}
	return b.OwnerOf(token)
}

// BundleInForce implements caller.Readiness.
func (d *Daemon) BundleInForce() bool { return d.bundle.Load() != nil }

// ShuttingDown implements caller.Readiness.
func (d *Daemon) ShuttingDown() bool { return !d.router.Ready() }

// Ready reports whether this VM takes new work.
func (d *Daemon) Ready() bool {
	return d.BundleInForce() && !d.ShuttingDown()
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
		d.heartbeats.Close()
	})
	addContext(context.Background(), &g, d.poller.Run)
	addContext(context.Background(), &g, d.runReplica)
	addContext(d.killed, &g, d.loop.Run)
	d.deps.Log.Info(event.DaemonStarted, "daemon started", logrus.Fields{
		"incarnation": d.self.Incarnation, "dataCentre": d.self.DataCentre,
		"callerAddress": d.address, "peerAddress": d.peerAddress, "advertisedPeerAddress": d.self.PeerAddress,
	})
	err := g.Run()
	d.flushSpans()
	d.deps.Log.Info(event.DaemonStopped, "daemon stopped", logrus.Fields{"incarnation": d.self.Incarnation})
	if err == nil || errors.Is(err, context.Canceled) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	d.deps.Log.Warn(event.ListenersFailed, "serving ended with an error", logrus.Fields{"error": err})
	return err
}

// drain ends the work in flight and hands it over, while the listeners still serve.
func (d *Daemon) drain(limit context.Context) {
	if err := d.router.Drain(limit); err != nil {
		d.deps.Log.Warn(event.DrainFailed, "drain", logrus.Fields{"error": err})
	}
}

// flushSpans gives the exporter a last chance, so that a collector that hangs cannot hold
// up the exit for longer than a peer could.
func (d *Daemon) flushSpans() {
	ctx, cancel := context.WithTimeout(context.Background(), d.deps.Settings.Timeouts.Peer.Duration())
	defer cancel()
	_ = d.tracer.Shutdown(ctx)
}

// runReplica withdraws the report of this VM at graceful shutdown.
func (d *Daemon) runReplica(ctx context.Context) error {
	defer d.bundles.Close()
	err := d.replica.Run(ctx)
	if d.killed.Err() != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), d.deps.Settings.Timeouts.Peer.Duration())
	defer cancel()
	// A report that stays says no more than that the VM is out of reach.
	_ = d.replica.Withdraw(ctx)
	return err
}

// addContext adds an actor that ends when the group cancels its context.
func addContext(parent context.Context, g *run.Group, actor func(context.Context) error) {
	ctx, cancel := context.WithCancel(parent)
	g.Add(func() error { return actor(ctx) }, func(error) { cancel() })
}

func randomSeed() uint64 {
	return binary.LittleEndian.Uint64(randomBytes(seedBytes))
}

func randomBytes(n int) []byte {
	b := make([]byte, n)
	_, _ = crand.Read(b)
	return b
}
