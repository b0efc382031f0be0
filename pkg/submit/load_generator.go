package submit

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// LoadGeneratorConfig configures a load generator.
type LoadGeneratorConfig struct {
	Client  *Client
	Summary *Summary
	// NextJob returns the next job, or false if there are no more.
	NextJob func() (Job, bool)
	// ArrivalInterval returns the interval before the next job. If nil, jobs are sent without
	// pauses.
	ArrivalInterval func() time.Duration
	// InFlight limits the number of unfinished jobs.
	InFlight int
	// JobTimeout limits how long the generator retries and waits for one job.
	JobTimeout clock.Millis
	// ReserveBatch is the number of ids that one call reserves.
	ReserveBatch int
}

// LoadGenerator submits a stream of jobs to entry VMs.
type LoadGenerator struct {
	config  LoadGeneratorConfig
	vmIndex int
	ids     []string
}

// NewLoadGenerator returns a load generator; Run starts it.
func NewLoadGenerator(c LoadGeneratorConfig) *LoadGenerator {
	return &LoadGenerator{config: c}
}

// Run submits jobs until there are no more or the context ends, and waits for the jobs in
// flight.
func (g *LoadGenerator) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	inFlight := make(chan struct{}, g.config.InFlight)
	for ctx.Err() == nil {
		j, ok := g.config.NextJob()
		if !ok {
			return nil
		}
		id, err := g.nextID(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Trace(err)
		}
		if !g.awaitTurn(ctx, inFlight) {
			return nil
		}
		vmIndex := g.vmIndex
		wg.Go(func() {
			defer func() { <-inFlight }()
			g.submit(ctx, vmIndex, id, j)
		})
	}
	return nil
}

// awaitTurn waits for the arrival of the next job and until fewer than InFlight jobs are in flight.
// It returns false if the context ends first.
func (g *LoadGenerator) awaitTurn(ctx context.Context, inFlight chan struct{}) bool {
	if g.config.ArrivalInterval != nil {
		select {
		case <-time.After(g.config.ArrivalInterval()):
		case <-ctx.Done():
			return false
		}
	}
	select {
	case inFlight <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (g *LoadGenerator) submit(ctx context.Context, vmIndex int, id string, j Job) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), g.config.JobTimeout.Duration())
	defer cancel()
	start := time.Now()
	reply, retries, err := g.config.Client.SubmitAndWait(ctx, vmIndex, id, j)
	if err != nil {
		reply = nil
	}
	g.config.Summary.Add(j, reply, retries, clock.FromDuration(time.Since(start)))
}

// nextID returns a reserved id. Each reservation goes to the next entry VM, and so do the jobs
// with its ids, which avoids the hop to the issuer.
func (g *LoadGenerator) nextID(ctx context.Context) (string, error) {
	if len(g.ids) == 0 {
		if err := g.reserve(ctx); err != nil {
			return "", errors.Trace(err)
		}
	}
	id := g.ids[0]
	g.ids = g.ids[1:]
	return id, nil
}

func (g *LoadGenerator) reserve(ctx context.Context) error {
	var err error
	for range len(g.config.Client.config.Addresses) {
		g.vmIndex++
		g.ids, err = g.config.Client.Reserve(ctx, g.vmIndex, g.config.ReserveBatch)
		if err == nil {
			return nil
		}
	}
	return errors.Annotate(err, "reserve ids at every entry VM")
}
