// Package metrics defines the counters, gauges and histograms of the daemon. The registry
// is passed in, so that two daemons in one process do not share metrics.
package metrics

import (
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
)

// UnusableReason is the reason why an endpoint's answer could not be used.
type UnusableReason string

// Reasons for an unusable answer.
const (
	Misrouted        UnusableReason = "misrouted"
	Truncated        UnusableReason = "truncated"
	TooLarge         UnusableReason = "tooLarge"
	UnexpectedStatus UnusableReason = "unexpectedStatus"
	Late             UnusableReason = "late"
	Broken           UnusableReason = "broken"
)

// sampleSize and sampleAlpha are the values that go-metrics recommends: 99.9 % confidence
// with a margin of error of 5 %, weighted towards the last five minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Metrics writes to a registry. It is safe for concurrent use.
type Metrics struct {
	registry gometrics.Registry
	starts   gometrics.Counter
	requeues gometrics.Counter
	wait     gometrics.Histogram
	run      gometrics.Histogram
}

// New returns metrics that write to the registry.
func New(r gometrics.Registry) *Metrics {
	return &Metrics{
		registry: r,
		starts:   gometrics.GetOrRegisterCounter("starts", r),
		requeues: gometrics.GetOrRegisterCounter("requeues", r),
		wait:     gometrics.GetOrRegisterHistogram("waitMs", r, gometrics.NewExpDecaySample(sampleSize, sampleAlpha)),
		run:      gometrics.GetOrRegisterHistogram("runMs", r, gometrics.NewExpDecaySample(sampleSize, sampleAlpha)),
	}
}

// Registry returns the registry that the metrics are written to.
func (m *Metrics) Registry() gometrics.Registry { return m.registry }

// RequestAnswered counts a caller's request by the state or problem type of its answer.
func (m *Metrics) RequestAnswered(answer string) { m.count("requests." + answer) }

// AttemptEnded counts an attempt by its result, and records how long the task waited and how
// long the attempt took. A result that proves that the endpoint did not start the task counts
// as a requeue; every other result counts as a start.
func (m *Metrics) AttemptEnded(result contract.AttemptResult, wait, run clock.Millis) {
	if r, ok := result.(contract.NotStarted); ok {
		m.count("attempts.notStarted." + r.Cause.String())
		m.requeues.Inc(1)
		return
	}
	m.starts.Inc(1)
	m.wait.Update(int64(wait))
	switch result.(type) {
	case contract.Succeeded:
		m.count("attempts.succeeded")
		m.run.Update(int64(run))
	case contract.RanAndFailed:
		m.count("attempts.ranAndFailed")
		m.run.Update(int64(run))
	case contract.Ambiguous:
		m.count("attempts.ambiguous")
	}
}

// UnusableAnswer counts an endpoint's answer that could not be used.
func (m *Metrics) UnusableAnswer(u UnusableReason) { m.count("unusableAnswers." + string(u)) }

// PeerCalled counts a call to a peer and whether it failed.
func (m *Metrics) PeerCalled(method string, err error) {
	m.count("peerCalls." + method)
	if err != nil {
		m.count("peerFailures." + method)
	}
}

// RegisterMailboxLength registers a gauge of the number of events in the mailbox.
func (m *Metrics) RegisterMailboxLength(length func() int) { m.gauge("mailboxLength", length) }

// RegisterQueueLength registers a gauge of the number of waiting tasks.
func (m *Metrics) RegisterQueueLength(length func() int) { m.gauge("queueLength", length) }

// RegisterStrayAnswers registers a gauge of the number of results that arrived for attempts
// that were not running.
func (m *Metrics) RegisterStrayAnswers(count func() int) { m.gauge("strayAnswers", count) }

func (m *Metrics) gauge(name string, value func() int) {
	_ = m.registry.Register(name, gometrics.NewFunctionalGauge(func() int64 { return int64(value()) }))
}

func (m *Metrics) count(name string) {
	gometrics.GetOrRegisterCounter(name, m.registry).Inc(1)
}
