package trace

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/contract"
)

// Guards against spans that are never exported, and against tracing that is enabled without
// being configured.
func TestExporters(t *testing.T) {
	var posts atomic.Int32
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && r.URL.Path == "/v1/traces" {
			posts.Add(1)
		}
	}))
	defer collector.Close()
	var out strings.Builder
	cases := map[string]struct {
		exporter  Exporter
		wantPosts int32
		wantOut   string
	}{
		"none":     {None{}, 0, ""},
		"stdout":   {Stdout{Writer: &out}, 0, `"Name":"caller"`},
		"otlphttp": {OTLP{Address: collector.Listener.Addr().String()}, 1, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			out.Reset()
			posts.Store(0)
			tracer, err := New(Config{Exporter: c.exporter, Self: "a-1"})
			if err != nil {
				t.Fatal(err)
			}
			_, span := tracer.Start(t.Context(), CallerHop, contract.SubmissionID{})
			span.End()
			if err := tracer.Shutdown(t.Context()); err != nil {
				t.Errorf("got %v, want a clean end", err)
			}
			if got := posts.Load(); got != c.wantPosts {
				t.Errorf("got %d posts at the collector, want %d", got, c.wantPosts)
			}
			if got := out.String(); (c.wantOut == "") != (got == "") || !strings.Contains(got, c.wantOut) {
				t.Errorf("got output %q, want %q in it", got, c.wantOut)
			}
		})
	}
}

// Guards against a trace that ends at a VM without an exporter, and against a malformed
// traceparent that is propagated.
func TestTraceparentPassesThrough(t *testing.T) {
	const valid = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	for name, c := range map[string]struct{ given, want contract.TraceParent }{
		"valid":     {valid, valid},
		"absent":    {"", ""},
		"malformed": {"00-zz-1-01", ""},
		"too long":  {valid + "-" + contract.TraceParent(strings.Repeat("x", 1000)), ""},
		"all zeros": {"00-00000000000000000000000000000000-b7ad6b7169203331-01", ""},
	} {
		t.Run(name, func(t *testing.T) {
			var tracer *Tracer
			ctx, span := tracer.Start(WithParent(context.Background(), c.given), PeerHop, contract.SubmissionID{})
			defer span.End()
			if got := ParentOf(ctx); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}
