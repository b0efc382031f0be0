package caller

import (
	"context"
	"errors"
	"io"
	"os"
	"time"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// http.Server.Shutdown is not used: from its call on, the server reads requests on open connections and closes them
// without an answer.

// lastReadWait is how long a connection without a request is still read before it is closed. A request that is on
// its way then is answered; a round trip to callers takes 6 ms.
const lastReadWait = clock.Millis(20)

// departure is how far the connections have come towards the end of the process. It is one of the types below.
type departure interface{ departure() }

// staying means that connections are kept.
type staying struct{}

// departing means that each connection is closed once no request is on it.
type departing struct{}

// departed means that no request is read any more, and that those which have been read get their answer.
type departed struct{}

func (staying) departure()   {}
func (departing) departure() {}
func (departed) departure()  {}

// Leave closes the listener, and each connection as soon as no request is on it.
func (s *Server) Leave() {
	s.listener.leave()
	// Serve reports an error of the listener while the server stays.
	_ = s.listener.Listener.Close()
}

// Finish gives up the requests that have not arrived whole. Those whose headers have are refused.
func (s *Server) Finish() { s.listener.finish() }

// AwaitClosed waits until all connections are closed. Leave has to be called before.
func (s *Server) AwaitClosed(ctx context.Context) error {
	select {
	case <-s.listener.empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *connections) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.departure = departing{}
	for _, n := range c.byID {
		if n.isEnding() {
			n.expireRead(lastReadWait)
		}
	}
	c.checkEmpty()
}

func (c *connections) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.departure = departed{}
	for _, n := range c.byID {
		if !n.isServed() {
			n.expireRead(0)
		}
	}
	c.intake.Seal(c.clock.Now())
}

func (c *connections) isStaying() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.departure.(staying)
	return ok
}

// checkEmpty tells AwaitClosed once the last connection is closed.
func (c *connections) checkEmpty() {
	if _, ok := c.departure.(staying); ok || len(c.byID) > 0 || c.isEmpty {
		return
	}
	c.isEmpty = true
	close(c.empty)
}

// expireRead ends the present read of a connection.
func (n *connection) expireRead(after clock.Millis) {
	// An error means that the connection is closed already.
	_ = n.SetReadDeadline(time.Now().Add(after.Duration()))
}

// isEnding reports whether the connection is to be closed unless a request arrives.
func (n *connection) isEnding() bool {
	_, stays := n.all.departure.(staying)
	_, waits := n.exchange.(awaiting)
	return !stays && waits
}

// isServed reports whether a request has arrived whole and has no answer yet.
func (n *connection) isServed() bool {
	_, isHandling := n.exchange.(handling)
	return isHandling && !n.all.intake.IsReading(n.state)
}

// Read implements net.Conn. While the process ends, a connection without a request ends as if its caller had closed
// it, once all that has arrived is read.
func (n *connection) Read(b []byte) (int, error) {
	// Where the processor is late, the deadline may have passed before a request is read that arrived earlier.
	const tries = 2
	for range tries {
		if !n.beginRead() {
			// The server answers the end of a connection within headers with 400, and a time-out with nothing.
			return 0, os.ErrDeadlineExceeded
		}
		count, err := n.Conn.Read(b)
		if ends := n.endRead(count, err); !ends {
			return count, err
		}
	}
	return 0, io.EOF
}

// beginRead reports whether the connection is still read.
func (n *connection) beginRead() bool {
	n.all.mu.Lock()
	defer n.all.mu.Unlock()
	if _, ok := n.all.departure.(departed); ok && !n.isServed() {
		return false
	}
	if n.isEnding() {
		n.expireRead(lastReadWait)
	}
	return true
}

// endRead records the end of a read. It reports whether the read has found nothing on a connection that is to be closed.
func (n *connection) endRead(count int, err error) (ends bool) {
	n.all.mu.Lock()
	defer n.all.mu.Unlock()
	isLate := errors.Is(err, os.ErrDeadlineExceeded)
	if count == 0 && isLate && n.isEnding() {
		return true
	}
	if _, ok := n.exchange.(awaiting); ok && count > 0 {
		if n.isEnding() {
			n.expireRead(headerTimeout)
		}
		n.exchange = arriving{}
	}
	if err != nil && !n.closed {
		_, isArriving := n.exchange.(arriving)
		n.callerGone = n.callerGone || isArriving || !isLate
	}
	return false
}
