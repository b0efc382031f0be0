//go:build review

package main

import (
	"net"
	"sync"
	"time"
)

// relay forwards connections to a target. It can hold them up, as a partition does, or reset them.
type relay struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	held  chan struct{}
	conns map[net.Conn]bool
	// silent are connections that deliver nothing any more.
	silent map[net.Conn]bool
}

func newRelay(target string) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	r := &relay{target: target, listener: l, conns: map[net.Conn]bool{}, silent: map[net.Conn]bool{}}
	go func() {
		for {
			n, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(n)
		}
	}()
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) setHeld(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case on && r.held == nil:
		r.held = make(chan struct{})
	case !on && r.held != nil:
		close(r.held)
		r.held = nil
	}
}

func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for n := range r.conns {
		if t, ok := n.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = n.Close()
	}
}

// silence makes the present connections go silent for good, without a reset.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for n := range r.conns {
		r.silent[n] = true
	}
}

func (r *relay) isSilent(n net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.silent[n]
}

func (r *relay) pass() {
	for {
		r.mu.Lock()
		held := r.held
		r.mu.Unlock()
		if held == nil {
			return
		}
		<-held
	}
}

func (r *relay) track(n net.Conn, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if on {
		r.conns[n] = true
	} else {
		delete(r.conns, n)
		delete(r.silent, n)
	}
}

func (r *relay) serve(a net.Conn) {
	r.track(a, true)
	defer r.track(a, false)
	defer func() { _ = a.Close() }()
	r.pass()
	b, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		if t, ok := a.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		return
	}
	r.track(b, true)
	defer r.track(b, false)
	defer func() { _ = b.Close() }()
	done := make(chan struct{}, 2)
	copyTo := func(to, from net.Conn) {
		buffer := make([]byte, 16<<10)
		for {
			n, err := from.Read(buffer)
			r.pass()
			if n > 0 && !r.isSilent(from) {
				if _, err := to.Write(buffer[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		done <- struct{}{}
	}
	go copyTo(a, b)
	go copyTo(b, a)
	<-done
}
