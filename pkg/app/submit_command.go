package app

import (
	"context"
	"flag"
	"io"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/submit"
)

// reserveBatch is the number of ids that one call reserves.
const reserveBatch = 10

type submitFlags struct {
	addresses    string
	token        string
	file         string
	workload     string
	jobs         int
	rate         float64
	inFlight     int
	seed         uint64
	waitMs       int64
	jobTimeoutMs int64
}

func newSubmitCommand(stdout, stderr io.Writer) *ffcli.Command {
	var f submitFlags
	flags := flag.NewFlagSet("submit", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.StringVar(&f.addresses, "addresses", "127.0.0.1:7000", "entry VMs, host:port, separated by commas")
	flags.StringVar(&f.token, "token", "", "bearer token of the owner")
	flags.StringVar(&f.file, "file", "", "job file, one JSON object per line; if empty, jobs are generated")
	flags.StringVar(&f.workload, "workload", "consorcio", "generated jobs: consorcio or trust")
	flags.IntVar(&f.jobs, "jobs", 100, "number of generated jobs")
	flags.Float64Var(&f.rate, "rate", 0, "jobs per second, at random intervals; 0 sends as fast as --in-flight allows")
	flags.IntVar(&f.inFlight, "in-flight", 64, "maximum number of unfinished jobs")
	flags.Uint64Var(&f.seed, "seed", 1, "seed of the generated jobs")
	flags.Int64Var(&f.waitMs, "wait-ms", 10_000, "how long one call waits for a job to finish, in milliseconds")
	flags.Int64Var(&f.jobTimeoutMs, "give-up-ms", 60_000, "how long to retry and wait for one job, in milliseconds")
	return &ffcli.Command{
		Name:       "submit",
		ShortUsage: "sequoiacart submit --token TOKEN [flags]",
		ShortHelp:  "Submits jobs, retries calls whose outcome is not known, and prints the outcomes.",
		LongHelp: "Example:\n  sequoiacart submit --addresses 127.0.0.1:7000,127.0.0.1:7010 --token TOKEN --workload trust --jobs 500 --rate 50\n" +
			"Exits with 1 if the outcome of a job is not known.",
		FlagSet: flags,
		Options: []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			return runSubmit(ctx, stdout, stderr, f)
		},
	}
}

func runSubmit(ctx context.Context, stdout, stderr io.Writer, f submitFlags) error {
	next, err := jobSource(f)
	if err != nil {
		return errors.Trace(err)
	}
	summary := submit.NewSummary()
	generator := submit.NewLoadGenerator(submit.LoadGeneratorConfig{
		Client: submit.NewClient(submit.ClientConfig{
			Addresses: strings.Split(f.addresses, ","),
			Token:     f.token,
			Wait:      clock.Millis(f.waitMs),
		}),
		Summary:         summary,
		NextJob:         next,
		ArrivalInterval: randomIntervals(f.rate, f.seed),
		InFlight:        f.inFlight,
		JobTimeout:      clock.Millis(f.jobTimeoutMs),
		ReserveBatch:    reserveBatch,
	})
	stop := submit.ShowProgress(stderr, "", summary)
	err = generator.Run(ctx)
	stop()
	if printErr := summary.Print(stdout); printErr != nil {
		return errors.Trace(printErr)
	}
	if err == nil && summary.Unresolved() > 0 {
		err = errors.Errorf("the outcome of %d jobs is not known", summary.Unresolved())
	}
	return errors.Annotate(err, "submit jobs")
}

func jobSource(f submitFlags) (func() (submit.Job, bool), error) {
	if f.file != "" {
		return fileSource(f.file)
	}
	mix, ok := parseMix(f.workload)
	if !ok {
		return nil, errors.NotValidf("choose workload: use consorcio or trust: workload %q", f.workload)
	}
	r := newRand(f.seed)
	left := f.jobs
	return func() (submit.Job, bool) {
		left--
		return mix.Draw(r), left >= 0
	}, nil
}

func fileSource(path string) (func() (submit.Job, bool), error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Annotate(err, "open job file")
	}
	defer func() { _ = file.Close() }()
	jobs, err := submit.ReadJobs(file)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return func() (submit.Job, bool) {
		if len(jobs) == 0 {
			return submit.Job{}, false
		}
		j := jobs[0]
		jobs = jobs[1:]
		return j, true
	}, nil
}

func parseMix(name string) (submit.Mix, bool) {
	switch name {
	case "consorcio":
		return submit.ConsorcioMix(), true
	case "trust":
		return submit.TrustMix(), true
	}
	return nil, false
}

// randomIntervals returns exponentially distributed intervals for a Poisson arrival process.
func randomIntervals(rate float64, seed uint64) func() time.Duration {
	if rate <= 0 {
		return nil
	}
	r := newRand(seed + 1)
	return func() time.Duration {
		return time.Duration(r.ExpFloat64() / rate * float64(time.Second))
	}
}

func newRand(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, seed))
}
