package app

import (
	"bytes"
	"context"
	"flag"
	"io"
	"net"
	"net/http"

	"github.com/juju/errors"
	"github.com/oklog/run"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/platform"
	"github.com/sequoiacart/sequoiacart/pkg/standin"
)

const standinHeaderTimeout = 5 * clock.Second

func newStandinCommand(stderr io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("standin", flag.ContinueOnError)
	flags.SetOutput(stderr)
	return &ffcli.Command{
		Name:        "standin",
		ShortUsage:  "sequoiacart standin platform|endpoint [flags]",
		ShortHelp:   "Runs a stand-in for an external system, for trials and tests.",
		LongHelp:    "Example:\n  sequoiacart standin platform --address 127.0.0.1:7002",
		FlagSet:     flags,
		Subcommands: []*ffcli.Command{newStandinPlatformCommand(stderr), newStandinEndpointCommand(stderr)},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func newStandinPlatformCommand(stderr io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("platform", flag.ContinueOnError)
	flags.SetOutput(stderr)
	address := flags.String("address", "127.0.0.1:7002", "host:port to listen on")
	return &ffcli.Command{
		Name:       "platform",
		ShortUsage: "sequoiacart standin platform --address 127.0.0.1:7002",
		ShortHelp:  "Runs a table service, an object store and a VM list in memory.",
		LongHelp:   "Example:\n  sequoiacart standin platform --address 127.0.0.1:7002\nPUT /v1/faults sets faults for each service, for example:\n{\"table\":{\"down\":false,\"slowMs\":0,\"dropNext\":0,\"loseNext\":1,\"lag\":0}}",
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			p := standin.NewPlatform()
			return serveHTTP(ctx, *address, p.Handler(), func(context.Context, string) error { return nil })
		},
	}
}

func newStandinEndpointCommand(stderr io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("endpoint", flag.ContinueOnError)
	flags.SetOutput(stderr)
	address := flags.String("address", "127.0.0.1:0", "host:port to listen on")
	name := flags.String("name", "endpoint1", "name of the endpoint")
	dc := flags.String("data-centre", "", "data centre of the endpoint")
	slots := flags.Int("slots", 8, "maximum number of concurrent tasks")
	platformAddress := flags.String("platform-address", "127.0.0.1:7002", "host:port of the platform stand-in")
	return &ffcli.Command{
		Name:       "endpoint",
		ShortUsage: "sequoiacart standin endpoint --name e1 --data-centre centro",
		ShortHelp:  "Runs an endpoint that sleeps for each task.",
		LongHelp:   "Registers itself in the VM list of the platform stand-in.\nExample:\n  sequoiacart standin endpoint --name e1 --data-centre centro --platform-address 127.0.0.1:7002",
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			e := standin.NewEndpoint(standin.EndpointConfig{Slots: datacentre.Slots(*slots)})
			return serveHTTP(ctx, *address, e.Handler(), func(ctx context.Context, bound string) error {
				return registerEndpoint(ctx, *platformAddress, datacentre.Endpoint{
					ID:          datacentre.EndpointID(*name),
					DataCentre:  datacentre.ID(*dc),
					Address:     bound,
					Slots:       datacentre.Slots(*slots),
					Connections: 64,
				})
			})
		},
	}
}

// registerEndpoint registers the endpoint in the VM list of the platform stand-in.
func registerEndpoint(ctx context.Context, platformAddress string, e datacentre.Endpoint) error {
	body, err := standin.EncodeVM(platform.ListedVM{Endpoint: e})
	if err != nil {
		return errors.Trace(err)
	}
	url := "http://" + platformAddress + "/v1/vms/" + string(e.ID)
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Annotate(err, "register endpoint at the platform")
	}
	return response.Body.Close()
}

// serveHTTP serves until the context ends. It calls ready with the bound address once the listener
// is open.
func serveHTTP(ctx context.Context, address string, handler http.Handler, ready func(context.Context, string) error) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Annotate(err, "listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: standinHeaderTimeout.Duration()}
	var g run.Group
	addContext(ctx, &g, func(ctx context.Context) error {
		if err := ready(ctx, listener.Addr().String()); err != nil {
			return err
		}
		<-ctx.Done()
		return nil
	})
	g.Add(func() error { return server.Serve(listener) }, func(error) { _ = server.Close() })
	err = g.Run()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
