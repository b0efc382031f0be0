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
	// acceptShare is the part of the grace period during which connections are accepted after
	// SIGTERM. The load balancer stops sending callers after 2.3 s of 6; then connections without
	// a request are closed, so that their callers connect to other VMs.
	acceptShare = 0.5
	// finishShare is the part of the grace period after which the remaining requests in flight
	// are answered as stopped, since the platform kills the process at the end of the period.
	finishShare = 0.9
	// answerShare is the part of the grace period by which the last answers have to be written. A
	// VM with a tenth of a core needs some milliseconds for each.
	answerShare = 0.97
	// minAnswerTime is how long writing the last answers may take at least, where the processor is so
	// late that answerShare has passed.
	minAnswerTime = clock.Millis(50)
	// flushTimeout is how long sending pending spans may take.
	flushTimeout = clock.Millis(100)
	// handOverShare is the part of the grace period for finding a successor for a shard. In the
	// rest of it the jobs of the shard can still be moved to another leader.
	handOverShare = 0.7
	// drainPollInterval is how often the shutdown checks whether the last shard has been handed over.
	drainPollInterval = clock.Millis(25)
)

// Run serves until the context ends, and then hands over its shards and finishes requests in
// flight.
func (d *Daemon) Run(ctx context.Context) error {
	var g run.Group
	addActor := func(run func(context.Context) error) {
		inner, cancel := context.WithCancel(context.Background())
		g.Add(func() error { return run(inner) }, func(error) { cancel() })
	}
	addActor(func(inner context.Context) error {
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
		addActor(f.run)
	}
	addActor(d.traffic.loadAllCrashes)
	addActor(d.watchSettings)
	addActor(d.loop.run)
	addActor(d.logger.run)
	d.logger.started(d.startFields())
	err := g.Run()
	d.flushSpans()
	if err == nil || errors.Is(err, context.Canceled) || errors.Is(err, http.ErrServerClosed) {
		d.logger.stopping("shutdown")
		return nil
	}
	d.logger.stopping(err.Error())
	return err
}

// flushSpans sends pending spans. It takes flushTimeout at most.
func (d *Daemon) flushSpans() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout.Duration())
	defer cancel()
	if err := d.tracer.Shutdown(ctx); err != nil {
		d.logger.callFailed("send spans", "collector", err)
	}
}

// drain makes the VM not ready for the load balancer, hands over its shards, and waits for the
// requests in flight. All its times are counted from SIGTERM, so that a late processor does not move
// the end beyond the grace period.
func (d *Daemon) drain() {
	began := d.signalledAt()
	at := func(share float64) clock.Millis {
		return began + clock.Millis(float64(d.config.Settings.GracePeriod)*share)
	}
	left := func(share float64) clock.Millis { return at(share) - d.config.Clock.Now() }
	d.loop.Post(node.ShutdownRequested{FinishBy: at(finishShare)})
	d.callers.Drain()
	sleep(context.Background(), left(acceptShare))
	d.callers.Leave()
	finish, done := context.WithTimeout(context.Background(), left(finishShare).Duration())
	defer done()
	// An error means that the time is over.
	_ = d.callers.AwaitClosed(finish)
	for finish.Err() == nil && !d.loop.idle.Load() {
		sleep(finish, drainPollInterval)
	}
	d.loop.Post(node.ShutdownOverdue{})
	d.callers.Finish()
	answer, cancel := context.WithTimeout(context.Background(), max(left(answerShare), minAnswerTime).Duration())
	defer cancel()
	if err := d.callers.AwaitClosed(answer); err != nil {
		d.logger.callFailed("finish requests", "callers", err)
	}
}

// signalledAt returns the earliest time at which SIGTERM may have been sent: the beginning of a pause that
// the VM has just had. No more than acceptShare counts, since the pause may also have ended before.
func (d *Daemon) signalledAt() clock.Millis {
	now := d.config.Clock.Now()
	return max(d.loop.waitsSince(now), now-clock.Millis(float64(d.config.Settings.GracePeriod)*acceptShare))
}

// watchSettings reads the settings again after SIGHUP. Only the rate limit of the log is
// applied; all other settings, such as addresses, need a restart.
func (d *Daemon) watchSettings(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.config.Hangup:
		}
		s, err := d.config.Reload()
		if err != nil {
			d.logger.callFailed("read settings again", "settings", err)
			continue
		}
		d.logger.setLimit(s.LogLinesPerSecond)
		d.logger.reloaded(logrus.Fields{"linesPerSecond": s.LogLinesPerSecond})
	}
}
