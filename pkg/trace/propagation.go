package trace

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/propagation"
	oteltrace "go.opentelemetry.io/otel/trace"

	"github.com/sequoiacart/sequoiacart/pkg/contract"
)

const parentHeader = "traceparent"

// ParentOf returns the W3C traceparent of the span in the context, or an empty one if the
// context has no span.
func ParentOf(ctx context.Context) contract.TraceParent {
	if !oteltrace.SpanContextFromContext(ctx).IsValid() {
		return ""
	}
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return contract.TraceParent(carrier.Get(parentHeader))
}

// WithParent returns a context whose next span joins the trace. A malformed traceparent
// is ignored, as W3C Trace Context requires.
func WithParent(ctx context.Context, p contract.TraceParent) context.Context {
	if p == "" {
		return ctx
	}
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{parentHeader: string(p)})
}

// Inject writes the traceparent of the context's span into the headers.
func Inject(ctx context.Context, h http.Header) {
	if p := ParentOf(ctx); p != "" {
		h.Set(parentHeader, string(p))
	}
}

// FromHeader returns the traceparent of the headers.
func FromHeader(h http.Header) contract.TraceParent {
	return contract.TraceParent(h.Get(parentHeader))
}
