package app

import (
	"context"
	"flag"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/sirupsen/logrus"

	"github.com/sequoiacart/sequoiacart/internal/process/daemon"
	"github.com/sequoiacart/sequoiacart/internal/process/settings"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/event"
)

const nodeHelp = `Runs an entry VM on the users' platform until SIGINT or SIGTERM.

Every setting can be given as a flag, as a SEQUOIACART_ variable and in the TOML file that
SEQUOIACART_BOOT names, in this order of precedence. docs/node-settings.md lists them all.

Example:
  sequoiacart node --boot boot.toml`

func newNodeCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("node", flag.ContinueOnError)
	flags.SetOutput(stderr)
	s := settings.Default()
	settings.Register(flags, &s)
	return &ffcli.Command{
		Name:       "node",
		ShortUsage: "sequoiacart node [--boot boot.toml] [flags]",
		ShortHelp:  "Runs an entry VM on the users' platform.",
		LongHelp:   nodeHelp,
		FlagSet:    flags,
		Options:    settings.Options(),
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments("node", args); err != nil {
				return errors.Trace(err)
			}
			if err := s.Validate(); err != nil {
				return errors.Trace(err)
			}
			logger := logrus.New()
			logger.SetOutput(stdout)
			logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timestampFormat})
			hangup, stop := notifyHangup(ctx)
			defer stop()
			d, err := daemon.New(daemon.Config{
				Settings: s, Clock: clock.NewBoot(), Log: event.NewLog(logger), Hangup: hangup, Reload: reloadNode,
			})
			if err != nil {
				return errors.Annotate(err, "start VM "+string(s.VM))
			}
			return d.Run(ctx)
		},
	}
}

// timestampFormat is RFC 3339 with milliseconds: within a second, the lines of several nodes could
// not be put in order.
const timestampFormat = "2006-01-02T15:04:05.000Z07:00"

// reloadNode reads the settings again, from the environment variables and the file but not from
// the flags.
func reloadNode() (settings.Settings, error) {
	flags := flag.NewFlagSet("node", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	s := settings.Default()
	settings.Register(flags, &s)
	if err := ff.Parse(flags, nil, settings.Options()...); err != nil {
		return s, errors.Annotate(err, "read settings again")
	}
	return s, s.Validate()
}

// notifyHangup returns a channel that receives a value after a SIGHUP, and a function that stops
// it. Signals that arrive while a value is unread are merged into that value.
func notifyHangup(ctx context.Context) (<-chan struct{}, func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	out := make(chan struct{}, 1)
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
				select {
				case out <- struct{}{}:
				default:
				}
			}
		}
	}()
	return out, func() { signal.Stop(signals); cancel() }
}
