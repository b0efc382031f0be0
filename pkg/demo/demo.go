// Package demo runs the whole system in one process on loopback.
package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/bundlestore"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/operator"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/platform"
	"github.com/sequoiacart/sequoiacart/pkg/submit"
)

// Deps holds the dependencies and parameters of a demo.
type Deps struct {
	Out      io.Writer
	Progress io.Writer
	NewVM    VMFactory
	// LoadDuration is how long the load on each workload lasts.
	LoadDuration clock.Millis
	Seed         uint64
	// KillVM kills one entry VM halfway through the load.
	KillVM bool
}

// Demo runs workloads, each against its own set of entry VMs and endpoints.
type Demo struct {
	deps Deps
}

// New returns a demo.
func New(deps Deps) *Demo {
	return &Demo{deps: deps}
}

const (
	// demoToken is the bearer token of the demo's owner, and also the owner's id and the name of
	// the operator.
	demoToken         = "demo"
	readyPollInterval = 50 * time.Millisecond
	readyTimeout      = 8 * time.Second
	// loadPercent is the load in percent of the capacity of the endpoints.
	loadPercent = 60
	// demoInFlight is the maximum number of unfinished jobs.
	demoInFlight   = 512
	demoWait       = 5 * clock.Second
	demoJobTimeout = 12 * clock.Second
	// demoReserveBatch is the number of ids that one call reserves.
	demoReserveBatch = 5
	// demoTimeout leaves a margin below the 40 s within which the demo has to end.
	demoTimeout = 36 * clock.Second
	// The demo's jobs stay far below these limits.
	demoTasksPerJob = 1000
	demoQueuedTasks = 20000
	publishTimeout  = 5 * clock.Second
)

// Run runs the workloads one after the other and prints a table of the results, followed by the
// metrics of the scheduling decisions.
func (d *Demo) Run(ctx context.Context, workloads []Workload) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout.Duration())
	defer cancel()
	table := tabwriter.NewWriter(d.deps.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "workload\tjobs\tcomplete\tfailed, refused, unknown\ttasks started\tstarted twice\twaste / start\tp50 / ideal\tp99 / ideal")
	for _, w := range workloads {
		row, err := d.runWorkload(ctx, w)
		if err != nil {
			return errors.Annotatef(err, "run workload %s", w.Name)
		}
		_, _ = fmt.Fprintln(table, row)
	}
	if err := table.Flush(); err != nil {
		return errors.Annotate(err, "print table")
	}
	return d.printMetrics(ctx, workloads)
}

func (d *Demo) runWorkload(ctx context.Context, w Workload) (string, error) {
	c, err := newCluster(ctx, w, d.deps.NewVM)
	if err != nil {
		return "", errors.Trace(err)
	}
	defer c.close()
	d.progress("%s: %d entry VMs and %d endpoints in %v", w.Name, len(c.vms), len(c.endpoints), w.DataCentres)
	if err := waitReady(ctx, c.callerAddresses()); err != nil {
		return "", errors.Trace(err)
	}
	summary := submit.NewSummary()
	if err := d.load(ctx, w, c, summary); err != nil {
		return "", errors.Trace(err)
	}
	started := c.starts.Total()
	return fmt.Sprintf("%s\t%d\t%d\t%s\t%d\t%d\t%.4f\t%.2f\t%.2f",
		w.Name, summary.Sent(), summary.Completed(), summary.FormatUnsuccessful(), started, len(c.starts.Repeated()),
		float64(c.refused())/float64(max(started, 1)), summary.ResponseRatio(50), summary.ResponseRatio(99)), nil
}

// load submits jobs for the load duration and, if configured, kills one entry VM halfway.
func (d *Demo) load(ctx context.Context, w Workload, c *cluster, summary *submit.Summary) error {
	ctx, cancel := context.WithTimeout(ctx, d.deps.LoadDuration.Duration())
	defer cancel()
	random := rand.New(rand.NewPCG(d.deps.Seed, 1))
	interval := meanInterval(w, len(c.endpoints))
	generator := submit.NewLoadGenerator(submit.LoadGeneratorConfig{
		Client:          submit.NewClient(submit.ClientConfig{Addresses: c.callerAddresses(), Token: demoToken, Wait: demoWait}),
		Summary:         summary,
		NextJob:         func() (submit.Job, bool) { return w.Mix.Draw(random), true },
		ArrivalInterval: func() time.Duration { return time.Duration(random.ExpFloat64() * float64(interval)) },
		InFlight:        demoInFlight,
		JobTimeout:      demoJobTimeout,
		ReserveBatch:    demoReserveBatch,
	})
	if d.deps.KillVM {
		kill := time.AfterFunc(d.deps.LoadDuration.Duration()/2, func() {
			d.progress("%s: one entry VM is killed", w.Name)
			c.killLastVM()
		})
		defer kill.Stop()
	}
	stop := submit.ShowProgress(d.deps.Progress, w.Name+": ", summary)
	defer stop()
	return generator.Run(ctx)
}

func (d *Demo) progress(format string, args ...any) {
	_, _ = fmt.Fprintf(d.deps.Progress, format+"\n", args...)
}

// meanInterval returns the mean interval between jobs that gives loadPercent of the capacity.
func meanInterval(w Workload, endpoints int) time.Duration {
	totalSpeed := 0.0
	for _, percent := range slowdowns {
		totalSpeed += 100 / float64(percent)
	}
	slots := float64(endpoints*slotsPerEndpoint) * totalSpeed / float64(len(slowdowns))
	slotTime := w.Mix.MeanSlotTime().Duration()
	return time.Duration(float64(slotTime) * 100 / (slots * loadPercent))
}

func waitReady(ctx context.Context, addresses []string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, a := range addresses {
		for !isReady(ctx, a) {
			select {
			case <-ctx.Done():
				return errors.Annotatef(ctx.Err(), "wait for entry VM %s", a)
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// publishBundle publishes a bundle with one owner and returns the governance digest.
func publishBundle(ctx context.Context, platformAddress string) (bundle.Digest, error) {
	client := platform.NewClient(platform.ClientConfig{Address: platformAddress, AttemptTimeout: publishTimeout})
	defer client.Close()
	o := operator.New(operator.Deps{
		Name:  demoToken,
		Store: bundlestore.New(client.Table(), client.Objects()),
		Clock: clock.NewSystem(),
	})
	pin, _, err := o.Bootstrap(ctx, []owner.Owner{{
		ID:      demoToken,
		Share:   1,
		Tokens:  []owner.TokenDigest{owner.TokenDigest(bundle.DigestOf([]byte(demoToken)))},
		Classes: []owner.Class{{Name: "urgent", Rank: 0, Deadline: 5 * clock.Second}, {Name: "normal", Rank: 1, Deadline: 30 * clock.Second}},
		Limits:  owner.Limits{TasksPerJob: demoTasksPerJob, QueuedTasks: demoQueuedTasks},
	}})
	return pin, errors.Annotate(err, "publish demo bundle")
}
