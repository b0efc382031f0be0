package connection

import (
	"errors"
	"io"
	"net"
	"os"
	"time"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// LastReadWait is how long a connection without a request is still read before it is closed. A request that is on
// its way then is answered; a round trip to callers takes 6 ms.
const LastReadWait = clock.Millis(20)

// Conn is the connection of a caller. The server says what it does with its requests by the methods from Begin to
// Answered.
type Conn struct {
	net.Conn
	listener *Listener
	// The fields below belong to the lock of the listener. callerGone means that the caller has disconnected, or has
	// not sent the rest of its headers in time, and closed that this process has closed the connection.
	exchange           exchange
	callerGone, closed bool
}

// Begin records that a handler has a request.
func (c *Conn) Begin() { c.enter(handling{}) }

// Receive records that the handler begins to read the body of its request.
func (c *Conn) Receive() { c.enter(receiving{}) }

// Received records that the handler has the body, or does without it.
func (c *Conn) Received() { c.enter(handling{}) }

// End records that the handler has ended. The server writes the answer.
func (c *Conn) End() { c.enter(answering{}) }

// Answered records that the answer is written, and that the next request may arrive.
func (c *Conn) Answered() { c.enter(awaiting{}) }

func (c *Conn) enter(e exchange) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.exchange = e
}

// Cut closes the connection while a request may be on it. Its caller counts as gone.
func (c *Conn) Cut() {
	c.listener.mu.Lock()
	c.callerGone = true
	c.listener.remove(c)
	c.listener.mu.Unlock()
	_ = c.Conn.Close()
}

// Read implements net.Conn. While the process ends, a connection without a request ends as if its caller had closed
// it, once all that has arrived is read.
func (c *Conn) Read(b []byte) (int, error) {
	// Where the processor is late, the deadline may have passed before a request is read that arrived earlier.
	const tries = 2
	for range tries {
		if !c.beginRead() {
			// The server answers the end of a connection within headers with 400, and a time-out with nothing.
			return 0, os.ErrDeadlineExceeded
		}
		count, err := c.Conn.Read(b)
		if ends := c.endRead(count, err); !ends {
			return count, err
		}
	}
	return 0, io.EOF
}

// beginRead reports whether the connection is still read.
func (c *Conn) beginRead() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if _, ok := c.listener.departure.(departed); ok && !c.isServed() {
		return false
	}
	if c.isEnding() {
		c.expireRead(LastReadWait)
	}
	return true
}

// endRead records the end of a read. It reports whether the read has found nothing on a connection that is to be closed.
func (c *Conn) endRead(count int, err error) (ends bool) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	isLate := errors.Is(err, os.ErrDeadlineExceeded)
	if count == 0 && isLate && c.isEnding() {
		return true
	}
	if _, ok := c.exchange.(awaiting); ok && count > 0 {
		if c.isEnding() {
			c.expireRead(c.listener.config.HeaderTimeout)
		}
		c.exchange = arriving{}
	}
	if err != nil && !c.closed {
		_, isArriving := c.exchange.(arriving)
		c.callerGone = c.callerGone || isArriving || !isLate
	}
	return false
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.beginWrite()
	count, err := c.Conn.Write(b)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.failWrite()
	}
	return count, err
}

func (c *Conn) beginWrite() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if _, ok := c.exchange.(arriving); ok {
		// The server answers itself what it cannot read.
		c.exchange = answering{}
	}
}

func (c *Conn) failWrite() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.closed && !c.callerGone {
		c.listener.reportUnanswered(UnansweredAnswering)
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.endExchange()
	return c.Conn.Close()
}

// endExchange reports a request that is on the connection when it is closed.
func (c *Conn) endExchange() {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remove(c)
	if !c.closed && !c.callerGone {
		switch c.exchange.(type) {
		case arriving:
			l.reportUnanswered(UnansweredArriving)
		case receiving, handling:
			l.reportUnanswered(UnansweredHandling)
		case awaiting, answering:
		}
	}
	c.closed = true
}

// expireRead ends the present read.
func (c *Conn) expireRead(after clock.Millis) {
	// An error means that the connection is closed already.
	_ = c.SetReadDeadline(time.Now().Add(after.Duration()))
}

// isEnding reports whether the connection is to be closed unless a request arrives.
func (c *Conn) isEnding() bool {
	_, waits := c.exchange.(awaiting)
	return waits && !c.listener.stays()
}

// isServed reports whether a request has arrived whole and has no answer yet.
func (c *Conn) isServed() bool {
	_, isHandling := c.exchange.(handling)
	return isHandling
}
