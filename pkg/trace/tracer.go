// Package trace records a span for each hop of a submission and propagates the trace between
// processes with W3C traceparent.
package trace

import (
	"context"
	"io"
	"time"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// Hop is the stage of a submission that a span covers.
type Hop string

// Hops of a submission.
const (
	// CallerHop covers a caller's request, PeerHop a call to a peer, ServedHop the handling
	// of that call at the peer, QueueHop the time that a task waits in the queue, EndpointHop
	// an attempt at an endpoint.
	CallerHop   Hop = "caller"
	PeerHop     Hop = "peer"
	ServedHop   Hop = "served"
	QueueHop    Hop = "queue"
	EndpointHop Hop = "endpoint"
)

// Exporter is the destination of spans: None, Stdout, OTLP or Synchronous.
type Exporter interface{ isExporter() }

// None records no spans; traceparents are still propagated.
type None struct{}

// Stdout writes spans as JSON.
type Stdout struct{ Writer io.Writer }

// OTLP sends spans over HTTP to a collector at host:port.
type OTLP struct{ Address string }

// Synchronous passes each span to an exporter of the SDK as soon as it ends, for tests.
type Synchronous struct{ Exporter sdk.SpanExporter }

func (None) isExporter()        {}
func (Stdout) isExporter()      {}
func (OTLP) isExporter()        {}
func (Synchronous) isExporter() {}

// Config configures a Tracer.
type Config struct {
	Exporter Exporter
	Self     vm.Incarnation
}

// Tracer records spans. A nil tracer records none.
type Tracer struct {
	provider *sdk.TracerProvider
	tracer   oteltrace.Tracer
}

// New returns a tracer. The exporter sends in the background and drops spans that it
// cannot send, so tracing never delays a task.
func New(c Config) (*Tracer, error) {
	option, err := exporterOption(c.Exporter)
	if err != nil {
		return nil, errors.Annotate(err, "start trace exporter")
	}
	if option == nil {
		return nil, nil
	}
	r := resource.NewSchemaless(attribute.String("service.name", "sequoiacart"), attribute.String("service.instance.id", string(c.Self)))
	p := sdk.NewTracerProvider(option, sdk.WithResource(r))
	return &Tracer{provider: p, tracer: p.Tracer("sequoiacart")}, nil
}

func exporterOption(e Exporter) (sdk.TracerProviderOption, error) {
	switch e := e.(type) {
	case Stdout:
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(e.Writer))
		return sdk.WithBatcher(exporter), err
	case OTLP:
		exporter, err := otlptracehttp.New(context.Background(), otlptracehttp.WithEndpoint(e.Address), otlptracehttp.WithInsecure())
		return sdk.WithBatcher(exporter), err
	case Synchronous:
		return sdk.WithSyncer(e.Exporter), nil
	default:
		return nil, nil
	}
}

// Subject identifies the submission or job of a span.
type Subject interface{ String() string }

// Start begins the span of a hop. The returned context holds the span; Span.End ends it.
func (t *Tracer) Start(ctx context.Context, hop Hop, id Subject) (context.Context, Span) {
	if t == nil {
		return ctx, Span{}
	}
	ctx, span := t.tracer.Start(ctx, string(hop), oteltrace.WithSpanKind(spanKind(hop)), oteltrace.WithAttributes(attribute.String("submission", id.String())))
	return ctx, Span{span: span}
}

// Record adds the span of a hop that has already ended.
func (t *Tracer) Record(ctx context.Context, hop Hop, id contract.SubmissionID, started, ended clock.Millis) {
	if t == nil {
		return
	}
	_, span := t.tracer.Start(ctx, string(hop), oteltrace.WithSpanKind(spanKind(hop)),
		oteltrace.WithAttributes(attribute.String("submission", id.String())), oteltrace.WithTimestamp(time.UnixMilli(int64(started))))
	span.End(oteltrace.WithTimestamp(time.UnixMilli(int64(ended))))
}

// Shutdown exports the pending spans and stops the exporter.
func (t *Tracer) Shutdown(ctx context.Context) error {
	if t == nil {
		return nil
	}
	return errors.Annotate(t.provider.Shutdown(ctx), "stop trace exporter")
}

func spanKind(h Hop) oteltrace.SpanKind {
	switch h {
	case CallerHop, ServedHop:
		return oteltrace.SpanKindServer
	case PeerHop, EndpointHop:
		return oteltrace.SpanKindClient
	default:
		return oteltrace.SpanKindInternal
	}
}
