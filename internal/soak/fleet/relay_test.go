package fleet

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// relay is a loopback proxy to one address that can inject faults.
type relay struct {
	listener net.Listener
	target   atomic.Value
	// silent discards all bytes in both directions, and still accepts new connections.
	silent atomic.Bool
	// oneWay discards only the bytes from the target.
	oneWay atomic.Bool
	delay  atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: l, conns: make(map[net.Conn]struct{})}
	r.target.Store(target)
	go r.serve()
	t.Cleanup(func() { _ = l.Close(); r.reset() })
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) serve() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.connect(c)
	}
}

func (r *relay) connect(c net.Conn) {
	upstream, err := net.Dial("tcp", r.target.Load().(string))
	if err != nil {
		_ = c.Close()
		return
	}
	r.mu.Lock()
	r.conns[c], r.conns[upstream] = struct{}{}, struct{}{}
	r.mu.Unlock()
	go r.forward(upstream, c, false)
	r.forward(c, upstream, true)
	r.mu.Lock()
	delete(r.conns, c)
	delete(r.conns, upstream)
	r.mu.Unlock()
}

func (r *relay) forward(to, from net.Conn, fromTarget bool) {
	defer func() { _ = to.Close(); _ = from.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !r.silent.Load() && (!fromTarget || !r.oneWay.Load()) {
			time.Sleep(time.Duration(r.delay.Load()))
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// reset breaks all open connections.
func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// heal ends all faults. It resets all connections if bytes may have been discarded.
func (r *relay) heal() {
	if r.silent.Load() || r.oneWay.Load() {
		r.reset()
	}
	r.silent.Store(false)
	r.oneWay.Store(false)
	r.delay.Store(0)
}
