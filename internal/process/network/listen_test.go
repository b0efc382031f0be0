package network

import (
	"net"
	"testing"
	"time"

	"github.com/sequoiacart/sequoiacart/internal/world/link"
)

// Guards against callers that send more while their request is answered, which is in no buffer of the program and
// counts as memory of the VM.
func TestUnreadBytesAreBounded(t *testing.T) {
	const unread, clientBuffer = link.Bytes(8 << 10), 4 << 10
	listener, err := Listen(t.Context(), "127.0.0.1:0", unread)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.(*net.TCPConn).SetWriteBuffer(clientBuffer); err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepted.Close() }()
	// The write ends when both buffers are full.
	if err := conn.SetWriteDeadline(time.Now().Add(200 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	sent, err := conn.Write(make([]byte, 1<<20))
	if err == nil {
		t.Error("got everything sent, want the client to wait")
	}
	// The kernel doubles both sizes for its own records.
	if got, want := link.Bytes(sent), 2*(unread+clientBuffer); got > want {
		t.Errorf("got %d bytes sent that nobody has read, want %d at most", got, want)
	}
}
