package caller

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sequoiacart/sequoiacart/internal/control/node"
	"github.com/sequoiacart/sequoiacart/internal/link/intake"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// local is a fake VM whose jobs end when the test sends their outcome.
type local struct {
	jobs chan node.JobArrived
	// settling receives the requests that wait until their caller has gone; nil lets none wait.
	settling chan struct{}
	// cancelled decides whether a cancellation is confirmed.
	cancelled func(node.CancelRequested) node.CancelOutcome
}

func (l *local) Post(e node.Event) bool {
	if c, ok := e.(node.CancelRequested); ok {
		c.Done <- l.cancelled(c)
	}
	if a, ok := e.(node.JobArrived); ok {
		a.Accepted <- job.Key{Entry: "me-1", Seq: 1}
		l.jobs <- a
	}
	return true
}

func (l *local) AwaitDesiredState(context.Context, clock.Millis) *queue.State {
	return queue.NewState(1, []queue.Queue{{Name: "q", Host: "h", Path: "/q/", Service: "s"}}, nil, queue.Limits{})
}

func (l *local) AwaitSettled(ctx context.Context) (clock.Millis, bool) {
	if l.settling != nil {
		l.settling <- struct{}{}
		<-ctx.Done()
	}
	return waitsSince, ctx.Err() == nil
}

// waitsSince is since when the callers of the fake VM wait.
const waitsSince = clock.Millis(700)

// testLimits are those of jobs in the tests; the payload may fill a body.
var testLimits = job.Limits{Payload: testBodyBytes, Steps: 10, Dependencies: 10}

const callerSpan = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"

type noCounter struct{}

func (noCounter) Count(string)      {}
func (noCounter) Add(string, int64) {}

// Guards against callers' traces that end at the VM, and against a shutdown that cuts off a
// request in flight: the run group ends the process once Serve returns.
func TestShutdownAnswersRequestsInFlight(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &local{jobs: make(chan node.JobArrived, 1)}
	s := NewServer(Config{Listener: listener, Local: l, Counter: noCounter{}, Clock: clock.NewManual(clock.Hour), Intake: intake.Config{MaxConnections: 100, MaxBodyBytes: 1 << 20, MinBodyRate: 16}, Limits: testLimits})
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()
	type reply struct {
		status int
		body   string
		err    error
	}
	replies := make(chan reply, 1)
	go func() {
		const text = `{"task_spec":"x","best_effort":true,"steps":[{"count":1,"cpu":1,"estimate_ms":5}]}`
		request, err := http.NewRequest(http.MethodPost, "http://"+listener.Addr().String()+"/q/0123456789abcdef", strings.NewReader(text))
		if err != nil {
			replies <- reply{err: err}
			return
		}
		request.Host = "h"
		request.Header.Set("traceparent", callerSpan)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			replies <- reply{err: err}
			return
		}
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		replies <- reply{status: response.StatusCode, body: string(body), err: err}
	}()
	j := <-l.jobs
	if got, want := j.WaitsSince, waitsSince; got != want {
		t.Errorf("got a caller that waits since %d, want %d", got, want)
	}
	if got, want := string(j.Job.Trace), callerSpan; got != want {
		t.Errorf("got trace %q, want the caller's %q", got, want)
	}
	s.Drain()
	s.Leave()
	shut := make(chan error, 1)
	go func() { shut <- s.AwaitClosed(t.Context()) }()
	// The listener is closed; from then on a plain http.Server.Serve returns.
	for {
		c, err := net.DialTimeout("tcp", listener.Addr().String(), time.Second)
		if err != nil {
			break
		}
		_ = c.Close()
	}
	select {
	case err := <-served:
		t.Fatalf("got the end of Serve (%v) with a request in flight, want it to go on", err)
	default:
	}
	j.Ended <- job.Completed{}
	if got := <-replies; got.err != nil || got.status != http.StatusOK {
		t.Errorf("got %+v, want an answer with 200", got)
	}
	if err := <-shut; err != nil {
		t.Errorf("got %v from the shutdown, want nil", err)
	}
	s.Close()
	if err := <-served; err != nil {
		t.Errorf("got %v from Serve, want nil", err)
	}
}

