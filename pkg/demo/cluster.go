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
	endpointsPerDataCentre = 4
	entryVMsPerDataCentre  = 2
	slotsPerEndpoint       = 8
	connectionsPerEndpoint = 64
	readHeaderTimeout      = 5 * clock.Second
)

// slowdowns are the run-time factors of the endpoints of a data centre, in percent.
var slowdowns = [endpointsPerDataCentre]int{100, 100, 100, 200}

// cluster is a platform, its endpoints and its entry VMs, all on loopback.
type cluster struct {
	platform        *standin.Platform
	platformAddress string
	governance      bundle.Digest
	endpoints       []*standin.Endpoint
	starts          *standin.StartCounts
	vms             []runningVM
	servers         []*http.Server
}

type runningVM struct {
	vm     VM
	cancel context.CancelFunc
	done   chan error
}

func newCluster(ctx context.Context, w Workload, newVM VMFactory) (*cluster, error) {
	c := &cluster{platform: standin.NewPlatform(), starts: standin.NewStartCounts()}
	var err error
	if c.platformAddress, err = c.serve(c.platform.Handler()); err != nil {
		return nil, errors.Trace(err)
	}
	if c.governance, err = publishBundle(ctx, c.platformAddress); err != nil {
		return nil, errors.Trace(err)
	}
	for _, dc := range w.DataCentres {
		if err := c.addEndpoints(dc); err != nil {
			return nil, errors.Trace(err)
		}
	}
	for _, dc := range w.DataCentres {
		if err := c.addVMs(dc, newVM); err != nil {
			return nil, errors.Trace(err)
		}
	}
	return c, nil
}

func (c *cluster) addEndpoints(dc datacentre.ID) error {
	for i := range endpointsPerDataCentre {
		e := standin.NewEndpoint(standin.EndpointConfig{Slots: slotsPerEndpoint, Slowdown: slowdowns[i], Starts: c.starts})
		address, err := c.serve(e.Handler())
		if err != nil {
			return errors.Trace(err)
		}
		c.endpoints = append(c.endpoints, e)
		c.platform.SetVM(platform.ListedVM{Endpoint: datacentre.Endpoint{
			ID:          datacentre.EndpointID(string(dc) + "e" + strconv.Itoa(i)),
			DataCentre:  dc,
			Address:     address,
			Slots:       slotsPerEndpoint,
			Connections: connectionsPerEndpoint,
		}})
	}
	return nil
}

func (c *cluster) addVMs(dc datacentre.ID, newVM VMFactory) error {
	for i := range entryVMsPerDataCentre {
		config := settings.Default()
		config.VM = vm.ID(string(dc) + strconv.Itoa(i+1))
		config.DataCentre = dc
		config.Size = vm.Size(i + 1)
		config.CallerAddress = "127.0.0.1:0"
		config.PeerAddress = "127.0.0.1:0"
		config.PlatformAddress = c.platformAddress
		config.GovernanceDigest = c.governance
		entryVM, err := newVM(config)
		if err != nil {
			return errors.Annotatef(err, "start entry VM %s", config.VM)
		}
		c.startVM(entryVM)
	}
	return nil
}

// startVM runs an entry VM until close cancels its context.
func (c *cluster) startVM(v VM) {
	ctx, cancel := context.WithCancel(context.Background())
	r := runningVM{vm: v, cancel: cancel, done: make(chan error, 1)}
	go func() { r.done <- v.Run(ctx) }()
	c.vms = append(c.vms, r)
}

// serve starts an HTTP server on a free loopback port and returns its address.
func (c *cluster) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Annotate(err, "listen on loopback")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout.Duration()}
	c.servers = append(c.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (c *cluster) callerAddresses() []string {
	addresses := make([]string, len(c.vms))
	for i, r := range c.vms {
		addresses[i] = r.vm.CallerAddress()
	}
	return addresses
}

// refused returns the number of tasks that the endpoints answered as not run.
func (c *cluster) refused() int {
	total := 0
	for _, e := range c.endpoints {
		total += e.Refused()
	}
	return total
}

// killLastVM kills the last entry VM, as a crash would.
func (c *cluster) killLastVM() {
	c.vms[len(c.vms)-1].vm.Kill()
}

func (c *cluster) close() {
	for _, r := range c.vms {
		r.cancel()
	}
	for _, r := range c.vms {
		<-r.done
	}
	for _, server := range c.servers {
		_ = server.Close()
	}
}
