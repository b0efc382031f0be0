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
	"github.com/sequoiacart/sequoiacart/pkg/caller"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

const (
	usageTimeout = 5 * clock.Second
	// usageBytes bounds the answer: 120 owners at 16 VMs make about 300 KB.
	usageBytes = 4 << 20
)

func newUsageCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("usage", flag.ContinueOnError)
	flags.SetOutput(stderr)
	address := flags.String("address", "127.0.0.1:7000", "host:port of an entry VM")
	token := flags.String("token", "", "bearer token of any owner")
	return &ffcli.Command{
		Name:       "usage",
		ShortUsage: "sequoiacart usage --token TOKEN [flags]",
		ShortHelp:  "Prints what each owner has had of the entry VMs of a data centre.",
		LongHelp:   "Example:\n  sequoiacart usage --address 127.0.0.1:7000 --token TOKEN",
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			report, err := fetchUsage(ctx, *address, *token)
			if err != nil {
				return errors.Trace(err)
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
	body, err := io.ReadAll(io.LimitReader(response.Body, usageBytes))
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
	_, _ = fmt.Fprintln(t, "\nentry VM\tage of figures (ms)")
	for _, v := range r.VMs {
		_, _ = fmt.Fprintf(t, "%s\t%d\n", v.VM, v.Age)
	}
	return errors.Annotate(t.Flush(), "print usage")
}
