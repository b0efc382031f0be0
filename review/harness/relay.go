//go:build review

package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// relay is a loopback proxy to one address, whose open connections can go silent.
type relay struct {
	address, target string

	mu    sync.Mutex
	conns []*relayed
	// isCut means that connections are reset, the new ones too.
	isCut bool
}

// relayed is a connection of a relay. While it is silent, it takes all bytes and passes none on.
type relayed struct {
	ends   [2]net.Conn
	silent atomic.Bool
}

func newRelay(target string) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("listen for relay: %v", err)
	}
	r := &relay{address: l.Addr().String(), target: target}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.connect(c)
		}
	}()
	return r
}

func (r *relay) connect(c net.Conn) {
	upstream, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = c.Close()
		return
	}
	one := &relayed{ends: [2]net.Conn{c, upstream}}
	r.mu.Lock()
	r.conns = append(r.conns, one)
	isCut := r.isCut
	r.mu.Unlock()
	if isCut {
		one.reset()
		return
	}
	go one.forward(upstream, c)
	one.forward(c, upstream)
}

func (o *relayed) forward(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err == nil && !o.silent.Load() {
			_, err = to.Write(buffer[:n])
		}
		if err != nil && !o.silent.Load() {
			_ = to.Close()
		}
		if err != nil {
			_ = from.Close()
			return
		}
	}
}

// silence makes the connections that are open now silent for good. New ones work.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range r.conns {
		o.silent.Store(true)
	}
}

// cut resets all connections until heal.
func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isCut = true
	for _, o := range r.conns {
		o.reset()
	}
}

// heal lets new connections work again.
func (r *relay) heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isCut = false
}

func (o *relayed) reset() {
	for _, c := range o.ends {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}
