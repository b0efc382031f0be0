package entry

import (
	"context"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/metrics"
	"github.com/sequoiacart/sequoiacart/pkg/platform"
	"github.com/sequoiacart/sequoiacart/pkg/trace"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// EndpointRunner sends tasks to endpoints.
type EndpointRunner interface {
	Run(ctx context.Context, to datacentre.Endpoint, attempt contract.AttemptID, payload []byte, deadline clock.Millis) contract.AttemptResult
}

// RecordSender sends records to a witness.
type RecordSender interface {
	Record(ctx context.Context, witness vm.VM, issuer vm.Incarnation, batch contract.BatchNumber, records []contract.Record) ([]contract.RecordStatus, error)
	HandOver(ctx context.Context, witness vm.VM, issuer vm.Incarnation, records []contract.Record, last bool) error
}

// TrafficConfig configures Traffic.
type TrafficConfig struct {
	Self       vm.Incarnation
	Endpoints  EndpointRunner
	Witnesses  RecordSender
	Heartbeats HeartbeatSender
	Rows       RowDeleter
	Loans      LoanCaller
	// PublishPeers receives new rosters and link states. It must not block.
	PublishPeers func(PeerSnapshot)
	Table        platform.Table
	// PublishBundle passes a bundle that came into force to the other traffic goroutines. It
	// must not block.
	PublishBundle func(*bundle.Bundle)
	// PeerTimeout limits one call to a peer.
	PeerTimeout clock.Millis
	// PlatformTimeout limits the write and the read of a pair row together.
	PlatformTimeout clock.Millis
	Clock           clock.Clock
	// Tracer records the queue and endpoint spans; nil disables tracing.
	Tracer *trace.Tracer
	// Metrics counts attempts; nil disables counting.
	Metrics *metrics.Metrics
}

// Traffic carries out actions, those that do I/O each on its own goroutine. The number of
// attempts is limited by the slots, the number of batches by the witnesses.
type Traffic struct {
	config TrafficConfig
	loop   *Loop
}

// NewTraffic returns a Traffic that is not yet attached to a loop.
func NewTraffic(c TrafficConfig) *Traffic {
	if c.Metrics == nil {
		c.Metrics = metrics.New(gometrics.NewRegistry())
	}
	if c.Clock == nil {
		c.Clock = clock.NewSystem()
	}
	return &Traffic{config: c}
}

// Attach sets the loop that receives the results of actions.
func (t *Traffic) Attach(l *Loop) {
	t.loop = l
}

// Execute implements Executor.
func (t *Traffic) Execute(a Action) {
	switch a := a.(type) {
	case RunAttempt:
		go t.runAttempt(a)
	case SendRecords:
		go t.sendRecords(a)
	case SendHeartbeat:
		go t.sendHeartbeat(a)
	case DeleteRow:
		go t.deleteRow(a)
	case RequestLoan:
		go t.requestLoan(a)
	case ReturnLoans:
		go t.returnLoans(a)
	case PublishPeers:
		t.config.PublishPeers(a.Peers)
	case SendHandOver:
		go t.sendHandOver(a)
	case WritePairRow:
		go t.writePairRow(a)
	case PublishBundle:
		if t.config.PublishBundle != nil {
			t.config.PublishBundle(a.Bundle)
		}
	}
}

func (t *Traffic) runAttempt(a RunAttempt) {
	ctx, cancel := context.WithTimeout(trace.WithParent(context.Background(), a.Trace), a.Timeout.Duration())
	defer cancel()
	result := t.observeAttempt(ctx, a)
	t.loop.Post(context.Background(), AttemptEnded{Attempt: a.Attempt, Start: a.Start, Result: result})
}

// observeAttempt runs an attempt and records its spans and metrics.
func (t *Traffic) observeAttempt(ctx context.Context, a RunAttempt) contract.AttemptResult {
	id := a.Attempt.Submission
	began := t.config.Clock.Now()
	t.config.Tracer.Record(ctx, trace.QueueHop, id, a.Accepted, began)
	ctx, span := t.config.Tracer.Start(ctx, trace.EndpointHop, id)
	defer span.End()
	result := t.config.Endpoints.Run(ctx, a.Endpoint, a.Attempt, a.Payload, a.Timeout)
	t.config.Metrics.AttemptEnded(result, began-a.Accepted, t.config.Clock.Now()-began)
	return result
}

func (t *Traffic) sendRecords(a SendRecords) {
	ctx, cancel := context.WithTimeout(context.Background(), t.config.PeerTimeout.Duration())
	defer cancel()
	statuses, err := t.config.Witnesses.Record(ctx, a.Witness, t.config.Self, a.Batch, a.Records)
	if err != nil {
		statuses = nil
	}
	t.loop.Post(context.Background(), RecordsAnswered{Witness: a.Witness.Incarnation, Batch: a.Batch, Statuses: statuses})
}

func (t *Traffic) sendHandOver(a SendHandOver) {
	ctx, cancel := context.WithTimeout(context.Background(), t.config.PeerTimeout.Duration())
	defer cancel()
	err := t.config.Witnesses.HandOver(ctx, a.Witness, t.config.Self, a.Records, a.Last)
	t.loop.Post(context.Background(), HandOverAnswered{Witness: a.Witness.Incarnation, Accepted: err == nil})
}

func (t *Traffic) writePairRow(a WritePairRow) {
	ctx, cancel := context.WithTimeout(context.Background(), t.config.PlatformTimeout.Duration())
	defer cancel()
	row := decidePairRow(ctx, t.config.Table, a.Pair, a.Row)
	t.loop.Post(context.Background(), PairRowDecided{Pair: a.Pair, Row: row})
}
