package app

import (
	"math/rand/v2"
	"net"
	"os"

	"github.com/juju/errors"
	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/sequoiacart/sequoiacart/pkg/bundlestore"
	"github.com/sequoiacart/sequoiacart/pkg/caller"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
	"github.com/sequoiacart/sequoiacart/pkg/endpoint"
	"github.com/sequoiacart/sequoiacart/pkg/entry"
	"github.com/sequoiacart/sequoiacart/pkg/event"
	"github.com/sequoiacart/sequoiacart/pkg/metrics"
	"github.com/sequoiacart/sequoiacart/pkg/peer"
	"github.com/sequoiacart/sequoiacart/pkg/platform"
	"github.com/sequoiacart/sequoiacart/pkg/replica"
	"github.com/sequoiacart/sequoiacart/pkg/settings"
	"github.com/sequoiacart/sequoiacart/pkg/trace"
)

// wirePeerClients creates the clients for other entry VMs. Heartbeats use separate connections, so
// that large messages don't delay them.
func (d *Daemon) wirePeerClients() {
	d.peerClient = d.newPeerClient()
	d.heartbeatClient = d.newPeerClient()
}

// newPeerClient returns a client with its own connections.
func (d *Daemon) newPeerClient() *peer.Client {
	return peer.NewClient(peer.ClientConfig{
		Dialer:  &net.Dialer{Timeout: d.deps.Settings.Timeouts.Dial.Duration()},
		TLS:     d.clientTLS(),
		Tracer:  d.tracer,
		Metrics: d.metrics,
	})
}

// wireTelemetry creates the metrics and the tracer.
func (d *Daemon) wireTelemetry() error {
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

// wireControl creates the control state machine, the loop that runs it, and the traffic that
// executes its actions.
func (d *Daemon) wireControl() {
	s := d.deps.Settings
	client := platform.NewClient(platform.ClientConfig{
		Address: s.PlatformAddress, AttemptTimeout: s.Timeouts.Platform,
		OnUnreadableRow: func(err error) {
			d.deps.Log.Warn(event.EndpointIgnored, "endpoint ignored", logrus.Fields{"error": err})
		},
	})
	rows := newRosterRows(client.Table(), d.deps.Clock, d.self)
	traffic := d.newTraffic(client, rows)
	d.loop = entry.NewLoop(entry.LoopConfig{
		Control:      d.newControl(),
		Clock:        d.deps.Clock,
		Executor:     traffic,
		Mailbox:      s.Limits.Mailbox,
		TickInterval: s.Timeouts.Tick,
	})
	traffic.Attach(d.loop)
	d.router = entry.NewRouter(entry.RouterConfig{
		Self:        d.self.Incarnation,
		Loop:        d.loop,
		Peers:       d.peerClient,
		PeerTimeout: s.Timeouts.Peer,
	})
	d.poller = newPoller(pollerDeps{
		Self:     d.self,
		Client:   client,
		Clock:    d.deps.Clock,
		Log:      d.deps.Log,
		Interval: s.Timeouts.Poll,
		Loop:     d.loop,
		Rows:     rows,
	})
}

func (d *Daemon) newControl() *entry.Control {
	s := d.deps.Settings
	return entry.NewControl(entry.ControlConfig{
		DataCentre:     s.DataCentre,
		Self:           d.self.Incarnation,
		VM:             d.self,
		Now:            d.deps.Clock.Now(),
		Key:            randomBytes(keyBytes),
		Limits:         s.Limits.Remembered,
		Dispatch:       dispatch.Config{MaxQueuedTasks: s.Limits.QueuedTasks, Seed: randomSeed()},
		AttemptTimeout: s.Timeouts.Attempt,
	})
}

func (d *Daemon) newTraffic(client *platform.Client, rows *rosterRows) *entry.Traffic {
	s := d.deps.Settings
	endpoints := endpoint.NewClient(endpoint.ClientConfig{
		MaxConnections: s.Limits.EndpointConnections,
		MaxResultBytes: s.Limits.ResultBytes,
		DialTimeout:    s.Timeouts.Dial,
		Metrics:        d.metrics,
		Log:            d.deps.Log,
	})
	return entry.NewTraffic(entry.TrafficConfig{
		Self:            d.self.Incarnation,
		Endpoints:       endpoints,
		Witnesses:       d.peerClient,
		Heartbeats:      d.heartbeatClient,
		Rows:            rows,
		Loans:           d.peerClient,
		PublishPeers:    func(p entry.PeerSnapshot) { d.router.SetPeers(p) },
		Table:           client.Table(),
		PeerTimeout:     s.Timeouts.Peer,
		PlatformTimeout: s.Timeouts.Platform,
		Clock:           d.deps.Clock,
		Tracer:          d.tracer,
		Metrics:         d.metrics,
		PublishBundle:   d.bundle.Store,
	})
}

// wireReplica creates the replica, which keeps this VM's copy of the bundle. It has a separate
// platform client, so that loading the first bundle doesn't use up the call rate of the others.
func (d *Daemon) wireReplica() {
	s := d.deps.Settings
	d.replicaPlatform = platform.NewClient(platform.ClientConfig{Address: s.PlatformAddress, AttemptTimeout: s.Timeouts.Platform, Clock: d.deps.Clock})
	d.replica = replica.New(replica.Deps{
		Self:            d.self,
		Pin:             s.GovernanceDigest,
		Store:           bundlestore.New(d.replicaPlatform.Table(), d.replicaPlatform.Objects()),
		Peers:           d.peerClient,
		Control:         d.router,
		KnownPeers:      d.knownPeers,
		Clock:           d.deps.Clock,
		Log:             d.deps.Log,
		PollInterval:    s.Timeouts.Poll,
		PeerTimeout:     s.Timeouts.Peer,
		PlatformTimeout: s.Timeouts.Platform,
		Random:          rand.New(rand.NewPCG(randomSeed(), randomSeed())),
	})
}

// newCallerServer returns the server for callers, with the limits from the settings.
func (d *Daemon) newCallerServer(listener net.Listener) *caller.Server {
	s := d.deps.Settings
	return caller.NewServer(caller.Config{
		Listener:      listener,
		Service:       d.router,
		Authenticator: d,
		Readiness:     d,
		Metrics:       d.metrics,
		Tracer:        d.tracer,
		Log:           d.deps.Log,
		Limits: caller.Limits{
			BodyBytes:   s.Limits.BodyBytes,
			BodiesBytes: s.Limits.BodiesBytes,
			AnswerBytes: s.Limits.AnswerBytes,
			TasksPerJob: s.Limits.TasksPerJob,
			IDs:         s.Limits.ReservedIDs,
			Connections: s.Limits.CallerConnections,
			MaxWait:     s.Timeouts.MaxWait,
			MaxDeadline: s.Timeouts.MaxDeadline,
			IdleTimeout: s.Timeouts.CallerIdle,
		},
	})
}

// newPeerServer returns the server for other entry VMs.
func (d *Daemon) newPeerServer(listener net.Listener) (*peer.Server, error) {
	return peer.NewServer(peer.ServerConfig{
		Listener:         listener,
		Handler:          d.router,
		Bundles:          d.replica,
		Tracer:           d.tracer,
		HandshakeTimeout: d.deps.Settings.Timeouts.Handshake,
		TLS:              d.serverTLS(),
		OnHandshakeFailure: func(from net.Addr, err error) {
			host, _, _ := net.SplitHostPort(from.String())
			d.deps.Log.Warn(event.PeerRefused, "peer refused", logrus.Fields{"peer": host, "error": err})
		},
	})
}