// Guards against a job that runs here and at the VM that its caller has sent it to since: the caller
// has gone when the request is read after a pause.
func TestRequestOfACallerThatHasGoneIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &local{jobs: make(chan node.JobArrived, 1), settling: make(chan struct{}, 1)}
	s := NewServer(Config{Listener: listener, Local: l, Counter: noCounter{}, Clock: clock.NewManual(clock.Hour), Intake: intake.Config{MaxConnections: 100, MaxBodyBytes: 1 << 20, MinBodyRate: 16}, Limits: testLimits})
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()
	c, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	const text = `{"task_spec":"x","best_effort":true,"steps":[{"count":1,"cpu":1,"estimate_ms":5}]}`
	if _, err := fmt.Fprintf(c, "POST /q/0123456789abcdef HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(text), text); err != nil {
		t.Fatal(err)
	}
	select {
	case <-l.settling:
	case <-l.jobs:
		t.Fatalf("got a job before it is known that its caller still waits")
	}
	_ = c.Close()
	s.Leave()
	if err := s.AwaitClosed(t.Context()); err != nil {
		t.Errorf("got %v from the shutdown, want nil", err)
	}
	if len(l.jobs) != 0 {
		t.Errorf("got the job of a caller that has gone, want it dropped")
	}
	s.Close()
	if err := <-served; err != nil {
		t.Errorf("got %v from Serve, want nil", err)
	}
}

// Guards against a cancellation that is acknowledged although no leader has confirmed it, against one that depends
// on the routes of the moment, and against one that waits for longer than its caller.
func TestCancellationIsAcknowledgedOnceConfirmed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var requested []node.CancelRequested
	l := &local{cancelled: func(c node.CancelRequested) node.CancelOutcome {
		requested = append(requested, c)
		if c.Cancellation.Job == "fedcba9876543210" {
			return node.CancelUnconfirmed{}
		}
		return node.CancelConfirmed{Found: c.Cancellation.Job == "00000000000000ff"}
	}}
	s := NewServer(Config{Listener: listener, Local: l, Counter: noCounter{}, Clock: clock.NewManual(clock.Hour), Intake: intake.Config{MaxConnections: 100, MaxBodyBytes: 1 << 20, MinBodyRate: 16}, Limits: testLimits})
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()
	for _, tt := range []struct {
		path   string
		status int
		retry  string
	}{
		{"/q/0123456789abcdef", http.StatusOK, ""},
		{"/q/fedcba9876543210", http.StatusServiceUnavailable, "1"},
		{"/former/00000000000000ff", http.StatusOK, ""},
		{"/former/0123456789abcdef", http.StatusGone, ""},
		{"/q/former/00000000000000ff", http.StatusOK, ""},
		{"/q/x", http.StatusGone, ""},
		{"/former/x", http.StatusNotFound, ""},
	} {
		request, err := http.NewRequest(http.MethodDelete, "http://"+listener.Addr().String()+tt.path, nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Host = "H:80"
		request.Header.Set("Sequoiacart-Deadline-Ms", "700")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if got := response.Header.Get("Retry-After"); response.StatusCode != tt.status || got != tt.retry {
			t.Errorf("%s: got %d and a retry after %q s, want %d and %q", tt.path, response.StatusCode, got, tt.status, tt.retry)
		}
	}
	s.Close()
	if err := <-served; err != nil {
		t.Errorf("got %v from Serve, want nil", err)
	}
	if len(requested) != 5 || requested[0].Cancellation.Origin != "h/q/" || requested[2].Cancellation.Origin != "h/former/" || requested[0].Limit != 700 {
		t.Errorf("got %+v, want five cancellations of jobs that were sent to h with a limit of 700 ms", requested)
	}
}
