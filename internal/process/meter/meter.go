// Package meter collects the metrics of a VM on the platform and serves them as text.
package meter

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// sampleSize and sampleAlpha are the values that go-metrics recommends for a sample weighted
// to the last five minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Meter has the counters, gauges and histograms of one VM. It is safe for concurrent use.
type Meter struct{ registry gometrics.Registry }

// New returns a meter without metrics.
func New() *Meter { return &Meter{registry: gometrics.NewRegistry()} }

// Count adds one to a counter.
func (m *Meter) Count(name string) { m.Add(name, 1) }

// Add adds n to a counter.
func (m *Meter) Add(name string, n int64) {
	gometrics.GetOrRegisterCounter(name, m.registry).Inc(n)
}

// Gauge sets a gauge.
func (m *Meter) Gauge(name string, value int64) {
	gometrics.GetOrRegisterGauge(name, m.registry).Update(value)
}

// RecordDuration adds a duration to a histogram of milliseconds.
func (m *Meter) RecordDuration(name string, duration clock.Millis) {
	h := m.registry.GetOrRegister(name, func() gometrics.Histogram {
		return gometrics.NewHistogram(gometrics.NewExpDecaySample(sampleSize, sampleAlpha))
	})
	if h, ok := h.(gometrics.Histogram); ok {
		h.Update(int64(duration))
	}
}

// ServeHTTP writes all metrics, one per line: the name, a space and the value.
func (m *Meter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	var lines []string
	m.registry.Each(func(name string, v any) {
		switch v := v.(type) {
		case gometrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, v.Count()))
		case gometrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", name, v.Value()))
		case gometrics.Histogram:
			s := v.Snapshot()
			q := s.Percentiles([]float64{0.5, 0.9, 0.99})
			lines = append(lines, fmt.Sprintf("%s.count %d", name, s.Count()),
				fmt.Sprintf("%s.p50 %.1f", name, q[0]), fmt.Sprintf("%s.p90 %.1f", name, q[1]),
				fmt.Sprintf("%s.p99 %.1f", name, q[2]), fmt.Sprintf("%s.max %d", name, s.Max()))
		}
	})
	slices.Sort(lines)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write([]byte(strings.Join(lines, "\n") + "\n"))
}
