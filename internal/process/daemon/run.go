package daemon

import (
	"context"
	"net"
	"net/http"

	"github.com/juju/errors"
	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"github.com/sequoiacart/sequoiacart/internal/control/node"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

const (
	// leaveRotation is how long callers may still be sent here after SIGTERM: the load
	// balancer asks once a second and turns away after two answers.
	leaveRotation = clock.Millis(2300)
	// finishShare of the grace period is left for requests in flight; a process that is
	// still there at its end is killed.
	finishShare = 0.8
	// handOverShare of the grace period is left to find a successor for a cell; after it the jobs
	// of the cell still have time to go elsewhere.
	handOverShare = 0.7
	// pollDrain is how often the shutdown looks whether the last request has ended.
	pollDrain = clock.Millis(25)
)

// Run serves until the context ends, and then hands over and finishes what is in flight.
func (d *Daemon) Run(ctx context.Context) error {
	var g run.Group
	until := func(run func(context.Context) error) {
		inner, cancel := context.WithCancel(context.Background())
		g.Add(func() error { return run(inner) }, func(error) { cancel() })
	}
	until(func(inner context.Context) error {
		select {
		case <-ctx.Done():
			d.drain()
			return nil
		case <-inner.Done():
			return inner.Err()
		}
	})
	serve := func(s *http.Server, l net.Listener) {
		g.Add(func() error { return s.Serve(l) }, func(error) { _ = s.Close() })
	}
	g.Add(d.callers.Serve, func(error) { d.callers.Close() })
	serve(d.ready, d.readyListener)
	if d.metrics != nil {
		serve(d.metrics, d.metricsListener)
	}
	g.Add(d.server.Serve, func(error) {
		d.server.Close()
		d.peers.Close()
		d.cancelTraffic()
	})
	for _, f := range d.followers() {
		until(f.run)
	}
	until(d.register)
	until(d.watchSettings)
	until(d.loop.run)
	until(d.journal.run)
	d.journal.started(d.startFields())
	err := g.Run()
	if err == nil || errors.Is(err, context.Canceled) || errors.Is(err, http.ErrServerClosed) {
		d.journal.stopping("shutdown")
		return nil
	}
	d.journal.stopping(err.Error())
	return err
}

// drain leaves the load balancer's rotation, hands cells over, and waits for the requests in
// flight.
func (d *Daemon) drain() {
	d.loop.Post(node.ShutdownRequested{})
	d.callers.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), clock.Millis(float64(d.config.Settings.Grace)*finishShare).Duration())
	defer cancel()
	sleep(ctx, leaveRotation)
	d.callers.Refuse()
	for ctx.Err() == nil && (d.callers.Open() > 0 || !d.loop.idle.Load()) {
		sleep(ctx, pollDrain)
	}
	if err := d.callers.Shutdown(ctx); err != nil {
		d.journal.callFailed("finish requests", "callers", err)
	}
}

// watchSettings reads the settings again after SIGHUP. The addresses of a process stay as
// they are; what can change is logged and applied to the log's bound.
func (d *Daemon) watchSettings(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.config.Hangup:
		}
		s, err := d.config.Reload()
		if err != nil {
			d.journal.callFailed("read settings again", "settings", err)
			continue
		}
		d.journal.setLimit(s.LogLinesPerSecond)
		d.journal.reloaded(logrus.Fields{"linesPerSecond": s.LogLinesPerSecond})
	}
}
