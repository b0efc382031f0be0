package app

import (
	"context"
	stderrors "errors"

	"github.com/juju/errors"
	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/entry"
	"github.com/sequoiacart/sequoiacart/pkg/event"
	"github.com/sequoiacart/sequoiacart/pkg/platform"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

type pollerDeps struct {
	Self     vm.VM
	Client   *platform.Client
	Clock    clock.Clock
	Log      *event.Log
	Interval clock.Millis
	Loop     *entry.Loop
	Rows     *rosterRows
}

// poller reads the roster and the endpoints from the platform at intervals, independently of each
// other: a part of the platform that fails or hangs must not stop what the others still report.
type poller struct {
	deps pollerDeps
}

func newPoller(deps pollerDeps) *poller {
	return &poller{deps: deps}
}

// Run polls until the context ends.
func (p *poller) Run(ctx context.Context) error {
	var g run.Group
	addContext(ctx, &g, func(ctx context.Context) error { return p.repeat(ctx, p.pollRoster) })
	addContext(ctx, &g, func(ctx context.Context) error { return p.repeat(ctx, p.pollEndpoints) })
	return g.Run()
}

// repeat polls at intervals until the context ends.
func (p *poller) repeat(ctx context.Context, poll func(context.Context) error) error {
	for {
		if err := poll(ctx); err != nil {
			p.deps.Log.Warn(event.PlatformFailed, "poll platform", logrus.Fields{"error": err})
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.deps.Clock.After(p.deps.Interval):
		}
	}
}

// pollRoster refreshes this VM's row and reads all rows. It reads them also if the platform
// rejects the write.
func (p *poller) pollRoster(ctx context.Context) error {
	registered := errors.Annotate(p.deps.Rows.register(ctx), "register this VM")
	return stderrors.Join(registered, errors.Annotate(p.readRoster(ctx), "read roster"))
}

func (p *poller) readRoster(ctx context.Context) error {
	rows, err := p.deps.Rows.read(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	p.deps.Loop.Post(ctx, rows)
	return nil
}

func (p *poller) pollEndpoints(ctx context.Context) error {
	listed, err := p.deps.Client.ListVMs(ctx, p.deps.Self.DataCentre)
	if err != nil {
		return errors.Annotate(err, "read endpoints")
	}
	var e entry.EndpointsListed
	for _, l := range listed {
		// A platform that doesn't filter also lists other data centres.
		if l.Endpoint.DataCentre != p.deps.Self.DataCentre {
			continue
		}
		if l.State == platform.Leaving {
			e.Leaving = append(e.Leaving, l.Endpoint.ID)
			continue
		}
		e.Endpoints = append(e.Endpoints, l.Endpoint)
	}
	p.deps.Loop.Post(ctx, e)
	return nil
}
