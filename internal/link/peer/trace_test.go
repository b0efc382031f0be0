package peer

import (
	"context"
	"net"
	"strings"
	"testing"

	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/sequoiacart/sequoiacart/internal/control/node"
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/trace"
)

// fakeLeader is a leader that completes each submission at once and records the last one.
type fakeLeader struct{ last job.Submission }

func (l *fakeLeader) Post(e node.Event) bool {
	if s, ok := e.(node.PeerSubmitted); ok {
		l.last = s.Submission
		s.Ended <- job.Completed{}
	}
	return true
}

func (l *fakeLeader) Desired() *queue.State                   { return nil }
func (l *fakeLeader) Endpoints() ([]endpoint.Endpoint, int64) { return nil, 0 }

func newTracer(t *testing.T, spans *tracetest.InMemoryExporter) *trace.Tracer {
	t.Helper()
	tracer, err := trace.New(trace.Config{Exporter: trace.Synchronous{Exporter: spans}, Self: "vm-1"})
	if err != nil {
		t.Fatal(err)
	}
	return tracer
}

// Guards against a trace that ends where a job leaves the VM that accepted it.
func TestSubmissionsJoinTheTrace(t *testing.T) {
	const parent contract.TraceParent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	for _, traced := range []bool{true, false} {
		spans := tracetest.NewInMemoryExporter()
		var tracer *trace.Tracer
		if traced {
			tracer = newTracer(t, spans)
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		fake := &fakeLeader{}
		server, err := NewServer(ServerConfig{Listener: listener, Local: fake, SubmitTimeout: clock.Second, ControlTimeout: clock.Second, Tracer: tracer})
		if err != nil {
			t.Fatal(err)
		}
		served := make(chan error, 1)
		go func() { served <- server.Serve() }()
		client := NewClient(ClientConfig{Dialer: &net.Dialer{}, Timeout: clock.Second, Tracer: tracer})
		s := job.Submission{Key: job.Key{Entry: "vm-2", Seq: 1}, Job: job.Job{ID: "0123456789abcdef", Steps: []job.Step{{Tasks: 1}}, Trace: parent}}
		if o := client.Submit(shard.Member{Incarnation: "vm-1", Address: listener.Addr().String()}, "centro", s, clock.Second); o != (job.Completed{}) {
			t.Fatalf("got %T, want the job completed", o)
		}
		if got, want := len(spans.GetSpans()), map[bool]int{true: 2, false: 0}[traced]; got != want {
			t.Errorf("traced %v: got %d spans, want %d", traced, got, want)
		}
		client.Close()
		server.Close()
		if err := <-served; err != nil {
			t.Error(err)
		}
		if err := tracer.Shutdown(context.Background()); err != nil {
			t.Error(err)
		}
		if got, want := string(fake.last.Job.Trace), "00-0af7651916cd43dd8448eb211c80319c-"; !strings.HasPrefix(got, want) {
			t.Errorf("traced %v: got trace %q at the leader, want one that begins with %q", traced, got, want)
		}
		if traced == (fake.last.Job.Trace == parent) {
			t.Errorf("traced %v: got trace %q at the leader, want a span of its own only with a tracer", traced, fake.last.Job.Trace)
		}
	}
}
