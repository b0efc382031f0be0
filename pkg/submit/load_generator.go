package submit

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// LoadGeneratorConfig holds what a load is made of.
type LoadGeneratorConfig struct {
	Client  *Client
	Summary *Summary
	// NextJob returns the next job, false at the end.
	NextJob func() (Job, bool)
	// ArrivalInterval returns the span before the next job; nil sends without pauses.
	ArrivalInterval func() time.Duration
	// InFlight bounds the jobs that have not ended.
	InFlight int
	// JobTimeout bounds how long one job is followed.
	JobTimeout clock.Millis
	// ReserveBatch is the number of ids reserved with one call.
	ReserveBatch int
}

// LoadGenerator sends jobs.
type LoadGenerator struct {
	config LoadGeneratorConfig
	turn   int
	ids    []string
}

// NewLoadGenerator returns a load that has sent nothing.
func NewLoadGenerator(c LoadGeneratorConfig) *LoadGenerator {
	return &LoadGenerator{config: c}
}

// Run sends jobs until there are no more or the context ends, and waits for those in
// flight.
func (l *LoadGenerator) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	room := make(chan struct{}, l.config.InFlight)
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
		if !l.enter(ctx, room) {
			return nil
		}
		turn := l.turn
		wg.Go(func() {
			defer func() { <-room }()
			l.send(ctx, turn, id, j)
		})
	}
	return nil
}

func (l *LoadGenerator) enter(ctx context.Context, room chan struct{}) bool {
	if l.config.ArrivalInterval != nil {
		select {
		case <-time.After(l.config.ArrivalInterval()):
		case <-ctx.Done():
			return false
		}
	}
	select {
	case room <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (l *LoadGenerator) send(ctx context.Context, turn int, id string, j Job) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.config.JobTimeout.Duration())
	defer cancel()
	began := time.Now()
	reply, repeats, err := l.config.Client.SubmitAndWait(ctx, turn, id, j)
	if err != nil {
		reply = nil
	}
	l.config.Summary.Add(j, reply, repeats, clock.FromDuration(time.Since(began)))
}

// nextID takes a reserved id. Each reservation goes to the next entry VM, and so do the
// jobs under its ids, which spares the hop to the issuer.
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
		l.turn++
		l.ids, err = l.config.Client.Reserve(ctx, l.turn, l.config.ReserveBatch)
		if err == nil {
			return nil
		}
	}
	return errors.Annotate(err, "reserve ids at every entry VM")
}
