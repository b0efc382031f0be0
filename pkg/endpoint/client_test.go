package endpoint

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/metrics"
)

const testResultBytes = 64

var testAttempt = contract.AttemptID{Submission: contract.SubmissionID{DataCentre: "centro", Issuer: "a-1", Witness: "none"}, Number: 1}

func newTestClient(t *testing.T) *Client {
	t.Helper()
	c := NewClient(ClientConfig{MaxConnections: 64, MaxResultBytes: testResultBytes, DialTimeout: 5 * clock.Second})
	t.Cleanup(c.http.CloseIdleConnections)
	return c
}

// rawEndpoint runs the script for each connection, with the connection's number from 1. It
// returns the endpoint and a counter of the requests that were read.
func rawEndpoint(t *testing.T, script func(conn net.Conn, number int, readRequest func() (attempt string, ok bool))) (datacentre.Endpoint, *atomic.Int32) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	requests := &atomic.Int32{}
	var wg sync.WaitGroup
	wg.Go(func() {
		for number := 1; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				script(conn, number, func() (string, bool) {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return "", false
					}
					requests.Add(1)
					_, _ = io.Copy(io.Discard, r.Body)
					return r.Header.Get(AttemptHeader), true
				})
			})
		}
	})
	t.Cleanup(func() { _ = listener.Close(); wg.Wait() })
	return datacentre.Endpoint{ID: "e1", Address: listener.Addr().String()}, requests
}

func reply(status, attempt, extra, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, AttemptHeader, attempt, extra, len(body), body)
}

