package endpoint

import (
	"net"
	"net/http/httptrace"
	"sync"
)

// trackedConn is a connection that records for each request whether bytes were written.
type trackedConn struct {
	net.Conn

	mu     sync.Mutex
	use    *connUse
	closed bool
}

// connUse is the use of a connection by one request. It is kept when the next request takes
// the connection, since net/http can reassign a connection before the call that used it returns.
type connUse struct {
	conn    *trackedConn
	writing bool
	written bool
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	u, err := c.beginWrite()
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	u.writing = false
	u.written = u.written || n > 0
	return n, err
}

func (c *trackedConn) beginWrite() (*connUse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.use == nil {
		return nil, net.ErrClosed
	}
	c.use.writing = true
	return c.use, nil
}

// beginUse assigns the connection to a new request.
func (c *trackedConn) beginUse() *connUse {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.use = &connUse{conn: c}
	return c.use
}

// close prevents any further write.
func (c *trackedConn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	_ = c.Conn.Close()
}

// abort prevents any further write of the request and reports whether no byte was written. A
// write in progress counts as written.
func (u *connUse) abort() (unsent bool) {
	c := u.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.use == u {
		c.closed = true
		_ = c.Conn.Close()
	}
	return !u.written && !u.writing
}

// sendTracker tracks the connections of one attempt. net/http may return before its writing
// goroutine ends, so only a connection that rejects writes proves that nothing was sent.
type sendTracker struct {
	mu   sync.Mutex
	use  *connUse
	sent bool
}

func (t *sendTracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: t.gotConn}
}

// gotConn lets the transport switch to another connection only if nothing was written to the
// previous one: a second send would start the task twice.
func (t *sendTracker) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*trackedConn)
	t.mu.Lock()
	defer t.mu.Unlock()
	if !ok {
		t.sent = true
		return
	}
	if t.use != nil && !t.use.abort() {
		t.sent = true
	}
	t.use = conn.beginUse()
	if t.sent {
		conn.close()
	}
}

// confirmUnsent prevents any further write of the attempt and reports whether no byte was sent.
func (t *sendTracker) confirmUnsent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.use != nil && !t.use.abort() {
		t.sent = true
	}
	return !t.sent
}

// closeConnection closes the connection of the attempt even if another request uses it by now,
// since the responses on it may no longer match the requests.
func (t *sendTracker) closeConnection() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.use != nil {
		t.use.conn.close()
	}
}
