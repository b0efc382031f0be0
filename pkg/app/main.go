// Package app parses the command line and wires the components of each program.
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
	return execute(ctx, args, stdout, stderr)
}

func execute(ctx context.Context, args []string, stdout, stderr io.Writer) int {
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

// noArguments rejects positional arguments, which would otherwise be ignored.
func noArguments(command string, args []string) error {
	if len(args) == 0 {
		return nil
	}
	return errors.Errorf("read command line: %s takes no arguments, but got %q: give settings as flags", command, args[0])
}

func newRootCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("sequoiacart", flag.ContinueOnError)
	flags.SetOutput(stderr)
	return &ffcli.Command{
		Name:       "sequoiacart",
		ShortUsage: "sequoiacart <command> [flags]",
		ShortHelp:  "Dispatches short tasks of several owners to endpoints.",
		LongHelp:   "Start with the demo, which needs nothing else:\nExample:\n  sequoiacart demo\nEach command has --help of its own.",
		FlagSet:    flags,
		Subcommands: []*ffcli.Command{
			newBundleCommand(stdout, stderr),
			newDemoCommand(stdout, stderr),
			newEntryCommand(stderr),
			newNodeCommand(stdout, stderr),
			newSubmitCommand(stdout, stderr),
			newUsageCommand(stdout, stderr),
			newStandinCommand(stderr),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}
