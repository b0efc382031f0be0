package connection

import (
	"context"
	"io"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// scriptedConn returns the given results of its reads, and records the last time limit of a read and what is written.
type scriptedConn struct {
	net.Conn
	results []error
	limit   time.Duration
	written int
}

func (c *scriptedConn) Read([]byte) (int, error) {
	err := c.results[0]
	c.results = c.results[1:]
	if err != nil {
		return 0, err
	}
	return 1, nil
}

func (c *scriptedConn) SetReadDeadline(t time.Time) error {
	c.limit = time.Until(t)
	return nil
}

func (c *scriptedConn) Write(b []byte) (int, error) {
	c.written += len(b)
	return len(b), nil
}

func (c *scriptedConn) Close() error { return nil }

// scriptedListener accepts one connection.
type scriptedListener struct{ accepts net.Conn }

func (l *scriptedListener) Accept() (net.Conn, error) { return l.accepts, nil }
func (l *scriptedListener) Close() error              { return nil }
func (l *scriptedListener) Addr() net.Addr            { return nil }

const headerTimeout = 3 * clock.Second

// Guards against requests that had arrived when a read without processor time ended, against reads that go on after
// the last answers, and against time limits that a request does not get or keeps.
func TestReadsWhileTheProcessEnds(t *testing.T) {
	late := os.ErrDeadlineExceeded
	stay, leave, finish := func(*Listener) {}, (*Listener).Leave, func(l *Listener) { l.Leave(); l.Finish() }
	for name, tt := range map[string]struct {
		end     func(*Listener)
		begin   func(*Conn)
		results []error
		count   int
		err     error
		limit   time.Duration
	}{
		"a request has arrived":                 {leave, nil, []error{nil}, 1, nil, headerTimeout.Duration()},
		"found by a read after the time limit":  {leave, nil, []error{late, nil}, 1, nil, headerTimeout.Duration()},
		"nothing has arrived":                   {leave, nil, []error{late, late}, 0, io.EOF, LastReadWait.Duration()},
		"found while the process stays":         {stay, nil, []error{late, nil}, 1, nil, LastReadWait.Duration()},
		"idle while the process stays":          {stay, nil, []error{late, late}, 0, late, LastReadWait.Duration()},
		"the rest of a body":                    {leave, (*Conn).Receive, []error{nil}, 1, nil, 0},
		"nothing is read after the last answer": {finish, nil, []error{nil}, 0, late, 0},
		"nor the rest of a body":                {finish, (*Conn).Receive, []error{nil}, 0, late, 0},
		"but the end of a served caller":        {finish, (*Conn).Begin, []error{io.EOF}, 0, io.EOF, time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				raw := &scriptedConn{results: tt.results}
				l := NewListener(Config{Listener: &scriptedListener{accepts: raw}, HeaderTimeout: headerTimeout})
				c, err := l.AcceptConn()
				if err != nil {
					t.Fatal(err)
				}
				if tt.begin != nil {
					tt.begin(c)
				}
				raw.limit = tt.limit
				tt.end(l)
				count, err := c.Read(make([]byte, 1))
				if count != tt.count || err != tt.err || raw.limit != tt.limit {
					t.Errorf("got %d bytes, %v and a time limit of %s, want %d, %v and %s", count, err, raw.limit, tt.count, tt.err, tt.limit)
				}
			})
		})
	}
}

// Guards against headers that are given up although they had arrived when the process had processor time again, and
// against the server's answer 400 to those that had not, which calls a valid request malformed.
func TestLateHeaders(t *testing.T) {
	late := os.ErrDeadlineExceeded
	raw := &scriptedConn{results: []error{nil, late, nil, late}}
	l := NewListener(Config{Listener: &scriptedListener{accepts: raw}, Unanswered: func(u Unanswered) { t.Errorf("got %s without an answer, want none", u) }})
	c, err := l.AcceptConn()
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []error{nil, nil, late} {
		if _, err := c.Read(make([]byte, 1)); err != want {
			t.Errorf("got %v, want %v", err, want)
		}
	}
	const answer = "HTTP/1.1 400 Bad Request"
	if n, err := c.Write([]byte(answer)); n != len(answer) || err != nil || raw.written != 0 {
		t.Errorf("got %d bytes, %v and %d written, want none of %d written", n, err, raw.written, len(answer))
	}
	_ = c.Close()
	if len(raw.results) != 0 {
		t.Errorf("got %d reads not made, want one try more once the limit has passed", len(raw.results))
	}
}

// Guards against a process that ends while a connection is open, or waits for one that was closed by Cut.
func TestAwaitClosed(t *testing.T) {
	l := NewListener(Config{Listener: &scriptedListener{accepts: &scriptedConn{}}})
	first, _ := l.AcceptConn()
	second, _ := l.AcceptConn()
	first.Begin()
	l.Leave()
	_ = first.Close()
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	if err := l.AwaitClosed(gone); err == nil {
		t.Error("got the end while a connection is open, want none")
	}
	second.Cut()
	if err := l.AwaitClosed(t.Context()); err != nil {
		t.Errorf("got %v, want the end", err)
	}
}
