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
	"github.com/sequoiacart/sequoiacart/pkg/settings"
)

func newDemoCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("demo", flag.ContinueOnError)
	flags.SetOutput(stderr)
	workload := flags.String("workload", "both", "consorcio, trust or both")
	seed := flags.Uint64("seed", 1, "seed of the generated jobs")
	spanMs := flags.Int64("span-ms", 6000, "how long each workload is under load, in milliseconds")
	verbose := flags.Bool("verbose", false, "show the log events of the entry VMs")
	return &ffcli.Command{
		Name:       "demo",
		ShortUsage: "sequoiacart demo [flags]",
		ShortHelp:  "Runs everything in one process on loopback, under load, and kills an entry VM on the way.",
		LongHelp:   "Example:\n  sequoiacart demo --workload trust\nEnds by itself within 40 s.",
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
			d := demo.New(demo.Deps{
				Out:      stdout,
				Progress: stderr,
				Span:     clock.Millis(*spanMs),
				Seed:     *seed,
				NewVM: func(s settings.Settings) (demo.VM, error) {
					return NewDaemon(DaemonDeps{Settings: s, Clock: clock.NewSystem(), Log: event.NewLog(logger)})
				},
			})
			return d.Run(ctx, chosen)
		},
	}
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
