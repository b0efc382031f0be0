package app

import (
	"context"
	"encoding/json"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/entry"
	"github.com/sequoiacart/sequoiacart/pkg/event"
	"github.com/sequoiacart/sequoiacart/pkg/platform"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

type pollerDeps struct {
	Self    vm.VM
	Client  *platform.Client
	Clock   clock.Clock
	Log     *event.Log
	Every   clock.Millis
	Loop    *entry.Loop
	Router  *entry.Router
	InForce func(*bundle.Bundle)
}

// poller reads the platform at intervals: roster, endpoints and bundle.
type poller struct {
	deps    pollerDeps
	version vm.RosterVersion
	current *bundle.Bundle
}

func newPoller(deps pollerDeps) *poller {
	return &poller{deps: deps}
}

const (
	rosterPrefix platform.Key        = "vm/"
	bundleObject platform.ObjectName = "bundle"
)

// Run polls until the context ends.
func (p *poller) Run(ctx context.Context) error {
	for {
		if err := p.poll(ctx); err != nil {
			p.deps.Log.Warn(event.PlatformFailed, "poll platform", logrus.Fields{"error": err})
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.deps.Clock.After(p.deps.Every):
		}
	}
}

func (p *poller) poll(ctx context.Context) error {
	if err := p.register(ctx); err != nil {
		return errors.Annotate(err, "register this VM")
	}
	if err := p.pollRoster(ctx); err != nil {
		return errors.Annotate(err, "read roster")
	}
	if err := p.pollEndpoints(ctx); err != nil {
		return errors.Annotate(err, "read endpoints")
	}
	return errors.Annotate(p.pollBundle(ctx), "read bundle")
}

type wireVM struct {
	Incarnation string `json:"incarnation"`
	DataCentre  string `json:"dataCentre"`
	PeerAddress string `json:"peerAddress"`
	Size        int    `json:"size"`
}

func (p *poller) register(ctx context.Context) error {
	key := rosterPrefix + platform.Key(p.deps.Self.Incarnation)
	_, err := p.deps.Client.Table().Get(ctx, key)
	if err == nil || !errors.Is(err, platform.ErrAbsent) {
		return err
	}
	body, err := json.Marshal(wireVM{
		Incarnation: string(p.deps.Self.Incarnation),
		DataCentre:  string(p.deps.Self.DataCentre),
		PeerAddress: p.deps.Self.PeerAddress,
		Size:        int(p.deps.Self.Size),
	})
	if err != nil {
		return errors.Trace(err)
	}
	_, err = p.deps.Client.Table().Put(ctx, key, 0, body)
	return err
}

func (p *poller) pollRoster(ctx context.Context) error {
	rows, err := p.deps.Client.Table().List(ctx, rosterPrefix)
	if err != nil {
		return errors.Trace(err)
	}
	vms := make([]vm.VM, len(rows))
	for i, r := range rows {
		var w wireVM
		if err := json.Unmarshal(r.Value, &w); err != nil {
			return errors.Annotatef(err, "decode row %s", r.Key)
		}
		vms[i] = vm.VM{
			Incarnation: vm.Incarnation(w.Incarnation),
			DataCentre:  datacentre.ID(w.DataCentre),
			PeerAddress: w.PeerAddress,
			Size:        vm.Size(w.Size),
		}
	}
	p.version++
	roster := vm.NewRoster(vm.RosterConfig{Version: p.version, Self: p.deps.Self.Incarnation, VMs: vms})
	p.deps.Router.SetRoster(roster)
	p.deps.Loop.Post(ctx, entry.RosterChanged{Roster: roster})
	return nil
}

func (p *poller) pollEndpoints(ctx context.Context) error {
	listed, err := p.deps.Client.ListVMs(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	var endpoints []datacentre.Endpoint
	for _, l := range listed {
		if l.Endpoint.DataCentre == p.deps.Self.DataCentre && l.State == platform.Live {
			endpoints = append(endpoints, l.Endpoint)
		}
	}
	p.deps.Loop.Post(ctx, entry.EndpointsListed{Endpoints: endpoints})
	return nil
}

func (p *poller) pollBundle(ctx context.Context) error {
	body, err := p.deps.Client.Objects().Get(ctx, bundleObject)
	if errors.Is(err, platform.ErrAbsent) {
		return nil
	}
	if err != nil {
		return errors.Trace(err)
	}
	b, err := bundle.Decode(body)
	if err != nil {
		p.deps.Log.Warn(event.BundleRejected, "bundle rejected", logrus.Fields{"error": err})
		return nil
	}
	if p.current != nil && b.Version <= p.current.Version {
		return nil
	}
	p.current = b
	p.deps.InForce(b)
	p.deps.Loop.Post(ctx, entry.OwnersChanged{Owners: b.Owners})
	p.deps.Log.Info(event.BundleInForce, "bundle in force", logrus.Fields{"version": b.Version})
	return nil
}
