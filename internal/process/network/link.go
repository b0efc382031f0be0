package network

import (
	"net"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/internal/world/link"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// Link counts the data of all connections of the VM. It is safe for concurrent use.
type Link struct {
	clock clock.Clock
	rate  link.Rate

	mu             sync.Mutex
	sent, received link.Backlog
}

// NewLink returns the link of a VM.
func NewLink(r link.Rate, c clock.Clock) *Link {
	return &Link{clock: c, rate: r, sent: link.NewBacklog(r), received: link.NewBacklog(busyShare * r)}
}

// busyShare is the part of the bandwidth from which on messages are expected to queue on the other side of
// the link, where this VM does not see them.
const busyShare = 0.7

// Rate returns the bandwidth.
func (l *Link) Rate() link.Rate { return l.rate }

// Delay returns how long a message that is sent now waits in front of the link.
func (l *Link) Delay() clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent.Delay(l.clock.Now())
}

// maxPatience bounds Patience.
const maxPatience = clock.Millis(200)

// Patience returns how much longer than usual an answer may take because messages wait in front of the
// link, in both directions.
func (l *Link) Patience() clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	return min(2*(l.sent.Delay(now)+l.received.Delay(now)), maxPatience)
}

func (l *Link) add(b *link.Backlog, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b.Add(link.Bytes(n), l.clock.Now())
}

// linkedConn counts its data at the VM's link.
type linkedConn struct {
	net.Conn
	link *Link
}

func (c linkedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.link.add(&c.link.received, n)
	}
	return n, err
}

func (c linkedConn) Write(b []byte) (int, error) {
	c.link.add(&c.link.sent, len(b))
	return c.Conn.Write(b)
}

// Listener counts the data of the connections that it accepts.
type Listener struct {
	net.Listener
	Link *Link
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return linkedConn{Conn: c, link: l.Link}, nil
}

// SetDeadline ends an Accept at a point in time.
func (l Listener) SetDeadline(t time.Time) error {
	if d, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		return d.SetDeadline(t)
	}
	return errors.NotSupportedf("deadline of a %T", l.Listener)
}
