package app

import (
	"bytes"
	"context"
	"flag"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// Guards against commands whose help lacks a description or an example.
func TestEveryCommandHasHelpWithAnExample(t *testing.T) {
	var visit func(path []string, c *ffcli.Command)
	visit = func(path []string, c *ffcli.Command) {
		t.Run(strings.Join(append([]string{"sequoiacart"}, path...), " "), func(t *testing.T) {
			if c.ShortHelp == "" || !strings.Contains(c.LongHelp, "Example:\n  sequoiacart ") {
				t.Errorf("got help %q and %q, want a description and an example", c.ShortHelp, c.LongHelp)
			}
			var stderr bytes.Buffer
			if got := Main(append(path, "--help"), io.Discard, &stderr); got != exitOK {
				t.Errorf("got exit code %d, want %d", got, exitOK)
			}
			if !strings.Contains(stderr.String(), c.LongHelp) {
				t.Errorf("got %q, want it to contain the help text", stderr.String())
			}
		})
		for _, sub := range c.Subcommands {
			visit(append(append([]string{}, path...), sub.Name), sub)
		}
	}
	visit(nil, newRootCommand(io.Discard, io.Discard))
}

// Guards against startup errors that don't name the step, the peer or a remedy, and against a
// start with an invalid setting.
func TestEntryStartErrors(t *testing.T) {
	busy, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = busy.Close() }()
	dir := t.TempDir()
	write := func(name, body string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(body), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	named := []string{"--vm", "a", "--data-centre", "centro", "--caller-address", "127.0.0.1:0", "--peer-address", "127.0.0.1:0"}
	good := write("good.toml", "vm = 'a'\ndataCentre = 'centro'\ncallerAddress = '127.0.0.1:0'\npeerAddress = '127.0.0.1:0'\n")
	cases := map[string]struct {
		args []string
		want []string
	}{
		"busy caller port": {append(named, "--caller-address", busy.Addr().String()), []string{"start entry VM a", "listen for callers", busy.Addr().String(), "in use", "set callerAddress"}},
		"busy peer port":   {append(named, "--peer-address", busy.Addr().String()), []string{"listen for peers", busy.Addr().String(), "set peerAddress"}},
		"unknown key":      {[]string{"--settings", write("unknown.toml", "colour = 1")}, []string{"unknown key colour", "docs/settings.md"}},
		"broken file":      {[]string{"--settings", write("broken.toml", "vm = ")}, []string{"not TOML", "line 1", "correct"}},
		"no file":          {[]string{"--settings", filepath.Join(dir, "none.toml")}, []string{"none.toml", "no such file"}},
		"no name":          {nil, []string{"check settings", "key vm", "use"}},
		"unknown flag":     {[]string{"--colour", "1"}, []string{"colour"}},
		"bad number":       {append(named, "--limits-mailbox", "many"), []string{"limits-mailbox", "whole number"}},
		"no certificate":   {[]string{"--settings", good, "--tls-certificate-file", "c", "--tls-key-file", "k", "--tls-ca-file", "a"}, []string{"load certificate c", "give PEM files"}},
		"stray argument":   {append(named, "start"), []string{"start", "takes no arguments"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			var stderr bytes.Buffer
			if got := execute(ctx, append([]string{"entry"}, c.args...), io.Discard, &stderr); got == exitOK {
				t.Errorf("got exit code %d, want a failure", got)
			}
			for _, w := range c.want {
				if !strings.Contains(stderr.String(), w) {
					t.Errorf("got %q, want it to contain %q", stderr.String(), w)
				}
			}
		})
	}
}

// Guards against help texts with flags that don't exist.
func TestExamplesParse(t *testing.T) {
	var visit func(c *ffcli.Command)
	visit = func(c *ffcli.Command) {
		for _, line := range strings.Split(c.LongHelp, "\n") {
			args, ok := strings.CutPrefix(line, "  sequoiacart ")
			if !ok {
				continue
			}
			t.Run(args, func(t *testing.T) {
				flags := strings.Fields(args)
				target := newRootCommand(io.Discard, io.Discard)
				for len(flags) > 0 && !strings.HasPrefix(flags[0], "-") {
					target = subcommand(t, target, flags[0])
					flags = flags[1:]
				}
				target.FlagSet.Init(target.Name, flag.ContinueOnError)
				if err := target.FlagSet.Parse(flags); err != nil {
					t.Errorf("got %v, want flags that parse", err)
				}
			})
		}
		for _, sub := range c.Subcommands {
			visit(sub)
		}
	}
	visit(newRootCommand(io.Discard, io.Discard))
}

func subcommand(t *testing.T, c *ffcli.Command, name string) *ffcli.Command {
	t.Helper()
	for _, sub := range c.Subcommands {
		if sub.Name == name {
			return sub
		}
	}
	t.Fatalf("got no command %s, want one", name)
	return nil
}
