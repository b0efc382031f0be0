package app

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/submit"
)

func newSubmitCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("submit", flag.ContinueOnError)
	flags.SetOutput(stderr)
	addresses := flags.String("addresses", "127.0.0.1:7000", "entry VMs, host:port, separated by commas")
	token := flags.String("token", "", "bearer token of the owner")
	jobs := flags.Int("jobs", 10, "number of jobs to send")
	tasks := flags.Int("tasks", 4, "tasks for each job")
	runMs := flags.Int("run-ms", 50, "run time of each task, in milliseconds")
	return &ffcli.Command{
		Name:       "submit",
		ShortUsage: "sequoiacart submit --token TOKEN --jobs 100 --tasks 8",
		ShortHelp:  "Sends generated jobs and prints how they ended.",
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			c := submit.NewClient(submit.ClientConfig{
				Addresses: strings.Split(*addresses, ","),
				Token:     *token,
				Wait:      clock.Minute,
			})
			return sendJobs(ctx, stdout, c, *jobs, *tasks, *runMs)
		},
	}
}

func sendJobs(ctx context.Context, stdout io.Writer, c *submit.Client, jobs, tasks, runMs int) error {
	ids, err := c.Reserve(ctx, 0, jobs)
	if err != nil {
		return errors.Trace(err)
	}
	payloads := make([]string, tasks)
	for i := range payloads {
		payloads[i] = fmt.Sprintf(`{"runMs":%d}`, runMs)
	}
	var mu sync.Mutex
	ends := make(map[submit.Status]int)
	began := time.Now()
	var wg sync.WaitGroup
	for i, id := range ids {
		wg.Go(func() {
			status, _, err := c.Put(ctx, i, id, submit.Job{Kind: "sleep", Payloads: payloads})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				status = 0
			}
			ends[status]++
		})
	}
	wg.Wait()
	_, err = fmt.Fprintf(stdout, "%d jobs of %d tasks in %v; answers by status: %v\n", jobs, tasks, time.Since(began).Round(time.Millisecond), ends)
	return err
}
