package app

import (
	"context"

	"github.com/juju/errors"
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

// poller reads the roster and the endpoints from the platform at intervals.
type poller struct {
	deps pollerDeps
}

func newPoller(deps pollerDeps) *poller {
	return &poller{deps: deps}
}

// Run polls until the context ends.
func (p *poller) Run(ctx context.Context) error {
	for {
		if err := p.poll(ctx); err != nil {
			p.deps.Log.Warn(event.PlatformFailed, "poll platform", logrus.Fields{"error": err})
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.deps.Clock.After(p.deps.Interval):
		}
	}
}

func (p *poller) poll(ctx context.Context) error {
	if err := p.deps.Rows.register(ctx); err != nil {
		return errors.Annotate(err, "register this VM")
	}
	if err := p.pollRoster(ctx); err != nil {
		return errors.Annotate(err, "read roster")
	}
	return errors.Annotate(p.pollEndpoints(ctx), "read endpoints")
}

func (p *poller) pollRoster(ctx context.Context) error {
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
		return errors.Trace(err)
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
