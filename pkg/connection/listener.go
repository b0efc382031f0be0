// Package connection tracks what the connections of an HTTP server do for their callers, so that a process that ends
// closes no connection on which it has read a request without an answer.
//
// http.Server.Shutdown does not do that: from its call on, the server reads requests on open connections and closes
// them without an answer.
package connection

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// Config configures a Listener.
type Config struct {
	// Listener is closed once no connection waits in its backlog if it has a method SetDeadline, else by Leave.
	Listener net.Listener
	// HeaderTimeout is how long the headers of a request may take that begins while the process ends.
	HeaderTimeout clock.Millis
	// Unanswered is called for each request that has no whole answer when this process closes its connection; it may be
	// nil. It must not block.
	Unanswered func(Unanswered)
}

// Listener accepts connections and closes them when the process ends. It is safe for concurrent use.
type Listener struct {
	net.Listener
	config Config
	// empty is closed once the last connection is closed while the process ends.
	empty chan struct{}

	mu                sync.Mutex
	open              map[*Conn]struct{}
	departure         departure
	isClosed, isEmpty bool
}

// deadlined is a listener whose Accept can be given a time limit.
type deadlined interface{ SetDeadline(t time.Time) error }

// lastAcceptWait is how long a process that ends waits for another connection. Only those that wait in the backlog
// are accepted: the system resets them when the listener is closed, while a later one is refused, so that its caller
// knows that nothing has run.
const lastAcceptWait = clock.Millis(1)

// departure is how far the connections have come towards the end of the process. It is one of the types below.
type departure interface{ departure() }

// staying means that connections are kept.
type staying struct{}

// departing means that each connection is closed once no request is on it.
type departing struct{}

// departed means that no request is read any more, and that those which have been read get their answer.
type departed struct{}

func (staying) departure()   {}
func (departing) departure() {}
func (departed) departure()  {}

// NewListener returns a listener whose connections stay open.
func NewListener(c Config) *Listener {
	return &Listener{Listener: c.Listener, config: c, empty: make(chan struct{}), open: make(map[*Conn]struct{}), departure: staying{}}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.AcceptConn()
	if err != nil {
		return nil, err
	}
	return c, nil
}

// AcceptConn waits for the next connection.
func (l *Listener) AcceptConn() (*Conn, error) {
	for {
		accepted, err := l.accept()
		if err != nil {
			return nil, err
		}
		if c := l.track(accepted); c != nil {
			return c, nil
		}
		_ = accepted.Close()
	}
}

// accept waits for the next connection, and closes the listener once none waits while the process ends.
func (l *Listener) accept() (net.Conn, error) {
	// The deadline of the first try may have passed while the process had no processor time.
	const tries = 2
	for range tries {
		l.limitAccept()
		accepted, err := l.Listener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return accepted, err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopAccepting()
	return nil, net.ErrClosed
}

// limitAccept lets Accept return soon while the process ends.
func (l *Listener) limitAccept() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stays() {
		return
	}
	d, ok := l.Listener.(deadlined)
	if !ok || d.SetDeadline(time.Now().Add(lastAcceptWait.Duration())) != nil {
		l.stopAccepting()
	}
}

func (l *Listener) stopAccepting() {
	l.isClosed = true
	// The process that ends has no use for the error.
	_ = l.Close()
	l.checkEmpty()
}

// track adds a connection that was accepted. It returns nil if the process ends and all connections are closed.
func (l *Listener) track(accepted net.Conn) *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isEmpty {
		return nil
	}
	c := &Conn{Conn: accepted, listener: l, exchange: awaiting{}}
	l.open[c] = struct{}{}
	return c
}

// Leave closes the listener once the connections that wait are accepted, and each connection as soon as no request is on
// it. Accept returns an error then.
func (l *Listener) Leave() {
	l.mu.Lock()
	l.departure = departing{}
	for c := range l.open {
		if c.isEnding() {
			c.expireRead(LastReadWait)
		}
	}
	l.mu.Unlock()
	l.limitAccept()
}

// Finish gives up the requests that have not arrived whole. Handlers that read a body get an error.
func (l *Listener) Finish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.departure = departed{}
	l.stopAccepting()
	for c := range l.open {
		if !c.isServed() {
			c.expireRead(0)
		}
	}
}

// AwaitClosed waits until all connections are closed. Leave has to be called before.
func (l *Listener) AwaitClosed(ctx context.Context) error {
	select {
	case <-l.empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// IsStaying reports whether connections are kept.
func (l *Listener) IsStaying() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stays()
}

func (l *Listener) stays() bool {
	_, ok := l.departure.(staying)
	return ok
}

// remove forgets a connection that is closed.
func (l *Listener) remove(c *Conn) {
	delete(l.open, c)
	l.checkEmpty()
}

// checkEmpty tells AwaitClosed once the last connection is closed.
func (l *Listener) checkEmpty() {
	if !l.isClosed || len(l.open) > 0 || l.isEmpty {
		return
	}
	l.isEmpty = true
	close(l.empty)
}

func (l *Listener) reportUnanswered(u Unanswered) {
	if l.config.Unanswered != nil {
		l.config.Unanswered(u)
	}
}
