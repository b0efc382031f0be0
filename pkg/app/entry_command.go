package app

import (
	"context"
	"flag"
	"io"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/sirupsen/logrus"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/event"
	"github.com/sequoiacart/sequoiacart/pkg/settings"
)

const envPrefix = settings.EnvPrefix

const entryHelp = `Runs the daemon of an entry VM until SIGINT or SIGTERM.

Every setting can be given as a flag, as a SEQUOIACART_ variable and in the file, in this
order of precedence. docs/settings.md lists them all.

Example:
  sequoiacart entry --settings entry.toml --vm a --data-centre centro`

func newEntryCommand(stderr io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("entry", flag.ContinueOnError)
	flags.SetOutput(stderr)
	s := settings.Default()
	settings.Register(flags, &s)
	return &ffcli.Command{
		Name:       "entry",
		ShortUsage: "sequoiacart entry [--settings entry.toml] [flags]",
		ShortHelp:  "Runs the daemon of an entry VM.",
		LongHelp:   entryHelp,
		FlagSet:    flags,
		Options:    settings.Options(),
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments("entry", args); err != nil {
				return errors.Trace(err)
			}
			if err := s.Validate(); err != nil {
				return errors.Trace(err)
			}
			logger := logrus.New()
			logger.SetOutput(stderr)
			d, err := NewDaemon(DaemonDeps{Settings: s, Clock: clock.NewBoot(), Log: event.NewLog(logger)})
			if err != nil {
				return errors.Annotate(err, "start entry VM "+string(s.VM))
			}
			return d.Run(ctx)
		},
	}
}
