// Package network opens TCP connections that fail, rather than hang, when the remote host
// stops acknowledging.
package network

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/sequoiacart/sequoiacart/internal/world/link"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// Config holds the timeouts of connections.
type Config struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout clock.Millis
	// UnacknowledgedTimeout is how long sent bytes may stay without an acknowledgement before the
	// connection counts as broken.
	UnacknowledgedTimeout clock.Millis
	// Link is that of the VM.
	Link *Link
	// ResetOnClose discards what has not been delivered when a connection is closed, or its process ends,
	// instead of delivering it when a partition has ended.
	ResetOnClose bool
}

// Dialer returns a dialer with these timeouts.
func (c Config) Dialer() *net.Dialer {
	return &net.Dialer{Timeout: (c.DialTimeout + c.Link.Patience()).Duration(), KeepAlive: -1, Control: c.control}
}

// DialContext opens a TCP connection.
func (c Config) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	opened, err := c.Dialer().DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return linkedConn{Conn: opened, link: c.Link}, nil
}

// Listen opens a listener whose connections hold about so many received bytes each that nobody has read. The limit is
// set before the first connection, since a connection announces it as it opens.
func Listen(ctx context.Context, address string, unread link.Bytes) (net.Listener, error) {
	c := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failure error
		err := raw.Control(func(fd uintptr) {
			failure = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, int(unread))
		})
		if err != nil {
			return err
		}
		return failure
	}}
	return c.Listen(ctx, "tcp", address)
}

func (c Config) control(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(c.UnacknowledgedTimeout))
		if failure == nil && c.ResetOnClose {
			failure = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
		}
	})
	if err != nil {
		return err
	}
	return failure
}
