package app

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"net/http"
	"sync"

	"github.com/juju/errors"
	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"github.com/sequoiacart/sequoiacart/pkg/event"
)

// Run serves until the context ends.
func (d *Daemon) Run(ctx context.Context) error {
	var g run.Group
	// One timeout covers the drain and the requests in flight after it.
	shutdownContext := sync.OnceValues(func() (context.Context, context.CancelFunc) {
		return context.WithTimeout(context.Background(), d.deps.Settings.Timeouts.Shutdown.Duration())
	})
	addContext(ctx, &g, func(run context.Context) error {
		<-run.Done()
		// Drain only on a requested shutdown: after the failure of a component, the control
		// loop may no longer run.
		if ctx.Err() != nil && d.killed.Err() == nil {
			shutdownCtx, _ := shutdownContext()
			d.drain(shutdownCtx)
		}
		return nil
	})
	// The group interrupts its actors in this order: control stops after the listeners, whose
	// requests wait for its replies.
	g.Add(d.callers.Serve, func(error) {
		if d.killed.Err() != nil {
			d.callers.Close()
			return
		}
		shutdownCtx, cancel := shutdownContext()
		defer cancel()
		_ = d.callers.Shutdown(shutdownCtx)
	})
	g.Add(d.peers.Serve, func(error) {
		d.peers.Close()
		d.peerClient.Close()
		d.heartbeatClient.Close()
	})
	addContext(context.Background(), &g, d.poller.Run)
	addContext(context.Background(), &g, d.runReplica)
	addContext(d.killed, &g, d.loop.Run)
	d.deps.Log.Info(event.DaemonStarted, "daemon started", logrus.Fields{
		"incarnation": d.self.Incarnation, "dataCentre": d.self.DataCentre,
		"callerAddress": d.callerAddress, "peerAddress": d.peerAddress, "advertisedPeerAddress": d.self.PeerAddress,
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

// drain finishes the work in flight and hands over the rest, while the listeners still serve.
func (d *Daemon) drain(shutdownCtx context.Context) {
	if err := d.router.Drain(shutdownCtx); err != nil {
		d.deps.Log.Warn(event.DrainFailed, "drain", logrus.Fields{"error": err})
	}
}

// flushSpans exports the remaining spans. The peer timeout applies, so that a hanging collector
// doesn't delay the exit for longer than a peer could.
func (d *Daemon) flushSpans() {
	ctx, cancel := context.WithTimeout(context.Background(), d.deps.Settings.Timeouts.Peer.Duration())
	defer cancel()
	_ = d.tracer.Shutdown(ctx)
}

// runReplica runs the replica and, on a graceful shutdown, deletes this VM's report.
func (d *Daemon) runReplica(ctx context.Context) error {
	defer d.replicaPlatform.Close()
	err := d.replica.Run(ctx)
	if d.killed.Err() != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), d.deps.Settings.Timeouts.Peer.Duration())
	defer cancel()
	// Ignore the error: a report that remains only makes the VM appear as unreachable.
	_ = d.replica.DeleteReport(ctx)
	return err
}

// addContext adds an actor whose context ends with the parent or when the group interrupts it.
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
