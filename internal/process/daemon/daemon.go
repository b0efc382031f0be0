// Package daemon runs an entry VM on the platform: it wires the control state to the network
// and owns all goroutines and listeners.
package daemon

import (
	"cmp"
	"context"
	crand "crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"runtime/debug"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/sequoiacart/sequoiacart/internal/control/leader"
	"github.com/sequoiacart/sequoiacart/internal/control/node"
	"github.com/sequoiacart/sequoiacart/internal/link/caller"
	"github.com/sequoiacart/sequoiacart/internal/link/peer"
	"github.com/sequoiacart/sequoiacart/internal/link/store"
	"github.com/sequoiacart/sequoiacart/internal/process/meter"
	"github.com/sequoiacart/sequoiacart/internal/process/network"
	"github.com/sequoiacart/sequoiacart/internal/process/settings"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/event"
	"github.com/sequoiacart/sequoiacart/pkg/trace"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
	"github.com/sequoiacart/sequoiacart/platform"
)

// Config holds what a daemon is made of.
type Config struct {
	Settings settings.Settings
	// Reload reads the settings again, after SIGHUP.
	Reload func() (settings.Settings, error)
	Hangup <-chan struct{}
	Clock  clock.Clock
	Log    *event.Log
}

// Daemon is an entry VM on the platform.
type Daemon struct {
	config  Config
	self    shard.VM
	loop    *loop
	traffic *traffic
	store   store.Store
	journal *journal
	meter   *meter.Meter
	peers   *peer.Client
	server  *peer.Server
	callers *caller.Server
	ready   *http.Server
	metrics *http.Server
	tracer  *trace.Tracer
	// decoded are the endpoints by their rows.
	decoded map[string]decodedRow

	readyListener, metricsListener net.Listener
	cancelTraffic                  context.CancelFunc
}

const (
	// dialTimeout bounds the opening of a connection. A round trip takes 2 ms inside a region
	// and 24 ms between regions; after a loss of power, VMs that are not back yet are asked in
	// turn, and each costs this long.
	dialTimeout = clock.Millis(60)
	// unacknowledged is when a connection with sent bytes counts as broken.
	unacknowledged = clock.Millis(1000)
	// startSlow is when a start without an answer is looked after. A round trip takes 2 ms;
	// a task of 50 ms has to be late by less than 40 ms for its job to be in time. A start
	// that was carried out is found by the look, so that a short wait does no harm.
	startSlow = clock.Millis(30)
	// startTimeout bounds a start. Its connection is given up with it, and a VM that is short of
	// processor must not spend what it has on new connections.
	startTimeout = clock.Millis(300)
	// orderTimeout bounds stops and holds, the latter beside the time they wait for an end.
	orderTimeout = clock.Millis(80)
	// storeTimeout bounds calls to the store, which answers within 4 ms, or 60 times slower
	// while it is overloaded.
	storeTimeout = clock.Millis(800)
	// peerTimeout bounds calls that peers answer at once.
	peerTimeout = clock.Millis(150)
	// submitTimeoutMost bounds the wait for a job's outcome at a home.
	submitTimeoutMost = 60 * clock.Second
	// idleConnections to one endpoint: the tasks that fit there at the same time and two
	// holds. New connections are dear.
	idleConnections = 8
	// idleShare of the descriptors may be connections without a call, of all endpoints
	// together; those that were not used for longest are closed. The others are for holds
	// under way, peers and callers. The busiest VM of a sweep with 3,000 endpoints had 4,061
	// connections open and 292 MB.
	idleShare = 0.4
	// bufferBytes of a connection; orders and most answers are shorter.
	bufferBytes = 2 << 10
	idleTimeout = clock.Minute
	// collectAt is the garbage collector's target while memory allows.
	collectAt = 300
	// memoryShare of the VM's memory is the soft limit of the heap.
	memoryShare = 0.6
	megabyte    = 1 << 20
)

