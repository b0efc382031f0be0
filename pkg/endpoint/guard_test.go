package endpoint

import (
	"net"
	"net/http/httptrace"
	"testing"
)

// Guards against bytes that are sent after an attempt was reported as not started, and
// against a second connection for an attempt of which bytes were sent.
func TestGuardLetsNothingOutAfterTheProof(t *testing.T) {
	newConn := func() *countedConn {
		here, there := net.Pipe()
		go func() { _, _ = there.Read(make([]byte, 8)) }()
		return &countedConn{Conn: here}
	}
	first, second := newConn(), newConn()
	g := &guard{}
	g.gotConn(httptrace.GotConnInfo{Conn: first})
	if !g.proveUnsent() {
		t.Error("got sent before any write, want unsent")
	}
	if n, err := first.Write([]byte("x")); n != 0 || err == nil {
		t.Errorf("got %d bytes and error %v after the proof, want none and an error", n, err)
	}
	g = &guard{}
	first = newConn()
	g.gotConn(httptrace.GotConnInfo{Conn: first})
	if _, err := first.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	g.gotConn(httptrace.GotConnInfo{Conn: second})
	if n, err := second.Write([]byte("x")); n != 0 || err == nil {
		t.Errorf("got %d bytes and error %v on a second connection, want none and an error", n, err)
	}
	if g.proveUnsent() {
		t.Error("got unsent after a write, want sent")
	}
}

// Guards against "not started" for a request whose connection was reassigned to another one:
// net/http can reassign a connection before the call that used it returns.
func TestGuardRemembersItsBytesWhenTheConnectionMovesOn(t *testing.T) {
	here, there := net.Pipe()
	go func() { _, _ = there.Read(make([]byte, 8)) }()
	conn := &countedConn{Conn: here}
	first, second := &guard{}, &guard{}
	first.gotConn(httptrace.GotConnInfo{Conn: conn})
	if _, err := conn.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	second.gotConn(httptrace.GotConnInfo{Conn: conn})
	if first.proveUnsent() {
		t.Error("got unsent for the first request, want sent")
	}
	if !second.proveUnsent() {
		t.Error("got sent for the second request, want unsent")
	}
}
