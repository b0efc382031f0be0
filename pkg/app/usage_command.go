package app

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/sequoiacart/sequoiacart/pkg/accounting"
	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/caller"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

const (
	usageTimeout = 5 * clock.Second
	// maxUsageBytes limits the answer. With 120 owners, 16 VMs and 22 data centres it has about
	// 700 KB.
	maxUsageBytes = 4 << 20
)

func newUsageCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("usage", flag.ContinueOnError)
	flags.SetOutput(stderr)
	address := flags.String("address", "127.0.0.1:7000", "host:port of an entry VM")
	token := flags.String("token", "", "bearer token of any owner")
	output := flags.String("output", outputText, "text, or json for scripts")
	return &ffcli.Command{
		Name:       "usage",
		ShortUsage: "sequoiacart usage --token TOKEN [flags]",
		ShortHelp:  "Prints the usage of each owner and the sign-offs of the bundles.",
		LongHelp:   "Example:\n  sequoiacart usage --address 127.0.0.1:7000 --token TOKEN",
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			if *output != outputText && *output != outputJSON {
				return errors.NotValidf("read usage: --output %q; use text or json: command line", *output)
			}
			report, err := fetchUsage(ctx, *address, *token)
			if err != nil {
				return errors.Trace(err)
			}
			if *output == outputJSON {
				_, err = fmt.Fprintln(stdout, string(caller.EncodeReport(report)))
				return errors.Annotate(err, "print usage")
			}
			return printUsage(stdout, report)
		},
	}
}

func fetchUsage(ctx context.Context, address, token string) (accounting.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, usageTimeout.Duration())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/usage", nil)
	if err != nil {
		return accounting.Report{}, errors.Annotate(err, "read usage")
	}
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return accounting.Report{}, errors.Annotatef(err, "read usage of entry VM %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxUsageBytes))
	if err != nil {
		return accounting.Report{}, errors.Annotatef(err, "read usage of entry VM %s", address)
	}
	if response.StatusCode != http.StatusOK {
		return accounting.Report{}, errors.Errorf("read usage of entry VM %s: %s: %s", address, response.Status, body)
	}
	return caller.DecodeReport(body)
}

func printUsage(w io.Writer, r accounting.Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "owner\tshare\tslot time (ms)\tbacklog\tstarted\trefused jobs\tmean wait (ms)\tlongest wait (ms)")
	for _, o := range r.Owners {
		u := o.Usage
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", o.Owner, o.Share, u.SlotTime, u.Backlog, u.Started, u.Refused, int64(u.Waited)/max(u.Started, 1), u.LongestWait)
	}
	_, _ = fmt.Fprintln(t, "\ndata centre\tage of figures (ms)\tstarted")
	for _, dc := range r.DataCentres {
		var started int64
		for _, u := range dc.Usage {
			started += u.Started
		}
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\n", dc.DataCentre, dc.Age, started)
	}
	_, _ = fmt.Fprintln(t, "\nentry VM\tage of figures (ms)")
	for _, v := range r.VMs {
		_, _ = fmt.Fprintf(t, "%s\t%d\n", v.VM, v.Age)
	}
	_, _ = fmt.Fprintln(t, "\nversion\tmonth\tsigner\tdigest")
	for _, s := range r.SignOffs {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", versionLabel(s.Ref.Version, r.InForce), s.Month, s.Signer, s.Ref.Digest)
	}
	return errors.Annotate(t.Flush(), "print usage")
}

func versionLabel(v, inForce bundle.Version) string {
	if v == inForce {
		return v.String() + " in force"
	}
	return v.String()
}
