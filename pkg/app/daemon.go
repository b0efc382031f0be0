package app

import (
	"context"
	"encoding/hex"
	"net"
	"sync/atomic"

	"github.com/juju/errors"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/caller"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
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

// DaemonDeps holds the dependencies of a daemon.
type DaemonDeps struct {
	Settings settings.Settings
	// Clock must go on while the machine is suspended: the terms of loans are leases, and the
	// start window of an id must not grow.
	Clock clock.Clock
	Log   *event.Log
	// Registry receives the metrics; if nil, the daemon creates its own.
	Registry gometrics.Registry
	// Identity enables mutual TLS and replaces the files in the settings.
	Identity *peer.Identity
}

// Daemon is a running entry VM.
type Daemon struct {
	deps            DaemonDeps
	self            vm.VM
	bundle          atomic.Pointer[bundle.Bundle]
	metrics         *metrics.Metrics
	tracer          *trace.Tracer
	router          *entry.Router
	loop            *entry.Loop
	callers         *caller.Server
	peers           *peer.Server
	peerClient      *peer.Client
	heartbeatClient *peer.Client
	poller          *poller
	replica         *replica.Replica
	replicaPlatform *platform.Client
	callerAddress   string
	peerAddress     string
	killed          context.Context
	kill            context.CancelFunc
}

const (
	nonceBytes = 6
	keyBytes   = 32
	seedBytes  = 8
)

// NewDaemon opens the listeners and wires the components.
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
	d := &Daemon{deps: deps, callerAddress: callerListener.Addr().String(), peerAddress: peerListener.Addr().String(), self: vm.VM{
		Incarnation: vm.NewIncarnation(s.VM, hex.EncodeToString(randomBytes(nonceBytes))),
		DataCentre:  s.DataCentre,
		PeerAddress: advertisedAddress(s, peerListener),
		Size:        s.Size,
		Started:     deps.Clock.Now(),
	}}
	d.killed, d.kill = context.WithCancel(context.Background())
	if err := d.wireTelemetry(); err != nil {
		_, _ = callerListener.Close(), peerListener.Close()
		return nil, errors.Trace(err)
	}
	d.wirePeerClients()
	d.wireControl()
	d.wireReplica()
	d.metrics.RegisterMailboxLength(d.loop.MailboxLength)
	d.metrics.RegisterQueueLength(d.loop.QueuedTasks)
	d.metrics.RegisterStrayAnswers(d.loop.StrayAnswers)
	d.callers = d.newCallerServer(callerListener)
	d.peers, err = d.newPeerServer(peerListener)
	return d, errors.Trace(err)
}

func advertisedAddress(s settings.Settings, l net.Listener) string {
	if s.AdvertisedPeerAddress != "" {
		return s.AdvertisedPeerAddress
	}
	return l.Addr().String()
}

// knownPeers returns the peers in the roster and the seed peers in the settings, which are needed
// until a roster is available.
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

// seedIncarnation identifies, in errors, a peer of which only the address is configured.
const seedIncarnation vm.Incarnation = "seed"

// OwnerOf implements caller.Authenticator with the tokens of the bundle in force.
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

// Ready reports whether this VM accepts new work.
func (d *Daemon) Ready() bool {
	return d.BundleInForce() && !d.ShuttingDown()
}

// CallerAddress returns the address on which the daemon listens for callers.
func (d *Daemon) CallerAddress() string {
	return d.callerAddress
}

// Kill stops the daemon immediately, as a crash of its VM would.
func (d *Daemon) Kill() {
	d.kill()
}
