package endpoint

import (
	"net"
	"net/http/httptrace"
	"sync"
)

// countedConn knows whether anything was written since a request took it.
type countedConn struct {
	net.Conn

	mu      sync.Mutex
	writing bool
	written bool
	sealed  bool
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writing = true
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	c.written = c.written || n > 0
	return n, err
}

// take starts the count of a new request.
func (c *countedConn) take() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = false
}

// seal lets no further byte out and reports whether the request that took the
// connection wrote none. A write under way counts as written.
func (c *countedConn) seal() (clean bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	_ = c.Conn.Close()
	return !c.written && !c.writing
}

// guard follows the connections of one attempt. net/http may return before its writing
// goroutine ended, so only a sealed connection proves that nothing was sent.
type guard struct {
	mu   sync.Mutex
	conn *countedConn
	sent bool
}

func (g *guard) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: g.gotConn}
}

// gotConn lets the transport go to another connection only if the one before wrote
// nothing; a second send would be a second start.
func (g *guard) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countedConn)
	g.mu.Lock()
	defer g.mu.Unlock()
	if !ok {
		g.sent = true
		return
	}
	if g.conn != nil && !g.conn.seal() {
		g.sent = true
	}
	g.conn = conn
	if g.sent {
		conn.seal()
		return
	}
	conn.take()
}

// proveUnsent drops the connection and reports whether no byte of the attempt went out
// and none will.
func (g *guard) proveUnsent() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conn != nil && !g.conn.seal() {
		g.sent = true
	}
	return !g.sent
}

// drop closes the connection of the attempt, whose stream can no longer be trusted.
func (g *guard) drop() {
	g.proveUnsent()
}
