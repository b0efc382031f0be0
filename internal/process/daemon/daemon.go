// Package daemon runs an entry VM on the platform: it connects the control state to the network
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
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/link"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/event"
	"github.com/sequoiacart/sequoiacart/pkg/trace"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
	"github.com/sequoiacart/sequoiacart/platform"
)

// Config holds the settings and dependencies of a daemon.
type Config struct {
	Settings settings.Settings
	// Reload reads the settings again. It is called for each value from Hangup, which receives
	// one for each SIGHUP.
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
	logger  *eventLogger
	meter   *meter.Meter
	peers   *peer.Client
	server  *peer.Server
	callers *caller.Server
	ready   *http.Server
	metrics *http.Server
	tracer  *trace.Tracer
	link    *network.Link
	// decodedRows caches the decoded endpoint rows by key.
	decodedRows map[string]decodedRow
	changeLog   changeLog
	readPace    readPace
	// maxListAge is how long ago the list of endpoints may have been read that decides where a task starts.
	maxListAge clock.Millis
	// maxEvacuationAge is how long ago the evacuations may have been read that decide whether a task starts, or 0 if
	// the deployment has none.
	maxEvacuationAge clock.Millis
	// desiredRevision is that of the latest row of the desired state.
	desiredRevision store.Revision

	readyListener, metricsListener net.Listener
	cancelTraffic                  context.CancelFunc
}

const (
	// dialTimeout bounds the opening of a connection. A round trip takes 2 ms inside a region
	// and 24 ms between regions. After a power failure, VMs that have not restarted yet are
	// tried in turn, and each costs this timeout.
	dialTimeout = clock.Millis(60)
	// unacknowledgedTimeout is how long sent bytes may stay without acknowledgement before the
	// connection counts as broken.
	unacknowledgedTimeout = clock.Millis(1000)
	// slowStartDelay is how long a start may have no answer before a status report is requested. A
	// round trip takes 2 ms; a task of 50 ms has to be late by less than 40 ms for its job to be in
	// time. A short delay does no harm, since the status report shows a start that was carried out.
	slowStartDelay = clock.Millis(30)
	// startTimeout bounds a start. A timeout also closes the connection, and a VM that is short
	// of processor time must not spend it on opening new ones.
	startTimeout = leader.RequestLifetime
	// endpointCallTimeout bounds stops and holds; for holds, the time they wait for the end of an
	// attempt is added.
	endpointCallTimeout = clock.Millis(80)
	// storeTimeout bounds calls to the store, which answers within 4 ms, or 60 times slower
	// while it is overloaded.
	storeTimeout = clock.Millis(800)
	// peerTimeout bounds calls that peers answer without waiting.
	peerTimeout = clock.Millis(150)
	// maxSubmitTimeout bounds the wait of a peer's submission for the outcome of its job.
	maxSubmitTimeout = 60 * clock.Second
	// maxIdlePerEndpoint is how many idle connections to one endpoint are kept: one for each task
	// that fits there at the same time and two for holds. Opening connections is expensive.
	maxIdlePerEndpoint = 8
	// idleConnectionShare is the part of the file descriptors that idle connections to all
	// endpoints may use; the least recently used ones are closed. The rest is for holds in
	// progress, peers and callers. In a sweep with 3,000 endpoints the busiest VM had 4,061 open
	// connections and used 292 MB.
	idleConnectionShare = 0.4
	// connectionBufferBytes is the size of a connection's buffers; requests and most answers are
	// shorter.
	connectionBufferBytes = 2 << 10
	idleConnectionTimeout = clock.Minute
	// gcPercent is the garbage collector's target percentage below the soft memory limit.
	gcPercent = 300
	// memoryShare is the part of the VM's memory that is the soft memory limit of the process.
	memoryShare = 0.6
	megabyte    = 1 << 20
)

