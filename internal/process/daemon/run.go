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
	// acceptShare of the grace period is how long jobs are still taken after SIGTERM. The load
	// balancer turns callers away after 2.3 s of 6; then idle connections are closed, so that
	// their callers turn to other VMs.
	acceptShare = 0.5
	// finishShare of the grace period is left for requests in flight. Those that are still open
	// then are told so, for a process that is there at its end is killed.
	finishShare = 0.9
	// answerLast is how long the last answers may take to be written.
	answerLast = clock.Millis(200)
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
	d.flushSpans()
	if err == nil || errors.Is(err, context.Canceled) || errors.Is(err, http.ErrServerClosed) {
		d.journal.stopping("shutdown")
		return nil
	}
	d.journal.stopping(err.Error())
	return err
}

// flushSpans sends the spans that wait, within the time that is left.
func (d *Daemon) flushSpans() {
	ctx, cancel := context.WithTimeout(context.Background(), answerLast.Duration())
	defer cancel()
	if err := d.tracer.Shutdown(ctx); err != nil {
		d.journal.callFailed("send spans", "collector", err)
	}
}

// drain leaves the load balancer's rotation, hands cells over, and waits for the requests in
// flight.
func (d *Daemon) drain() {
	d.loop.Post(node.ShutdownRequested{})
	d.callers.Drain()
	grace := float64(d.config.Settings.GracePeriod)
	background := context.Background()
	sleep(background, clock.Millis(grace*acceptShare))
	closed := make(chan error, 1)
	ctx, cancel := context.WithTimeout(background, (clock.Millis(grace*(finishShare-acceptShare)) + answerLast).Duration())
	defer cancel()
	go func() { closed <- d.callers.Shutdown(ctx) }()
	finish, done := context.WithTimeout(background, clock.Millis(grace*(finishShare-acceptShare)).Duration())
	defer done()
	for finish.Err() == nil && (d.callers.InFlight() > 0 || !d.loop.idle.Load()) {
		sleep(finish, pollDrain)
	}
	d.loop.Post(node.ShutdownOverdue{})
	if err := <-closed; err != nil {
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
