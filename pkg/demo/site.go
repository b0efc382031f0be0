package demo

import (
	"context"
	"net"
	"net/http"
	"strconv"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/platform"
	"github.com/sequoiacart/sequoiacart/pkg/settings"
	"github.com/sequoiacart/sequoiacart/pkg/standin"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

const (
	endpointsInDataCentre = 4
	entryVMsInDataCentre  = 2
	slotsOfEndpoint       = 8
	connectionsOfEndpoint = 64
	readHeaderTimeout     = 5 * clock.Second
)

// slowdowns are the run-time factors of the endpoints of a data centre, in percent.
var slowdowns = [endpointsInDataCentre]int{100, 100, 100, 200}

// site is a platform, its endpoints and its entry VMs, all on loopback.
type site struct {
	platform   *standin.Platform
	address    string
	governance bundle.Digest
	endpoints  []*standin.Endpoint
	starts     *standin.StartCounts
	vms        []runningVM
	servers    []*http.Server
}

type runningVM struct {
	vm     VM
	cancel context.CancelFunc
	done   chan error
}

func newSite(ctx context.Context, w Workload, newVM VMFactory) (*site, error) {
	s := &site{platform: standin.NewPlatform(), starts: standin.NewStartCounts()}
	var err error
	if s.address, err = s.serve(s.platform.Handler()); err != nil {
		return nil, errors.Trace(err)
	}
	if s.governance, err = publishBundle(ctx, s.address); err != nil {
		return nil, errors.Trace(err)
	}
	for _, dc := range w.DataCentres {
		if err := s.addEndpoints(dc); err != nil {
			return nil, errors.Trace(err)
		}
	}
	for _, dc := range w.DataCentres {
		if err := s.addVMs(dc, newVM); err != nil {
			return nil, errors.Trace(err)
		}
	}
	return s, nil
}

func (s *site) addEndpoints(dc datacentre.ID) error {
	for i := range endpointsInDataCentre {
		e := standin.NewEndpoint(standin.EndpointConfig{Slots: slotsOfEndpoint, Slowdown: slowdowns[i], Starts: s.starts})
		address, err := s.serve(e.Handler())
		if err != nil {
			return errors.Trace(err)
		}
		s.endpoints = append(s.endpoints, e)
		s.platform.SetVM(platform.ListedVM{Endpoint: datacentre.Endpoint{
			ID:          datacentre.EndpointID(string(dc) + "e" + strconv.Itoa(i)),
			DataCentre:  dc,
			Address:     address,
			Slots:       slotsOfEndpoint,
			Connections: connectionsOfEndpoint,
		}})
	}
	return nil
}

func (s *site) addVMs(dc datacentre.ID, newVM VMFactory) error {
	for i := range entryVMsInDataCentre {
		config := settings.Default()
		config.VM = vm.ID(string(dc) + strconv.Itoa(i+1))
		config.DataCentre = dc
		config.Size = vm.Size(i + 1)
		config.CallerAddress = "127.0.0.1:0"
		config.PeerAddress = "127.0.0.1:0"
		config.PlatformAddress = s.address
		config.GovernanceDigest = s.governance
		entryVM, err := newVM(config)
		if err != nil {
			return errors.Annotatef(err, "start entry VM %s", config.VM)
		}
		s.run(entryVM)
	}
	return nil
}

func (s *site) run(v VM) {
	ctx, cancel := context.WithCancel(context.Background())
	r := runningVM{vm: v, cancel: cancel, done: make(chan error, 1)}
	go func() { r.done <- v.Run(ctx) }()
	s.vms = append(s.vms, r)
}

func (s *site) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Annotate(err, "listen on loopback")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout.Duration()}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (s *site) callerAddresses() []string {
	addresses := make([]string, len(s.vms))
	for i, r := range s.vms {
		addresses[i] = r.vm.CallerAddress()
	}
	return addresses
}

func (s *site) refused() int {
	total := 0
	for _, e := range s.endpoints {
		total += e.Refused()
	}
	return total
}

// killOne kills the last entry VM, as a crash would.
func (s *site) killOne() {
	s.vms[len(s.vms)-1].vm.Kill()
}

func (s *site) close() {
	for _, r := range s.vms {
		r.cancel()
	}
	for _, r := range s.vms {
		<-r.done
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
}