// New returns a daemon with open listeners that doesn't serve yet.
func New(c Config) (*Daemon, error) {
	s := c.Settings
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(s.MemoryMB) * memoryShare * megabyte))
	d := &Daemon{config: c, meter: meter.New(), decodedRows: make(map[string]decodedRow), changeLog: changeLog{clock: c.Clock}, readPace: newReadPace()}
	d.logger = newEventLogger(c.Log, d.meter, c.Clock, s.LogLinesPerSecond)
	nonce := make([]byte, 4)
	if _, err := crand.Read(nonce); err != nil {
		return nil, errors.Annotate(err, "start VM: generate a nonce")
	}
	d.self = shard.VM{
		Member:     shard.Member{Incarnation: vm.NewIncarnation(s.VM, hex.EncodeToString(nonce)), Address: cmp.Or(s.AdvertisedPeerAddress, s.PeerAddress)},
		DataCentre: s.DataCentre, CPU: int(s.ProcessorShare * 1000),
	}
	var err error
	if d.tracer, err = trace.New(trace.Config{Exporter: s.SpanExporter(), Self: d.self.Incarnation}); err != nil {
		return nil, errors.Annotate(err, "start VM")
	}
	d.link = network.NewLink(link.MegabitsPerSecond(s.LinkMbps), c.Clock)
	connections := network.Config{DialTimeout: dialTimeout, UnacknowledgedTimeout: unacknowledgedTimeout, Link: d.link}
	transport := func(connections network.Config) *http.Transport {
		return &http.Transport{
			DialContext: connections.DialContext, MaxIdleConnsPerHost: maxIdlePerEndpoint, MaxIdleConns: int(float64(s.OpenFiles) * idleConnectionShare),
			ReadBufferSize: connectionBufferBytes, WriteBufferSize: connectionBufferBytes,
			IdleConnTimeout: idleConnectionTimeout.Duration(), DisableCompression: true,
		}
	}
	// A request to an endpoint must not take effect after leader.RequestLifetime.
	toEndpoints := connections
	toEndpoints.ResetOnClose = true
	d.store = platform.NewStore(platform.StoreConfig{Address: s.StoreAddress, Timeout: storeTimeout, Transport: transport(connections), Meter: d.meter})
	d.peers = peer.NewClient(peer.ClientConfig{Dialer: connections, Timeout: peerTimeout, Patience: d.link.Patience, Tracer: d.tracer, Meter: d.meter})
	timeouts := leader.DefaultTimeouts(s.MaxLease, s.StopDuration, s.ResendInterval, s.DrainNotice)
	timeouts.EvacuationNotice = s.EvacuationNotice
	if err := timeouts.Validate(); err != nil {
		return nil, errors.Annotate(err, "start VM: check settings: keys bounds.longestLeaseMs, bounds.stopMs, bounds.resendMs, bounds.drainMs and bounds.evacuateMs")
	}
	d.maxListAge = timeouts.MaxListAge()
	if s.EvacuationNotice > 0 {
		d.maxEvacuationAge = timeouts.MaxEvacuationAge()
	}
	maxJobs, jobMemory := s.JobBounds()
	control := node.New(node.Config{
		Self: d.self, DataCentres: s.DataCentres, FarFactor: s.FarFactor, Successors: s.Successors, Seeds: s.Seeds, HandOverTimeout: clock.Millis(float64(s.GracePeriod) * handOverShare), LinkDelay: d.link.Delay, Now: c.Clock.Now(),
		Timeouts: timeouts, MaxJobs: maxJobs, JobMemory: jobMemory, MaxCancelWaiters: s.CancelWaiters(), TasksPerEndpoint: job.Slots(s.MaxTasksPerEndpoint), MaxCalls: s.EndpointCalls(),
	})
	d.loop = newLoop(control, c.Clock)
	ctx, cancel := context.WithCancel(context.Background())
	d.cancelTraffic = cancel
	d.traffic = &traffic{
		ctx: ctx, loop: d.loop, clock: c.Clock, peers: d.peers, dialer: connections, store: d.store, logger: d.logger, meter: d.meter, tracer: d.tracer, link: d.link, readEndpoints: make(chan struct{}, 1), readOperator: make(chan struct{}, 1),
		endpoints: platform.NewEndpointClient(platform.EndpointClientConfig{StartTimeout: startTimeout, Timeout: endpointCallTimeout, Patience: d.link.Patience, Transport: transport(toEndpoints), MaxConnections: s.EndpointConnections(), Meter: d.meter}),
	}
	d.loop.executor = d.traffic
	return d, d.listen()
}

func (d *Daemon) listen() error {
	s := d.config.Settings
	peers, err := net.Listen("tcp", s.PeerAddress)
	if err != nil {
		return errors.Annotate(err, "start VM: listen for peers")
	}
	d.server, err = peer.NewServer(peer.ServerConfig{
		Listener: network.Listener{Listener: peers, Link: d.link}, Local: d.loop, SubmitTimeout: maxSubmitTimeout, ControlTimeout: clock.Second, Changes: &d.changeLog, Tracer: d.tracer, Meter: d.meter,
		AcceptFailed: func(err error) { d.logger.callFailed("accept connection", "peers", err) },
	})
	if err != nil {
		return errors.Trace(err)
	}
	callers, err := network.Listen(context.Background(), s.CallerAddress, s.UnreadBytes())
	if err != nil {
		return errors.Annotate(err, "start VM: listen for callers")
	}
	d.callers = caller.NewServer(caller.Config{Listener: network.Listener{Listener: callers, Link: d.link}, Local: d.loop, Counter: d.meter, Clock: d.config.Clock, Intake: s.Intake(), Limits: s.JobLimits(), AnswerTimeout: s.AnswerTimeout, TurnedAway: d.logger.callerTurnedAway, Unanswered: d.logger.callerUnanswered, Tracer: d.tracer})
	if d.readyListener, err = net.Listen("tcp", s.ReadyAddress); err != nil {
		return errors.Annotate(err, "start VM: listen for the load balancer")
	}
	d.ready = &http.Server{Handler: http.HandlerFunc(d.serveReady), ReadHeaderTimeout: clock.Second.Duration()}
	if s.MetricsAddress == "" {
		return nil
	}
	if d.metricsListener, err = net.Listen("tcp", s.MetricsAddress); err != nil {
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
		"vm": d.self.Incarnation, "dataCentre": s.DataCentre, "callers": s.CallerAddress, "peers": s.PeerAddress,
		"store": s.StoreAddress, "milliCores": d.self.CPU, "memoryMB": s.MemoryMB,
	}
}
