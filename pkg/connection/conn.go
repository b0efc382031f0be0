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
	// isLate means that the time limit of the headers has passed.
	isLate bool
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
	c.exchange, c.isLate = e, false
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
	for {
		if !c.beginRead() {
			return 0, os.ErrDeadlineExceeded
		}
		count, err := c.Conn.Read(b)
		if again, err := c.endRead(count, err); !again {
			return count, err
		}
	}
}

// beginRead reports whether the connection is still read.
func (c *Conn) beginRead() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if _, ok := c.listener.departure.(departed); ok && !c.isServed() {
		c.giveUpHeaders()
		return false
	}
	if c.isEnding() && !c.isLate {
		c.expireRead(LastReadWait)
	}
	return true
}

// endRead records the end of a read. It reports whether to read again, or else the error to return.
func (c *Conn) endRead(count int, err error) (again bool, _ error) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	hasTimedOut := count == 0 && errors.Is(err, os.ErrDeadlineExceeded)
	if hasTimedOut && c.awaitsHeaders() && !c.isLate {
		// Without processor time, the deadline may have passed before a read of what had arrived in time.
		c.isLate = true
		c.expireRead(LastReadWait)
		return true, nil
	}
	if hasTimedOut {
		c.giveUpHeaders()
		if c.isEnding() {
			return false, io.EOF
		}
		return false, err
	}
	if _, ok := c.exchange.(awaiting); ok && count > 0 {
		if c.isEnding() {
			c.expireRead(c.listener.config.HeaderTimeout)
		}
		c.exchange, c.isLate = arriving{}, false
	}
	if err != nil && !c.closed {
		c.callerGone = true
	}
	return false, err
}

// awaitsHeaders reports whether no handler has a request.
func (c *Conn) awaitsHeaders() bool {
	switch c.exchange.(type) {
	case awaiting, arriving:
		return true
	case receiving, handling, answering:
	}
	return false
}

// giveUpHeaders records that a request whose headers are not whole is not read any more.
func (c *Conn) giveUpHeaders() {
	if _, ok := c.exchange.(arriving); ok && !c.closed {
		c.callerGone, c.isLate = true, true
	}
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	if !c.beginWrite() {
		return len(b), nil
	}
	count, err := c.Conn.Write(b)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.failWrite()
	}
	return count, err
}

// beginWrite reports whether something may be written. The server answers itself what it cannot read, and takes headers
// of which the last ones were late for invalid ones.
func (c *Conn) beginWrite() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if _, ok := c.exchange.(arriving); !ok {
		return true
	}
	if c.isLate && c.callerGone {
		return false
	}
	c.exchange = answering{}
	return true
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