// Guards against wrong conclusions from an answer: only a complete result of the same
// attempt counts as a result, and only a refusal by the endpoint itself (or no byte sent)
// counts as not run.
func TestOnlyProvenResultsAreReported(t *testing.T) {
	id := testAttempt.String()
	cases := map[string]struct {
		answer string
		want   contract.AttemptResult
	}{
		"result":                  {reply("200 OK", id, "", "done"), contract.Succeeded{Result: []byte("done")}},
		"empty result":            {reply("200 OK", id, "", ""), contract.Succeeded{Result: []byte{}}},
		"ran and failed":          {reply("500 E", id, "", "boom"), contract.RanAndFailed{Reason: "endpoint e1: boom"}},
		"busy":                    {reply("503 S", id, NotRunHeader+": busy\r\n", ""), contract.NotStarted{Cause: contract.EndpointBusy}},
		"leaving":                 {reply("503 S", id, NotRunHeader+": leaving\r\n", ""), contract.NotStarted{Cause: contract.EndpointLeaving}},
		"503 without header":      {reply("503 S", id, "", ""), contract.Ambiguous{}},
		"503 unknown reason":      {reply("503 S", id, NotRunHeader+": maybe\r\n", ""), contract.Ambiguous{}},
		"busy of another attempt": {reply("503 S", "other", NotRunHeader+": busy\r\n", ""), contract.Ambiguous{}},
		"misrouted result":        {reply("200 OK", id+"1", "", "done"), contract.Ambiguous{}},
		"no attempt id":           {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone", contract.Ambiguous{}},
		"failure without id":      {"HTTP/1.1 500 E\r\nContent-Length: 4\r\n\r\nboom", contract.Ambiguous{}},
		"truncated body":          {reply("200 OK", id, "", "done")[:len(reply("200 OK", id, "", "done"))-1], contract.Ambiguous{}},
		"truncated head":          {"HTTP/1.1 200 OK\r\nSequoia", contract.Ambiguous{}},
		"not HTTP":                {"hello\r\n\r\n", contract.Ambiguous{}},
		"too large":               {reply("200 OK", id, "", strings.Repeat("x", testResultBytes+1)), contract.Ambiguous{}},
		"largest":                 {reply("200 OK", id, "", strings.Repeat("x", testResultBytes)), contract.Succeeded{Result: []byte(strings.Repeat("x", testResultBytes))}},
		"unexpected status":       {reply("204 N", id, "", ""), contract.Ambiguous{}},
		"bad gateway":             {reply("502 B", id, "", ""), contract.Ambiguous{}},
		"connection closed":       {"", contract.Ambiguous{}},
		"redirect 302":            {reply("302 F", id, "Location: /run\r\n", ""), contract.Ambiguous{}},
		"redirect 307":            {reply("307 T", id, "Location: /run\r\n", ""), contract.Ambiguous{}},
	}
	for name, c := range cases {
		for _, payload := range []string{"payload", ""} {
			t.Run(name+" payload "+payload, func(t *testing.T) {
				ep, requests := rawEndpoint(t, func(conn net.Conn, _ int, read func() (string, bool)) {
					if _, ok := read(); ok {
						_, _ = io.WriteString(conn, c.answer)
					}
				})
				got := newTestClient(t).Run(t.Context(), ep, testAttempt, []byte(payload), clock.Second)
				if !sameResult(got, c.want) {
					t.Errorf("got %#v, want %#v", got, c.want)
				}
				if requests.Load() != 1 {
					t.Errorf("got %d requests at the endpoint, want 1", requests.Load())
				}
			})
		}
	}
}

// sameResult compares two results, without the reason of ambiguous ones.
func sameResult(got, want contract.AttemptResult) bool {
	if _, ok := want.(contract.Ambiguous); ok {
		_, ok := got.(contract.Ambiguous)
		return ok
	}
	return fmt.Sprintf("%#v", got) == fmt.Sprintf("%#v", want)
}

// Guards against a second start when net/http resends a request after a broken connection,
// and against "not run" for a request of which any byte was sent. On each reused connection
// the endpoint reads the request and closes the connection without an answer.
func TestRequestOnReusedConnectionIsSentOnce(t *testing.T) {
	for _, payload := range []string{"", "p", strings.Repeat("x", 1<<20)} {
		t.Run(fmt.Sprintf("payload of %d bytes", len(payload)), func(t *testing.T) {
			ep, requests := rawEndpoint(t, func(conn net.Conn, _ int, read func() (string, bool)) {
				if attempt, ok := read(); ok {
					_, _ = io.WriteString(conn, reply("200 OK", attempt, "", "done"))
				}
				read()
			})
			c := newTestClient(t)
			first := c.Run(t.Context(), ep, testAttempt, nil, clock.Second)
			if _, ok := first.(contract.Succeeded); !ok {
				t.Fatalf("got %#v, want a result", first)
			}
			second := c.Run(t.Context(), ep, testAttempt, []byte(payload), clock.Second)
			if _, ok := second.(contract.Ambiguous); !ok {
				t.Errorf("got %#v, want ambiguous", second)
			}
			if requests.Load() != 2 {
				t.Errorf("got %d requests at the endpoint, want 2", requests.Load())
			}
		})
	}
}

// brokenConn fails on every write, after the allowed number of bytes.
type brokenConn struct {
	net.Conn
	allow int
}

func (b *brokenConn) Write(p []byte) (int, error) {
	n, _ := b.Conn.Write(p[:min(b.allow, len(p))])
	return n, errors.New("broken pipe")
}

// Guards against a task that is lost although no byte was written, and against a task that
// is repeated although some bytes were.
func TestWrittenBytesDecideWhetherAttemptStarted(t *testing.T) {
	cases := map[string]struct {
		dial func(net.Conn) (net.Conn, error)
		want contract.AttemptResult
	}{
		"dial refused":           {func(c net.Conn) (net.Conn, error) { return nil, errors.Join(errors.New("refused"), c.Close()) }, contract.NotStarted{Cause: contract.EndpointUnreachable}},
		"no byte written":        {func(c net.Conn) (net.Conn, error) { return &brokenConn{Conn: c}, nil }, contract.NotStarted{Cause: contract.EndpointUnreachable}},
		"one byte written":       {func(c net.Conn) (net.Conn, error) { return &brokenConn{Conn: c, allow: 1}, nil }, contract.Ambiguous{}},
		"everything but an ack":  {func(c net.Conn) (net.Conn, error) { return &brokenConn{Conn: c, allow: 1 << 20}, nil }, contract.Ambiguous{}},
		"closed before the send": {func(c net.Conn) (net.Conn, error) { return c, c.Close() }, contract.NotStarted{Cause: contract.EndpointUnreachable}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			ep, _ := rawEndpoint(t, func(_ net.Conn, _ int, read func() (string, bool)) { read() })
			client := NewClient(ClientConfig{MaxConnections: 1, MaxResultBytes: testResultBytes, DialTimeout: clock.Second, Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return c.dial(conn)
			}})
			got := client.Run(t.Context(), ep, testAttempt, []byte("p"), clock.Second)
			if !sameResult(got, c.want) {
				t.Errorf("got %#v, want %#v", got, c.want)
			}
		})
	}
}

// Guards against a connection on which each answer belongs to the previous request: after
// an answer to another attempt, the connection must not be used again.
func TestConnectionWithMismatchedAnswerIsClosed(t *testing.T) {
	ep, _ := rawEndpoint(t, func(conn net.Conn, number int, read func() (string, bool)) {
		for last := "earlier"; ; {
			attempt, ok := read()
			if !ok {
				return
			}
			if number > 1 {
				last = attempt
			}
			_, _ = io.WriteString(conn, reply("200 OK", last, "", ""))
			last = attempt
		}
	})
	c := newTestClient(t)
	if got := c.Run(t.Context(), ep, testAttempt, nil, clock.Second); !sameResult(got, contract.Ambiguous{}) {
		t.Errorf("got %#v, want ambiguous", got)
	}
	next := testAttempt
	next.Number++
	if got := c.Run(t.Context(), ep, next, nil, clock.Second); !sameResult(got, contract.Succeeded{Result: []byte{}}) {
		t.Errorf("got %#v, want a result over a new connection", got)
	}
}