// New opens the listeners of a daemon.
func New(c Config) (*Daemon, error) {
	s := c.Settings
	debug.SetGCPercent(collectAt)
	debug.SetMemoryLimit(int64(float64(s.MemoryMB) * memoryShare * megabyte))
	d := &Daemon{config: c, meter: meter.New(), decoded: make(map[string]decodedRow)}
	d.journal = newJournal(c.Log, d.meter, c.Clock, s.LogLinesPerSecond)
	nonce := make([]byte, 4)
	if _, err := crand.Read(nonce); err != nil {
		return nil, errors.Annotate(err, "start VM: draw a nonce")
	}
	d.self = shard.VM{
		Member:     shard.Member{Incarnation: vm.NewIncarnation(s.VM, hex.EncodeToString(nonce)), Address: cmp.Or(s.AdvertisedPeers, s.Peers)},
		DataCentre: s.DataCentre, CPU: int(s.ProcessorShare * 1000),
	}
	var err error
	if d.tracer, err = trace.New(trace.Config{Exporter: s.Spans(), Self: d.self.Incarnation}); err != nil {
		return nil, errors.Annotate(err, "start VM")
	}
	connections := network.Config{DialTimeout: dialTimeout, Unacknowledged: unacknowledged}
	transport := func() *http.Transport {
		return &http.Transport{
			DialContext: connections.DialContext, MaxIdleConnsPerHost: idleConnections, MaxIdleConns: int(float64(s.OpenFiles) * idleShare),
			ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes,
			IdleConnTimeout: idleTimeout.Duration(), DisableCompression: true,
		}
	}
	d.store = platform.NewStore(platform.StoreConfig{Address: s.Store, Timeout: storeTimeout, Transport: transport()})
	d.peers = peer.NewClient(peer.ClientConfig{Dialer: connections, Timeout: peerTimeout, Tracer: d.tracer})
	control := node.New(node.Config{
		Self: d.self, DataCentres: s.DataCentres, FarFactor: s.FarFactor, Successors: s.Successors, Seeds: s.Seeds, HandOverTimeout: clock.Millis(float64(s.Grace) * handOverShare), Now: c.Clock.Now(),
		Timeouts: leader.DefaultTimeouts(s.LongestLease, s.StopTakes, s.Resend),
	})
	d.loop = newLoop(control, c.Clock)
	ctx, cancel := context.WithCancel(context.Background())
	d.cancelTraffic = cancel
	d.traffic = &traffic{
		ctx: ctx, loop: d.loop, clock: c.Clock, peers: d.peers, dialer: connections, store: d.store, journal: d.journal, meter: d.meter, tracer: d.tracer,
		endpoints: platform.NewEndpointClient(platform.EndpointsConfig{StartTimeout: startTimeout, Timeout: orderTimeout, Transport: transport()}),
	}
	d.loop.executor = d.traffic
	return d, d.listen()
}

func (d *Daemon) listen() error {
	s := d.config.Settings
	peers, err := net.Listen("tcp", s.Peers)
	if err != nil {
		return errors.Annotate(err, "start VM: listen for peers")
	}
	d.server, err = peer.NewServer(peer.ServerConfig{
		Listener: peers, Local: d.loop, SubmitTimeout: submitTimeoutMost, ControlTimeout: clock.Second, Tracer: d.tracer,
	})
	if err != nil {
		return errors.Trace(err)
	}
	callers, err := net.Listen("tcp", s.Callers)
	if err != nil {
		return errors.Annotate(err, "start VM: listen for callers")
	}
	d.callers = caller.NewServer(caller.Config{Listener: callers, Local: d.loop, Counter: d.meter, Tracer: d.tracer})
	if d.readyListener, err = net.Listen("tcp", s.Ready); err != nil {
		return errors.Annotate(err, "start VM: listen for the load balancer")
	}
	d.ready = &http.Server{Handler: http.HandlerFunc(d.serveReady), ReadHeaderTimeout: clock.Second.Duration()}
	if s.Metrics == "" {
		return nil
	}
	if d.metricsListener, err = net.Listen("tcp", s.Metrics); err != nil {
		return errors.Annotate(err, "start VM: listen for metrics")
	}
	d.metrics = &http.Server{Handler: d.meter, ReadHeaderTimeout: clock.Second.Duration()}
	return nil
}

func (d *Daemon) serveReady(w http.ResponseWriter, r *http.Request) {
	status := http.StatusNotFound
	if r.URL.Path == platform.ReadyPath {
		status = http.StatusServiceUnavailable
		if d.loop.ready.Load() {
			status = http.StatusOK
		}
	}
	w.WriteHeader(status)
}

func (d *Daemon) startFields() logrus.Fields {
	s := d.config.Settings
	return logrus.Fields{
		"vm": d.self.Incarnation, "dataCentre": s.DataCentre, "callers": s.Callers, "peers": s.Peers,
		"store": s.Store, "milliCores": d.self.CPU, "memoryMB": s.MemoryMB,
	}
}
