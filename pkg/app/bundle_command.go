package app

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"os"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/bundlestore"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/operator"
	"github.com/sequoiacart/sequoiacart/pkg/peer"
	"github.com/sequoiacart/sequoiacart/pkg/platform"
)

func newBundleCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("bundle", flag.ContinueOnError)
	flags.SetOutput(stderr)
	return &ffcli.Command{
		Name:       "bundle",
		ShortUsage: "sequoiacart bundle keygen|check|diff|prepare|sign|roll|status|history [flags]",
		ShortHelp:  "Checks, signs and rolls out configuration bundles.",
		LongHelp:   "Example:\n  sequoiacart bundle check --file bundle.toml\n\ndocs/bundles.md describes the file, the steps and the errors.",
		FlagSet:    flags,
		Subcommands: []*ffcli.Command{
			newBundleKeygenCommand(stdout, stderr),
			newBundleCheckCommand(stdout, stderr),
			newBundleDiffCommand(stdout, stderr),
			newBundlePrepareCommand(stdout, stderr),
			newBundleSignCommand(stdout, stderr),
			newBundleRollCommand(stdout, stderr),
			newBundleStatusCommand(stdout, stderr),
			newBundleHistoryCommand(stdout, stderr),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

// bundleFlags holds the flags that several bundle commands share.
type bundleFlags struct {
	set      *flag.FlagSet
	output   *string
	platform *string
	operator *string
	// recordsOperator reports whether the command writes rows that name the operator.
	recordsOperator bool
	timeout         *int64
	// The paths of the PEM files for calls to VMs that require certificates; all empty for plain TCP.
	certificate, key, authority *string
}

const (
	bundleTimeout          = 5 * clock.Second
	operatorCallsPerSecond = 500
	outputText             = "text"
	outputJSON             = "json"
	tableDigestHexDigits   = 16
)

func newBundleFlags(name string, stderr io.Writer) *bundleFlags {
	set := flag.NewFlagSet(name, flag.ContinueOnError)
	set.SetOutput(stderr)
	return &bundleFlags{
		set:    set,
		output: set.String("output", outputText, "text, or json for scripts"),
	}
}

// withPlatform adds the flags of commands that call the platform.
func (f *bundleFlags) withPlatform() *bundleFlags {
	f.platform = f.set.String("platform-address", "127.0.0.1:7002", "host:port of the platform")
	f.operator = f.set.String("operator", os.Getenv("USER"), "name that other operators see")
	f.timeout = f.set.Int64("timeout-ms", int64(bundleTimeout), "timeout of one call, in milliseconds")
	f.certificate = f.set.String("tls-certificate-file", "", "PEM certificate for calls to VMs that use TLS")
	f.key = f.set.String("tls-key-file", "", "PEM key of the certificate")
	f.authority = f.set.String("tls-ca-file", "", "PEM certificates of the VMs' certificate authority")
	return f
}

// withOperator makes the operator's name required.
func (f *bundleFlags) withOperator() *bundleFlags {
	f.recordsOperator = true
	return f
}

// command returns a command whose help text ends with an example.
func (f *bundleFlags) command(usage, help, example string, exec func(context.Context) error) *ffcli.Command {
	return &ffcli.Command{
		Name:       f.set.Name(),
		ShortUsage: "sequoiacart bundle " + usage,
		ShortHelp:  help,
		LongHelp:   help + "\n\nExample:\n  sequoiacart bundle " + example,
		FlagSet:    f.set,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return errors.NotValidf("run bundle %s: argument %q; use flags only: command line", f.set.Name(), args[0])
			}
			if *f.output != outputText && *f.output != outputJSON {
				return errors.NotValidf("run bundle %s: --output %q; use text or json: command line", f.set.Name(), *f.output)
			}
			if f.recordsOperator && *f.operator == "" {
				return errors.NotValidf("run bundle %s: --operator is empty; give the name that other operators should see: command line", f.set.Name())
			}
			return exec(ctx)
		},
	}
}

// operatorClients holds the clients that an operator's command uses.
type operatorClients struct {
	client   *platform.Client
	peers    *peer.Client
	operator *operator.Operator
	fleet    *operator.Fleet
}

func (f *bundleFlags) open() (*operatorClients, error) {
	var identity *tls.Config
	if *f.certificate != "" || *f.key != "" || *f.authority != "" {
		loaded, err := peer.LoadIdentity(*f.certificate, *f.key, *f.authority)
		if err != nil {
			return nil, errors.Trace(err)
		}
		identity = loaded.ClientTLS()
	}
	timeout := clock.Millis(*f.timeout)
	client := platform.NewClient(platform.ClientConfig{Address: *f.platform, AttemptTimeout: timeout, CallsPerSecond: operatorCallsPerSecond})
	peers := peer.NewClient(peer.ClientConfig{Dialer: &net.Dialer{Timeout: timeout.Duration()}, TLS: identity})
	store := bundlestore.New(client.Table(), client.Objects())
	return &operatorClients{
		client:   client,
		peers:    peers,
		operator: operator.New(operator.Deps{Name: bundlestore.OperatorName(*f.operator), Store: store, Clock: clock.NewSystem()}),
		fleet:    &operator.Fleet{Store: store, Peers: peers, Timeout: timeout},
	}, nil
}

func (c *operatorClients) close() {
	c.client.Close()
	c.peers.Close()
}

// print writes the text, or the value as JSON if --output is json.
func (f *bundleFlags) print(w io.Writer, asJSON any, text string, args ...any) error {
	if *f.output == outputJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return errors.Trace(encoder.Encode(asJSON))
	}
	_, err := fmt.Fprintf(w, text, args...)
	return errors.Trace(err)
}

func readBundleFile(path string) (*bundle.Bundle, error) {
	if path == "" {
		return nil, errors.NotValidf("read bundle file: --file is missing; name a TOML file: command line")
	}
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "read bundle file")
	}
	return bundle.DecodeFile(path, body)
}

func candidateDigest(text string) (bundle.Digest, error) {
	d := bundle.Digest(text)
	if !d.Valid() {
		return "", errors.NotValidf("read --candidate %q: use the 64 hex digits that prepare printed: candidate", text)
	}
	return d, nil
}
