package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sequoiacart/sequoiacart/internal/control/node"
	"github.com/sequoiacart/sequoiacart/internal/link/intake"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/connection"
	"github.com/sequoiacart/sequoiacart/platform/standin"
)

// leavingServer is a server whose process ends, and the counters of it.
type leavingServer struct {
	*Server
	listener *standin.PipeListener
	counts   *counts
	jobs     chan node.JobArrived
	served   chan error
}

func newLeavingServer(maxConnections int) *leavingServer {
	s := &leavingServer{listener: standin.NewPipeListener(), counts: &counts{byName: make(map[string]int)}, jobs: make(chan node.JobArrived, 10), served: make(chan error, 1)}
	s.Server = NewServer(Config{
		Listener: s.listener, Local: &local{jobs: s.jobs}, Counter: s.counts, Clock: clock.NewManual(clock.Hour),
		Intake: intake.Config{MaxConnections: maxConnections, MaxBodyBytes: 1 << 20, MinBodyRate: 16}, Limits: testLimits,
	})
	go func() { s.served <- s.Serve() }()
	return s
}

func (s *leavingServer) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := s.listener.DialContext(t.Context(), "", "")
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// checkEnd checks that all connections close within limit, and that every request has had its answer.
func (s *leavingServer) checkEnd(t *testing.T, limit time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	if err := s.AwaitClosed(ctx); err != nil {
		t.Errorf("got %v, want all connections closed within %s", err, limit)
	}
	s.Close()
	if err := <-s.served; err != nil {
		t.Errorf("got %v from Serve, want nil", err)
	}
	for _, u := range []connection.Unanswered{connection.UnansweredArriving, connection.UnansweredHandling, connection.UnansweredAnswering} {
		if got := s.counts.of(unanswered + string(u)); got != 0 {
			t.Errorf("got %d requests without an answer, %s, want none", got, u)
		}
	}
	close(s.jobs)
}

// firstLine is the length of the first line of a request.
const firstLine = len("POST /q/0000000000000001 HTTP/1.1\r\n")

func request() string {
	return fmt.Sprintf("POST /q/0000000000000001 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(testJob()), testJob())
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Errorf("got %v, want the connection open", err)
	}
}

// statusOf returns the status of the next answer on a connection, or 0 if there is none, and whether it closes it.
func statusOf(conn net.Conn) (status int, closes bool) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, true
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Close
}

// Guards against requests that a shutdown drops after it has read them, and against connections that stay open without
// one: whatever has reached the server when its listener closes is answered, and the rest is closed.
func TestRequestsOnOpenConnectionsAreAnsweredAfterLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLeavingServer(10)
		unused, kept, arrives, late := s.dial(t), s.dial(t), s.dial(t), s.dial(t)
		go func() {
			for j := range s.jobs {
				j.Ended <- job.Completed{}
			}
		}()
		send(t, kept, request())
		if got, closes := statusOf(kept); got != http.StatusOK || closes {
			t.Errorf("got %d, closed %v, want 200 and an open connection", got, closes)
		}
		send(t, arrives, request()[:10])
		synctest.Wait()

		s.Drain()
		s.Leave()
		// On its way when the listener was closed.
		time.Sleep((connection.LastReadWait / 2).Duration())
		send(t, late, request())
		if got, closes := statusOf(late); got != http.StatusOK || !closes {
			t.Errorf("got %d, closed %v, want 200 and the end of the connection for a request on its way", got, closes)
		}
		begin := time.Now()
		for name, conn := range map[string]net.Conn{"unused": unused, "kept": kept} {
			if n, err := conn.Read(make([]byte, 1)); n != 0 || err == nil {
				t.Errorf("%s: got %d bytes, %v, want the end of the connection", name, n, err)
			}
		}
		if got, want := time.Since(begin), 2*connection.LastReadWait.Duration(); got > want {
			t.Errorf("got connections closed after %s, want within %s", got, want)
		}
		time.Sleep(time.Second)
		send(t, arrives, request()[10:])
		if got, closes := statusOf(arrives); got != http.StatusOK || !closes {
			t.Errorf("got %d, closed %v, want 200 and the end of the connection for a request that was arriving", got, closes)
		}
		s.checkEnd(t, time.Second)
	})
}

// Guards against bodies that end after a VM has given its last answers, and are taken by nobody: they are refused when
// the last answers are given, and headers that are not whole end with their connection.
func TestBodiesAreRefusedAfterFinish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLeavingServer(10)
		body, headers, running := s.dial(t), s.dial(t), s.dial(t)
		send(t, running, request())
		j := <-s.jobs
		send(t, body, request()[:len(request())-1])
		send(t, headers, request()[:firstLine])
		synctest.Wait()

		s.Drain()
		s.Leave()
		finished := time.Now()
		s.Finish()
		response, err := http.ReadResponse(bufio.NewReader(body), nil)
		if err != nil {
			t.Fatalf("got %v, want a refusal", err)
		}
		if got, want := response.StatusCode, http.StatusServiceUnavailable; got != want || response.Header.Get("Retry-After") == "" || !response.Close {
			t.Errorf("got %d with %v for a body that arrives, want %d with Retry-After and the end of the connection", got, response.Header, want)
		}
		if got, _ := statusOf(headers); got != 0 {
			t.Errorf("got %d for headers that are not whole, want the end of the connection", got)
		}
		if got := time.Since(finished); got != 0 {
			t.Errorf("got the requests that stand still given up after %s, want it at once", got)
		}
		j.Ended <- job.Stopped{Reason: job.Draining}
		if got, _ := statusOf(running); got != http.StatusBadGateway {
			t.Errorf("got %d for a job that was stopped, want 502", got)
		}
		s.checkEnd(t, time.Second)
		if got := len(s.jobs); got != 0 {
			t.Errorf("got %d jobs more, want none", got)
		}
	})
}

// Guards against a connection that gives way to another one while its caller reads the answer.
func TestConnectionsStayUntilTheirAnswerIsWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLeavingServer(1)
		first := s.dial(t)
		send(t, first, request())
		j := <-s.jobs
		j.Ended <- job.Completed{}
		// The server waits until the answer is read.
		synctest.Wait()
		second := s.dial(t)
		synctest.Wait()
		if got, closes := statusOf(first); got != http.StatusOK || closes {
			t.Errorf("got %d, closed %v, want 200 and an open connection", got, closes)
		}
		if n, err := second.Read(make([]byte, 1)); n != 0 || err == nil {
			t.Errorf("got %d bytes, %v on a connection beyond the bound, want its end", n, err)
		}
		s.Leave()
		s.checkEnd(t, time.Second)
	})
}
