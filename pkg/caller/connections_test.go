package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
)

// blockingService blocks requests until it is released and records how many it blocked at once.
type blockingService struct {
	fakeService
	arrived chan struct{}
	release chan struct{}

	mu            sync.Mutex
	blocked, peak int
}

func (s *blockingService) Ask(context.Context, contract.SubmissionID, owner.ID, clock.Millis) contract.Answer {
	s.addBlocked(1)
	defer s.addBlocked(-1)
	s.arrived <- struct{}{}
	<-s.release
	return contract.Running{}
}

func (s *blockingService) addBlocked(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blocked += change
	s.peak = max(s.peak, s.blocked)
}

// Guards against callers that open more connections than the limit, and against a shutdown
// that aborts a request in flight.
func TestConnectionsAreBoundedAndShutdownWaits(t *testing.T) {
	const limit, calls = 4, 20
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &blockingService{arrived: make(chan struct{}, calls), release: make(chan struct{})}
	limits := testLimits
	limits.Connections = limit
	s := NewServer(Config{Listener: listener, Service: f, Authenticator: fakeVM{}, Readiness: fakeVM{}, Limits: limits})
	var dials sync.WaitGroup
	dials.Add(calls)
	dialer := &net.Dialer{}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		defer dials.Done()
		return dialer.DialContext(ctx, network, address)
	}}}
	var wg sync.WaitGroup
	var answered atomic.Int32
	for range calls {
		wg.Go(func() {
			r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+listener.Addr().String()+"/v1/jobs/"+testID.String(), nil)
			if err != nil {
				t.Error(err)
				return
			}
			r.Header.Set("Authorization", "Bearer right")
			response, err := client.Do(r)
			if err != nil {
				t.Errorf("got %v, want an answer", err)
				return
			}
			_ = response.Body.Close()
			answered.Add(1)
		})
	}
	// All connections wait in the backlog, so that a server without a limit would accept
	// them all at once.
	dials.Wait()
	dials.Add(1)
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()
	for range limit {
		<-f.arrived
	}
	for i := range calls {
		f.release <- struct{}{}
		if i < calls-limit {
			<-f.arrived
		}
	}
	wg.Wait()
	if f.peak > limit || answered.Load() != calls {
		t.Errorf("got %d requests at once and %d answers, want at most %d and %d", f.peak, answered.Load(), limit, calls)
	}

	wg.Go(func() {
		r, _ := http.NewRequest(http.MethodGet, "http://"+listener.Addr().String()+"/v1/jobs/"+testID.String(), nil)
		r.Header.Set("Authorization", "Bearer right")
		response, err := client.Do(r)
		if err != nil {
			t.Errorf("got %v during the shutdown, want the answer", err)
			return
		}
		_ = response.Body.Close()
	})
	<-f.arrived
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(t.Context()) }()
	<-served
	close(f.release)
	if err := <-stopped; err != nil {
		t.Errorf("got %v, want a clean shutdown", err)
	}
	wg.Wait()
}

// Guards against requests that the server reads after it has closed its listener and drops without an answer, and
// against connections without a request that keep it from ending.
func TestShutdownAnswersRequestsThatArrive(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limits := testLimits
	limits.Connections, limits.IdleTimeout = 2, clock.Minute
	s := NewServer(Config{Listener: listener, Service: &fakeService{answer: contract.Running{}}, Authenticator: fakeVM{}, Readiness: fakeVM{}, Limits: limits})
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		return conn
	}
	arrives, unused := dial(), dial()
	const firstLine, rest = "GET /v1/jobs/%s HTTP/1.1\r\n", "Host: h\r\nAuthorization: Bearer right\r\n\r\n"
	if _, err := fmt.Fprintf(arrives, firstLine, testID); err != nil {
		t.Fatal(err)
	}
	// Both connections wait in the backlog when the server leaves, and nothing of them has been read.
	served, stopped := make(chan error, 1), make(chan error, 1)
	go func() { stopped <- s.Shutdown(t.Context()) }()
	go func() { served <- s.Serve() }()
	<-served
	if n, err := unused.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("got %d bytes, %v on a connection without a request, want its end", n, err)
	}
	if _, err := io.WriteString(arrives, rest); err != nil {
		t.Errorf("got %v, want the connection open", err)
	}
	response, err := http.ReadResponse(bufio.NewReader(arrives), nil)
	if err != nil {
		t.Fatalf("got %v, want an answer", err)
	}
	if got, want := response.StatusCode, http.StatusAccepted; got != want || !response.Close {
		t.Errorf("got status %d, closed %v, want %d and the end of the connection", got, response.Close, want)
	}
	if err := <-stopped; err != nil {
		t.Errorf("got %v, want a clean shutdown", err)
	}
}
