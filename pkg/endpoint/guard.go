package endpoint

import (
	"net"
	"net/http/httptrace"
	"sync"
)

// countedConn records for each request whether any of its bytes were written.
type countedConn struct {
	net.Conn

	mu     sync.Mutex
	use    *use
	sealed bool
}

// use is the use of a connection by one request. It is kept when the next request takes the
// connection, since net/http can reassign a connection before the call that used it returns.
type use struct {
	conn    *countedConn
	writing bool
	written bool
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
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

func (c *countedConn) beginWrite() (*use, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed || c.use == nil {
		return nil, net.ErrClosed
	}
	c.use.writing = true
	return c.use, nil
}

// take assigns the connection to a new request.
func (c *countedConn) take() *use {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.use = &use{conn: c}
	return c.use
}

// close prevents any further write.
func (c *countedConn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	_ = c.Conn.Close()
}

// seal prevents any further write of the request and reports whether no byte was written. A
// write in progress counts as written.
func (u *use) seal() (clean bool) {
	c := u.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.use == u {
		c.sealed = true
		_ = c.Conn.Close()
	}
	return !u.written && !u.writing
}

// guard tracks the connections of one attempt. net/http may return before its writing
// goroutine ends, so only a connection that rejects writes proves that nothing was sent.
type guard struct {
	mu   sync.Mutex
	use  *use
	sent bool
}

func (g *guard) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: g.gotConn}
}

// gotConn lets the transport switch to another connection only if nothing was written to the
// previous one: a second send would start the task twice.
func (g *guard) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countedConn)
	g.mu.Lock()
	defer g.mu.Unlock()
	if !ok {
		g.sent = true
		return
	}
	if g.use != nil && !g.use.seal() {
		g.sent = true
	}
	g.use = conn.take()
	if g.sent {
		conn.close()
	}
}

// proveUnsent prevents any further write of the attempt and reports whether no byte was sent.
func (g *guard) proveUnsent() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.use != nil && !g.use.seal() {
		g.sent = true
	}
	return !g.sent
}

// drop closes the connection of the attempt even if another request uses it by now, since
// the responses on it may no longer match the requests.
func (g *guard) drop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.use != nil {
		g.use.conn.close()
	}
}
