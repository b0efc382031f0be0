// Package app parses the command line and wires the programs together.
package app

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
)

const (
	exitOK = iota
	exitFailed
	exitUsage
)

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := newRootCommand(stdout, stderr)
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitOK
		}
		_, _ = fmt.Fprintln(stderr, "sequoiacart:", err)
		return exitUsage
	}
	err := root.Run(ctx)
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, flag.ErrHelp):
		return exitUsage
	}
	_, _ = fmt.Fprintln(stderr, "sequoiacart:", err)
	return exitFailed
}

func newRootCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("sequoiacart", flag.ContinueOnError)
	flags.SetOutput(stderr)
	return &ffcli.Command{
		Name:       "sequoiacart",
		ShortUsage: "sequoiacart <command> [flags]",
		ShortHelp:  "Dispatches short tasks of several owners to endpoints.",
		FlagSet:    flags,
		Subcommands: []*ffcli.Command{
			newDemoCommand(stdout, stderr),
			newEntryCommand(stderr),
			newSubmitCommand(stdout, stderr),
			newStandinCommand(stderr),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}
