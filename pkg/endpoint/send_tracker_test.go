package endpoint

import (
	"net"
	"net/http/httptrace"
	"testing"
)

// Guards against bytes that are sent after an attempt was reported as not started, and
// against a second connection for an attempt of which bytes were sent.
func TestNothingIsSentAfterConfirmUnsent(t *testing.T) {
	newConn := func() *trackedConn {
		client, server := net.Pipe()
		go func() { _, _ = server.Read(make([]byte, 8)) }()
		return &trackedConn{Conn: client}
	}
	first, second := newConn(), newConn()
	tracker := &sendTracker{}
	tracker.gotConn(httptrace.GotConnInfo{Conn: first})
	if !tracker.confirmUnsent() {
		t.Error("got sent before any write, want unsent")
	}
	if n, err := first.Write([]byte("x")); n != 0 || err == nil {
		t.Errorf("got %d bytes and error %v after confirmUnsent, want none and an error", n, err)
	}
	tracker = &sendTracker{}
	first = newConn()
	tracker.gotConn(httptrace.GotConnInfo{Conn: first})
	if _, err := first.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	tracker.gotConn(httptrace.GotConnInfo{Conn: second})
	if n, err := second.Write([]byte("x")); n != 0 || err == nil {
		t.Errorf("got %d bytes and error %v on a second connection, want none and an error", n, err)
	}
	if tracker.confirmUnsent() {
		t.Error("got unsent after a write, want sent")
	}
}

// Guards against "not started" for a request whose connection was reassigned to another one:
// net/http can reassign a connection before the call that used it returns.
func TestSentBytesAreTrackedAfterConnectionIsReassigned(t *testing.T) {
	client, server := net.Pipe()
	go func() { _, _ = server.Read(make([]byte, 8)) }()
	conn := &trackedConn{Conn: client}
	first, second := &sendTracker{}, &sendTracker{}
	first.gotConn(httptrace.GotConnInfo{Conn: conn})
	if _, err := conn.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	second.gotConn(httptrace.GotConnInfo{Conn: conn})
	if first.confirmUnsent() {
		t.Error("got unsent for the first request, want sent")
	}
	if !second.confirmUnsent() {
		t.Error("got sent for the second request, want unsent")
	}
}
