package app

import (
	"context"
	"flag"
	"io"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/sirupsen/logrus"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/demo"
	"github.com/sequoiacart/sequoiacart/pkg/event"
	"github.com/sequoiacart/sequoiacart/pkg/peer"
	"github.com/sequoiacart/sequoiacart/pkg/settings"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

func newDemoCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("demo", flag.ContinueOnError)
	flags.SetOutput(stderr)
	workload := flags.String("workload", "both", "consorcio, trust or both")
	seed := flags.Uint64("seed", 1, "seed of the generated jobs")
	loadDurationMs := flags.Int64("span-ms", 6000, "how long the load on each workload lasts, in milliseconds")
	kill := flags.Bool("kill", true, "kill one entry VM in the middle of the load")
	serve := flags.Bool("hold", false, "start the VMs of one workload, print their addresses and serve until interrupted")
	verbose := flags.Bool("verbose", false, "show the log events of the entry VMs")
	mutualTLS := flags.Bool("mutual-tls", true, "use mutual TLS between entry VMs, with certificates generated in memory")
	return &ffcli.Command{
		Name:       "demo",
		ShortUsage: "sequoiacart demo [flags]",
		ShortHelp:  "Runs the whole system in one process on loopback, under load, and kills an entry VM meanwhile.",
		LongHelp:   "Example:\n  sequoiacart demo --workload trust\nEnds by itself within 40 s, except with --hold, which is for trying calls by hand.",
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			chosen, err := chooseWorkloads(*workload)
			if err != nil {
				return errors.Trace(err)
			}
			logger := logrus.New()
			logger.SetOutput(io.Discard)
			if *verbose {
				logger.SetOutput(stderr)
			}
			issueIdentity, err := newIdentityIssuer(*mutualTLS)
			if err != nil {
				return errors.Trace(err)
			}
			d := demo.New(demo.Deps{
				Out:          stdout,
				Progress:     stderr,
				LoadDuration: clock.Millis(*loadDurationMs),
				Seed:         *seed,
				KillVM:       *kill,
				NewVM: func(s settings.Settings) (demo.VM, error) {
					identity, err := issueIdentity(s.VM)
					if err != nil {
						return nil, errors.Trace(err)
					}
					return NewDaemon(DaemonDeps{Settings: s, Clock: clock.NewBoot(), Log: event.NewLog(logger), Identity: identity})
				},
			})
			if *serve {
				return d.Serve(ctx, chosen[0])
			}
			return d.Run(ctx, chosen)
		},
	}
}

// demoValidity is how long the demo's certificates are valid, well beyond the demo's run time.
const demoValidity = clock.Hour

// newIdentityIssuer returns a function that issues the identity of an entry VM. Without mutual TLS,
// the function returns a nil identity.
func newIdentityIssuer(enabled bool) (func(vm.ID) (*peer.Identity, error), error) {
	if !enabled {
		return func(vm.ID) (*peer.Identity, error) { return nil, nil }, nil
	}
	authority, err := peer.NewAuthority(peer.AuthorityConfig{Name: "sequoiacart demo", ValidFor: demoValidity})
	if err != nil {
		return nil, errors.Trace(err)
	}
	return func(name vm.ID) (*peer.Identity, error) {
		identity, err := authority.Issue(name)
		return &identity, err
	}, nil
}

func chooseWorkloads(name string) ([]demo.Workload, error) {
	all := demo.Workloads()
	if name == "both" {
		return all, nil
	}
	for _, w := range all {
		if w.Name == name {
			return []demo.Workload{w}, nil
		}
	}
	return nil, errors.NotValidf("choose workload: use consorcio, trust or both: workload %q", name)
}
