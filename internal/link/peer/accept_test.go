package peer

import (
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/control/node"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// exhaustedListener fails to accept some connections, as it does while the process has no file descriptors
// left.
type exhaustedListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a process that ends because it was short of file descriptors for a moment.
func TestServerOutlivesErrorsOfAccept(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	exhausted := &exhaustedListener{Listener: listener}
	exhausted.failures.Store(2)
	var reported atomic.Int32
	server, err := NewServer(ServerConfig{
		Listener: exhausted, Local: &slowLeader{submitted: make(chan node.PeerSubmitted, 1)}, SubmitTimeout: clock.Second, ControlTimeout: clock.Second,
		AcceptFailed: func(error) { reported.Add(1) },
	})
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve() }()
	client := NewClient(ClientConfig{Dialer: &silencingDialer{}, Timeout: 5000})
	defer client.Close()
	if _, _, err := client.FetchEndpoints(shard.Member{Incarnation: "vm-2", Address: listener.Addr().String()}); err != nil {
		t.Errorf("got %v, want an answer once there are descriptors again", err)
	}
	if got, want := reported.Load(), int32(2); got != want {
		t.Errorf("got %d errors reported, want %d", got, want)
	}
	server.Close()
	if err := <-served; err != nil {
		t.Errorf("got %v from Serve, want nil after Close", err)
	}
}
