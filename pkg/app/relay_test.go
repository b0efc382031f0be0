package app

import (
	"io"
	"net"
	"sync"
	"testing"
)

// relay forwards TCP connections. While cut, it accepts connections but forwards nothing, so that
// the peer appears to hang.
type relay struct {
	listener net.Listener

	mu     sync.Mutex
	target string
	cut    bool
	conns  []net.Conn
}

func newRelay(t *testing.T) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: listener}
	go r.accept()
	t.Cleanup(func() {
		_ = listener.Close()
		r.closeAll()
	})
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) setTarget(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = address
}

// setCut cuts or restores the relay. Either way it closes the open connections.
func (r *relay) setCut(cut bool) {
	r.mu.Lock()
	r.cut = cut
	r.mu.Unlock()
	r.closeAll()
}

func (r *relay) closeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.Close()
	}
	r.conns = nil
}

func (r *relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(conn)
	}
}

func (r *relay) forward(conn net.Conn) {
	r.mu.Lock()
	r.conns = append(r.conns, conn)
	cut, target := r.cut, r.target
	r.mu.Unlock()
	if cut {
		return
	}
	out, err := net.Dial("tcp", target)
	if err != nil {
		_ = conn.Close()
		return
	}
	r.mu.Lock()
	r.conns = append(r.conns, out)
	r.mu.Unlock()
	go func() {
		_, _ = io.Copy(out, conn)
		_ = out.Close()
	}()
	_, _ = io.Copy(conn, out)
	_ = conn.Close()
}
