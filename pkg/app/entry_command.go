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
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/event"
	"github.com/sequoiacart/sequoiacart/pkg/settings"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

const envPrefix = "SEQUOIACART"

func newEntryCommand(stderr io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("entry", flag.ContinueOnError)
	flags.SetOutput(stderr)
	file := flags.String("settings", "", "TOML file with the settings")
	vmID := flags.String("vm", "", "name of this VM; overrides the file")
	dc := flags.String("data-centre", "", "data centre of this VM; overrides the file")
	caller := flags.String("caller-address", "", "host:port for callers; overrides the file")
	peer := flags.String("peer-address", "", "host:port for other entry VMs; overrides the file")
	platform := flags.String("platform-address", "", "host:port of the platform; overrides the file")
	return &ffcli.Command{
		Name:       "entry",
		ShortUsage: "sequoiacart entry --settings entry.toml",
		ShortHelp:  "Runs the daemon of an entry VM.",
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			s, err := loadSettings(*file)
			if err != nil {
				return errors.Trace(err)
			}
			override(&s.CallerAddress, *caller)
			override(&s.PeerAddress, *peer)
			override(&s.PlatformAddress, *platform)
			override(&s.VM, vm.ID(*vmID))
			override(&s.DataCentre, datacentre.ID(*dc))
			if err := s.Validate(); err != nil {
				return errors.Trace(err)
			}
			logger := logrus.New()
			logger.SetOutput(stderr)
			d, err := NewDaemon(DaemonDeps{Settings: s, Clock: clock.NewSystem(), Log: event.NewLog(logger)})
			if err != nil {
				return errors.Trace(err)
			}
			return d.Run(ctx)
		},
	}
}

func loadSettings(file string) (settings.Settings, error) {
	if file == "" {
		return settings.Default(), nil
	}
	return settings.Load(file)
}

func override[T ~string](setting *T, value T) {
	if value != "" {
		*setting = value
	}
}
