package endpoint

import (
	"net"
	"net/http/httptrace"
	"sync"
)

// countedConn attributes what is written to the request that has the connection.
type countedConn struct {
	net.Conn

	mu     sync.Mutex
	use    *use
	sealed bool
}

// use is one request on a connection. It outlives the connection's next request, since
// net/http can hand the connection on before the call that used it has returned.
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

// take begins a new request.
func (c *countedConn) take() *use {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.use = &use{conn: c}
	return c.use
}

// close lets no further byte out.
func (c *countedConn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	_ = c.Conn.Close()
}

// seal lets no further byte of the request out and reports whether none went out. A
// write under way counts as written.
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

// guard follows the connections of one attempt. net/http may return before its writing
// goroutine ended, so only a sealed connection proves that nothing was sent.
type guard struct {
	mu   sync.Mutex
	use  *use
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
	if g.use != nil && !g.use.seal() {
		g.sent = true
	}
	g.use = conn.take()
	if g.sent {
		conn.close()
	}
}

// proveUnsent seals the connection and reports whether no byte of the attempt went out
// and none will.
func (g *guard) proveUnsent() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.use != nil && !g.use.seal() {
		g.sent = true
	}
	return !g.sent
}

// drop closes the connection of the attempt, whose stream can no longer be trusted, even
// if another request has it by now.
func (g *guard) drop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.use != nil {
		g.use.conn.close()
	}
}
