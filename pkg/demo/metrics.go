package demo

import (
	"context"
	"fmt"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/measure"
)

// printMetrics prints the metrics of the scheduling decisions at the full size of each
// workload, beside those of both baselines. It stops waiting when the context ends.
func (d *Demo) printMetrics(ctx context.Context, workloads []Workload) error {
	d.progress("measuring the decisions at full size against the baselines, with simulated time")
	reports := make([]chan measure.Report, len(workloads))
	for i, w := range workloads {
		reports[i] = make(chan measure.Report, 1)
		go func() { reports[i] <- measure.Run(measure.Config{Workload: w.FullSize, Seeds: []uint64{d.deps.Seed}}) }()
	}
	for i, w := range workloads {
		select {
		case r := <-reports[i]:
			_, _ = fmt.Fprintln(d.deps.Out)
			if err := r.Print(d.deps.Out); err != nil {
				return errors.Annotate(err, "print metrics")
			}
		case <-ctx.Done():
			_, _ = fmt.Fprintf(d.deps.Out, "\n%s: metrics not computed within the demo's time limit; see docs/measurements.md\n", w.Name)
		}
	}
	return nil
}
