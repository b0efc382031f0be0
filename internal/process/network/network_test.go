package network

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/world/link"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// Guards against a start that a partition holds up and delivers after its sender has given it up, to the
// next incarnation of the endpoint for example.
func TestClosedConnectionsAreReset(t *testing.T) {
	for _, tt := range []struct {
		name  string
		reset bool
		want  error
	}{{"to endpoints", true, syscall.ECONNRESET}, {"others", false, io.EOF}} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		c := Config{DialTimeout: clock.Second, UnacknowledgedTimeout: clock.Second, ResetOnClose: tt.reset, Link: NewLink(link.MegabitsPerSecond(1000), clock.NewManual(clock.Hour))}
		client, err := c.DialContext(t.Context(), "tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		server, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		_ = client.Close()
		if _, got := server.Read(make([]byte, 1)); !errors.Is(got, tt.want) {
			t.Errorf("%s: got %v at the other end, want %v", tt.name, got, tt.want)
		}
		_ = server.Close()
		_ = listener.Close()
	}
}