// Guards against an answer that is sent twice and taken for the answer of the next
// request on the connection.
func TestDuplicateAnswerIsNotTakenForTheNext(t *testing.T) {
	ep, _ := rawEndpoint(t, func(conn net.Conn, _ int, read func() (string, bool)) {
		for attempt, ok := read(); ok; attempt, ok = read() {
			answer := reply("200 OK", attempt, "", "result of "+attempt[len(attempt)-3:])
			_, _ = io.WriteString(conn, answer+answer)
		}
	})
	c := newTestClient(t)
	for i := range 100 {
		attempt := testAttempt
		attempt.Number = contract.AttemptNumber(100 + i)
		got := c.Run(t.Context(), ep, attempt, []byte("p"), clock.Second)
		if s, ok := got.(contract.Succeeded); ok && string(s.Result) != fmt.Sprintf("result of %d", attempt.Number) {
			t.Errorf("got %q for attempt %d, want its own result or none", s.Result, attempt.Number)
		}
	}
}

// Guards against more open connections than an endpoint may have, and against "may have
// run" for an attempt that only waited for a connection.
func TestConnectionsOfAnEndpointAreBounded(t *testing.T) {
	const limit, calls = 64, 200
	var open, peak atomic.Int32
	arrived, release := make(chan struct{}, calls), make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-release
		w.Header().Set(AttemptHeader, r.Header.Get(AttemptHeader))
	}))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		switch s {
		case http.StateNew:
			peak.Store(max(peak.Load(), open.Add(1)))
		case http.StateClosed:
			open.Add(-1)
		}
	}
	server.Start()
	defer server.Close()
	c := newTestClient(t)
	ep := datacentre.Endpoint{ID: "e1", Address: server.Listener.Addr().String()}
	var wg sync.WaitGroup
	var succeeded atomic.Int32
	for range calls {
		wg.Go(func() {
			if _, ok := c.Run(t.Context(), ep, testAttempt, []byte("p"), clock.Second).(contract.Succeeded); ok {
				succeeded.Add(1)
			}
		})
	}
	for range limit {
		<-arrived
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if got := c.Run(ctx, ep, testAttempt, []byte("p"), clock.Second); !sameResult(got, contract.NotStarted{Cause: contract.EndpointUnreachable}) {
		t.Errorf("got %#v, want not started", got)
	}
	close(release)
	wg.Wait()
	if peak.Load() > limit || succeeded.Load() != calls {
		t.Errorf("got a peak of %d connections and %d results, want at most %d and %d", peak.Load(), succeeded.Load(), limit, calls)
	}
}

// Guards against unusable answers that are not counted, and against "not run" for a task
// whose endpoint is only late.
func TestUnusableAnswersAreCountedByReason(t *testing.T) {
	id := testAttempt.String()
	half := reply("200 OK", id, "", "done")[:len(reply("200 OK", id, "", "done"))-1]
	cases := map[string]struct {
		answer string
		late   bool
		want   metrics.UnusableReason
	}{
		"misrouted":         {reply("200 OK", "other", "", ""), false, metrics.Misrouted},
		"truncated":         {half, false, metrics.Truncated},
		"too large":         {reply("200 OK", id, "", strings.Repeat("x", testResultBytes+1)), false, metrics.TooLarge},
		"unexpected status": {reply("418 T", id, "", ""), false, metrics.UnexpectedStatus},
		"broken":            {"", false, metrics.Broken},
		"late":              {"", true, metrics.Late},
		"late body":         {half, true, metrics.Late},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			ep, _ := rawEndpoint(t, func(conn net.Conn, _ int, read func() (string, bool)) {
				read()
				_, _ = io.WriteString(conn, tt.answer)
				if tt.late {
					cancel()
					read()
				}
			})
			registry := gometrics.NewRegistry()
			c := NewClient(ClientConfig{MaxConnections: 1, MaxResultBytes: testResultBytes, DialTimeout: clock.Second, Metrics: metrics.New(registry)})
			if got := c.Run(ctx, ep, testAttempt, []byte("p"), clock.Second); !sameResult(got, contract.Ambiguous{}) {
				t.Errorf("got %#v, want ambiguous", got)
			}
			if got := gometrics.GetOrRegisterCounter("unusableAnswers."+string(tt.want), registry).Count(); got != 1 {
				t.Errorf("got %d answers counted as %s, want 1", got, tt.want)
			}
		})
	}
}
