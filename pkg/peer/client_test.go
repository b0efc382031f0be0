package peer_test

import (
	"context"
	"net"
	"sync"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/entry"
	"github.com/sequoiacart/sequoiacart/pkg/peer"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// pipeDialer connects to in-memory peers that run the serve function.
type pipeDialer struct {
	mu     sync.Mutex
	serve  func(net.Conn)
	dialed int
}

func (d *pipeDialer) DialContext(context.Context, string, string) (net.Conn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dialed++
	clientEnd, serverEnd := net.Pipe()
	go d.serve(serverEnd)
	return clientEnd, nil
}

// Guards against a call that blocks for ever at a peer that accepts the connection and reads
// nothing. The call must end with its context, and the connection must not be reused.
func TestCallEndsWithContextWhenPeerDoesNotRead(t *testing.T) {
	connected := make(chan struct{}, 2)
	d := &pipeDialer{serve: func(net.Conn) { connected <- struct{}{} }}
	c := peer.NewClient(peer.ClientConfig{Dialer: d})
	defer c.Close()
	for want := 1; want <= 2; want++ {
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-connected
			cancel()
		}()
		_, err := c.Heartbeat(ctx, vm.VM{Incarnation: "b-1", PeerAddress: "b:7001"}, entry.Heartbeat{})
		if err == nil {
			t.Fatal("got an answer, want an error")
		}
		if d.dialed != want {
			t.Errorf("got %d connections, want %d", d.dialed, want)
		}
	}
}
