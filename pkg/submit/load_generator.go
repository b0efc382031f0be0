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
func (l *LoadGenerator) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	inFlight := make(chan struct{}, l.config.InFlight)
	for ctx.Err() == nil {
		j, ok := l.config.NextJob()
		if !ok {
			return nil
		}
		id, err := l.nextID(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Trace(err)
		}
		if !l.awaitTurn(ctx, inFlight) {
			return nil
		}
		vmIndex := l.vmIndex
		wg.Go(func() {
			defer func() { <-inFlight }()
			l.submit(ctx, vmIndex, id, j)
		})
	}
	return nil
}

// awaitTurn waits for the arrival of the next job and until fewer than InFlight jobs are in flight.
// It returns false if the context ends first.
func (l *LoadGenerator) awaitTurn(ctx context.Context, inFlight chan struct{}) bool {
	if l.config.ArrivalInterval != nil {
		select {
		case <-time.After(l.config.ArrivalInterval()):
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

func (l *LoadGenerator) submit(ctx context.Context, vmIndex int, id string, j Job) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.config.JobTimeout.Duration())
	defer cancel()
	start := time.Now()
	reply, retries, err := l.config.Client.SubmitAndWait(ctx, vmIndex, id, j)
	if err != nil {
		reply = nil
	}
	l.config.Summary.Add(j, reply, retries, clock.FromDuration(time.Since(start)))
}

// nextID returns a reserved id. Each reservation goes to the next entry VM, and so do the jobs
// with its ids, which avoids the hop to the issuer.
func (l *LoadGenerator) nextID(ctx context.Context) (string, error) {
	if len(l.ids) == 0 {
		if err := l.reserve(ctx); err != nil {
			return "", errors.Trace(err)
		}
	}
	id := l.ids[0]
	l.ids = l.ids[1:]
	return id, nil
}

func (l *LoadGenerator) reserve(ctx context.Context) error {
	var err error
	for range len(l.config.Client.config.Addresses) {
		l.vmIndex++
		l.ids, err = l.config.Client.Reserve(ctx, l.vmIndex, l.config.ReserveBatch)
		if err == nil {
			return nil
		}
	}
	return errors.Annotate(err, "reserve ids at every entry VM")
}
