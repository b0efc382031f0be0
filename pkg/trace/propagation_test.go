package trace_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	gometrics "github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	oteltrace "go.opentelemetry.io/otel/trace"

	"github.com/sequoiacart/sequoiacart/pkg/caller"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
	"github.com/sequoiacart/sequoiacart/pkg/endpoint"
	"github.com/sequoiacart/sequoiacart/pkg/entry"
	"github.com/sequoiacart/sequoiacart/pkg/metrics"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/peer"
	"github.com/sequoiacart/sequoiacart/pkg/trace"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

const callerParent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"

// entryVM is an entry VM on loopback without a platform.
type entryVM struct {
	vm       vm.VM
	loop     *entry.Loop
	router   *entry.Router
	registry gometrics.Registry
	tracer   *trace.Tracer
}

func startVM(t *testing.T, name vm.Incarnation, exporter trace.Exporter) *entryVM {
	t.Helper()
	tracer, err := trace.New(trace.Config{Exporter: exporter, Self: name})
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	registry := gometrics.NewRegistry()
	m := metrics.New(registry)
	v := &entryVM{registry: registry, tracer: tracer, vm: vm.VM{Incarnation: name, DataCentre: "centro", PeerAddress: listener.Addr().String(), Size: 1}}
	peers := peer.NewClient(peer.ClientConfig{Dialer: &net.Dialer{}, Tracer: tracer, Metrics: m})
	traffic := entry.NewTraffic(entry.TrafficConfig{
		Self: name, Witnesses: peers, PeerTimeout: 5 * clock.Second, Clock: clock.NewSystem(), Tracer: tracer, Metrics: m,
		Endpoints: endpoint.NewClient(endpoint.ClientConfig{MaxConnections: 8, MaxResultBytes: 1024, DialTimeout: clock.Second, Metrics: m}),
	})
	control := entry.NewControl(entry.ControlConfig{
		DataCentre: "centro", Self: name, Key: []byte("key"), Dispatch: dispatch.Config{MaxQueuedTasks: 10}, AttemptTimeout: 5 * clock.Second,
	})
	v.loop = entry.NewLoop(entry.LoopConfig{Control: control, Clock: clock.NewSystem(), Executor: traffic, Mailbox: 16, TickInterval: clock.Minute})
	traffic.Attach(v.loop)
	v.router = entry.NewRouter(entry.RouterConfig{Self: name, Loop: v.loop, Peers: peers, PeerTimeout: 5 * clock.Second})
	server, err := peer.NewServer(peer.ServerConfig{Listener: listener, Handler: v.router, Tracer: tracer})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = v.loop.Run(ctx) }()
	go func() { _ = server.Serve() }()
	t.Cleanup(func() { peers.Close(); server.Close(); cancel() })
	return v
}

type anyOwner struct{}

func (anyOwner) OwnerOf(string) (owner.Owner, bool) { return testOwner, true }
func (anyOwner) BundleInForce() bool                { return true }
func (anyOwner) ShuttingDown() bool                 { return false }

var testOwner = owner.Owner{ID: "pantallas", Classes: []owner.Class{{Name: "urgent", Deadline: clock.Minute}}}

// Guards against hops that are missing from a trace or start a new one. A job of two tasks
// is submitted at the first VM and runs at the second, which issued its id.
func TestOneJobThroughTwoVMsIsOneTrace(t *testing.T) {
	spans := tracetest.NewInMemoryExporter()
	first, second := startVM(t, "first-1", trace.Synchronous{Exporter: spans}), startVM(t, "second-1", trace.Synchronous{Exporter: spans})
	parents := make(chan string, 2)
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		parents <- r.Header.Get("traceparent")
		w.Header().Set(endpoint.AttemptHeader, r.Header.Get(endpoint.AttemptHeader))
	}))
	defer worker.Close()
	second.loop.Post(t.Context(), entry.OwnersChanged{Owners: []owner.Owner{testOwner}})
	second.loop.Post(t.Context(), entry.RosterChanged{Roster: vm.NewRoster(vm.RosterConfig{Version: 1, Self: second.vm.Incarnation, VMs: []vm.VM{second.vm}})})
	second.loop.Post(t.Context(), entry.EndpointsListed{Endpoints: []datacentre.Endpoint{{ID: "e1", DataCentre: "centro", Address: worker.Listener.Addr().String(), Slots: 2, Connections: 8}}})
	first.router.SetPeers(entry.PeerSnapshot{Roster: vm.NewRoster(vm.RosterConfig{Version: 1, Self: first.vm.Incarnation, VMs: []vm.VM{first.vm, second.vm}})})
	ids, err := second.router.Reserve(t.Context(), testOwner.ID, 1)
	if err != nil {
		t.Fatal(err)
	}
	submitAt(t, first, ids[0])

	var got []string
	for _, s := range spans.GetSpans() {
		got = append(got, fmt.Sprintf("%s %s", s.Name, s.SpanKind))
		if s.SpanContext.TraceID().String() != callerParent[3:35] {
			t.Errorf("got span %s in trace %s, want %s", s.Name, s.SpanContext.TraceID(), callerParent[3:35])
		}
		if !hasParent(spans.GetSpans(), s) {
			t.Errorf("got span %s with the unknown parent %s, want one of the trace", s.Name, s.Parent.SpanID())
		}
	}
	slices.Sort(got)
	want := []string{"caller server", "endpoint client", "endpoint client", "peer client", "queue internal", "queue internal", "served server"}
	if !slices.Equal(got, want) {
		t.Errorf("got spans %v, want %v", got, want)
	}
	for range 2 {
		if p := <-parents; len(p) < 35 || p[3:35] != callerParent[3:35] {
			t.Errorf("got traceparent %q at the endpoint, want the trace %s", p, callerParent[3:35])
		}
	}
	for name, want := range map[string]int64{"starts": 2, "attempts.succeeded": 2} {
		if got := gometrics.GetOrRegisterCounter(name, second.registry).Count(); got != want {
			t.Errorf("got %s = %d, want %d", name, got, want)
		}
	}
	if got := gometrics.GetOrRegisterCounter("peerCalls.Contract.Submit", first.registry).Count(); got != 1 {
		t.Errorf("got %d calls of the peer, want 1", got)
	}
}

func submitAt(t *testing.T, v *entryVM, id contract.SubmissionID) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := caller.NewServer(caller.Config{
		Listener: listener, Service: v.router, Authenticator: anyOwner{}, Readiness: anyOwner{}, Tracer: v.tracer,
		Limits: caller.Limits{BodyBytes: 1024, BodiesBytes: 1024, AnswerBytes: 1024, TasksPerJob: 2, Connections: 1, MaxWait: 5 * clock.Second},
	})
	done := make(chan struct{})
	go func() { _ = server.Serve(); close(done) }()
	defer func() { _ = server.Shutdown(context.Background()); <-done }()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+listener.Addr().String()+"/v1/jobs/"+id.String()+"?waitMs=5000", strings.NewReader(`{"tasks":[{"payload":"a"},{"payload":"b"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer t")
	request.Header.Set("traceparent", callerParent)
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		t.Fatalf("got status %d, want 200", response.StatusCode)
	}
}

func hasParent(spans tracetest.SpanStubs, s tracetest.SpanStub) bool {
	if s.Parent.SpanID().String() == callerParent[36:52] {
		return true
	}
	return slices.ContainsFunc(spans, func(o tracetest.SpanStub) bool {
		return s.Parent.SpanID() != (oteltrace.SpanID{}) && o.SpanContext.SpanID() == s.Parent.SpanID()
	})
}
