package caller

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/control/node"
	"github.com/sequoiacart/sequoiacart/internal/link/intake"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/platform/standin"
)

// counts is a Counter that tells of each count.
type counts struct {
	mu     sync.Mutex
	byName map[string]int
}

func (c *counts) Count(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byName[name]++
}

func (c *counts) Add(string, int64) {}

func (c *counts) of(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byName[name]
}

// crowdedServer is a server with room for one body of testBodyBytes at a time, and for few connections.
type crowdedServer struct {
	t       *testing.T
	address string
	clock   *clock.Manual
	counts  *counts
}

// testBodyBytes is the length of a job that needs the largest buffer which the server has room for.
const testBodyBytes = 16000

func newCrowdedServer(t *testing.T, maxConnections int) *crowdedServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &local{jobs: make(chan node.JobArrived, 1)}
	c := &crowdedServer{t: t, address: listener.Addr().String(), clock: clock.NewManual(clock.Hour), counts: &counts{byName: make(map[string]int)}}
	s := NewServer(Config{Listener: listener, Local: l, Counter: c.counts, Clock: c.clock, Intake: intake.Config{MaxConnections: maxConnections, MaxBodyBytes: 20_000, MinBodyRate: 16}, Limits: testLimits})
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()
	go func() {
		for j := range l.jobs {
			j.Ended <- job.Completed{}
		}
	}()
	t.Cleanup(func() {
		s.Close()
		if err := <-served; err != nil {
			t.Errorf("got %v from Serve, want nil", err)
		}
		close(l.jobs)
	})
	return c
}

func (c *crowdedServer) dial() net.Conn {
	c.t.Helper()
	conn, err := net.Dial("tcp", c.address)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// testJob is a job of testBodyBytes.
func testJob() string {
	const begin, end = `{"task_spec":"`, `","best_effort":true,"steps":[{"count":1,"cpu":1,"estimate_ms":5}]}`
	return begin + strings.Repeat("x", testBodyBytes-len(begin)-len(end)) + end
}

// send sends a job.
func (c *crowdedServer) send(conn net.Conn, id int) {
	c.t.Helper()
	if _, err := fmt.Fprintf(conn, "POST /q/%016x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", id, testBodyBytes, testJob()); err != nil {
		c.t.Fatal(err)
	}
}

// sendAllButOne sends all bytes of a job but the last one, and returns once there is no room for another job.
func (c *crowdedServer) sendAllButOne(conn net.Conn, id int) {
	c.t.Helper()
	if _, err := fmt.Fprintf(conn, "POST /q/%016x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", id, testBodyBytes); err != nil {
		c.t.Fatal(err)
	}
	// The server reads the body from then on.
	c.wantAnswer("expected body", conn, http.StatusContinue, "")
	if _, err := conn.Write([]byte(testJob()[1:])); err != nil {
		c.t.Fatal(err)
	}
	for try := range 1000 {
		probe := c.dial()
		c.send(probe, 100+try)
		response, err := http.ReadResponse(bufio.NewReader(probe), nil)
		if err != nil {
			c.t.Fatal(err)
		}
		_ = response.Body.Close()
		_ = probe.Close()
		if response.StatusCode != http.StatusOK {
			return
		}
	}
	c.t.Fatal("got room for another body, want none")
}

// wantAnswer reads the answer on a connection.
func (c *crowdedServer) wantAnswer(name string, conn net.Conn, status int, retryAfter string) {
	c.t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		c.t.Fatalf("%s: got %v, want an answer", name, err)
	}
	_ = response.Body.Close()
	if got := response.Header.Get("Retry-After"); response.StatusCode != status || got != retryAfter {
		c.t.Errorf("%s: got %d and a retry after %q s, want %d and %q", name, response.StatusCode, got, status, retryAfter)
	}
}

// Guards against a body without room that takes memory all the same or gets no true answer, and against one that has
// stopped and keeps its room while another job is refused.
func TestBodiesThatStopGiveWay(t *testing.T) {
	c := newCrowdedServer(t, 5)
	stopped, other := c.dial(), c.dial()
	c.sendAllButOne(stopped, 1)
	refused := c.counts.of(bodyRefused)
	c.send(other, 2)
	c.wantAnswer("no room", other, http.StatusServiceUnavailable, "1")
	c.clock.Advance(2 * clock.Second)
	other = c.dial()
	c.send(other, 3)
	c.wantAnswer("beside a body that has stopped", other, http.StatusOK, "")
	c.wantAnswer("the body that has stopped", stopped, http.StatusServiceUnavailable, "1")
	if refused, cut := c.counts.of(bodyRefused)-refused, c.counts.of(bodyCut); refused != 1 || cut != 1 {
		t.Errorf("got %d bodies refused and %d cut, want one each", refused, cut)
	}
}

// Guards against connections beyond the bound, which take descriptors from endpoints and peers, and against a bound
// that cuts a request.
func TestConnectionsWithoutRequestGiveWay(t *testing.T) {
	c := newCrowdedServer(t, 2)
	idle, busy := c.dial(), c.dial()
	c.send(busy, 1)
	c.wantAnswer("within the bound", busy, http.StatusOK, "")
	c.clock.Advance(clock.Second)
	c.send(busy, 2)
	c.wantAnswer("again", busy, http.StatusOK, "")
	third := c.dial()
	c.send(third, 3)
	c.wantAnswer("beyond the bound", third, http.StatusOK, "")
	if _, err := idle.Read(make([]byte, 1)); err == nil {
		t.Error("got bytes on the connection without a request, want it closed")
	}
	if got := c.counts.of(connectionCut); got != 1 {
		t.Errorf("got %d connections cut, want one", got)
	}
}

// Guards against a body that had to give way and is counted as refused too, once its handler asks for a larger buffer.
func TestCutBodyIsCountedOnce(t *testing.T) {
	now, counted := clock.NewManual(clock.Hour), &counts{byName: make(map[string]int)}
	listener := standin.NewPipeListener()
	all := newConnections(intake.New(intake.Config{MaxConnections: 2, MaxBodyBytes: firstBodyBytes, MinBodyRate: 16}), Config{Listener: listener, Clock: now, Counter: counted})
	read := func() *callerConn {
		go func() { _, _ = listener.DialContext(t.Context(), "", "") }()
		accepted, err := all.AcceptConn()
		if err != nil {
			t.Fatal(err)
		}
		n := all.open(accepted)
		n.update(func(i *intake.Intake, s *intake.Connection, now clock.Millis) bool {
			return i.Begin(s) && i.BeginBody(s, now)
		})
		return n
	}
	stopped, other := read(), read()
	if !stopped.grow(firstBodyBytes) {
		t.Error("got no room for a body, want it")
	}
	now.Advance(2 * clock.Second)
	if !other.grow(firstBodyBytes) {
		t.Error("got no room beside a body that has stopped, want it")
	}
	if stopped.grow(firstBodyBytes) {
		t.Error("got room for the body that had to give way, want none")
	}
	if refused, cut := counted.of(bodyRefused), counted.of(bodyCut); refused != 0 || cut != 1 {
		t.Errorf("got %d bodies refused and %d cut, want 0 and 1", refused, cut)
	}
}
