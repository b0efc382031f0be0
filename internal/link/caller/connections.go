package caller

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/internal/link/intake"
	"github.com/sequoiacart/sequoiacart/internal/world/link"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// connections applies the decisions of an intake to the connections of callers. It is a listener, and safe for
// concurrent use.
type connections struct {
	net.Listener
	clock   clock.Clock
	counter Counter
	turned  func(TurnedAway)
	// unanswered is called for each request without an answer; it may be nil.
	unanswered func(Unanswered)
	// answerTimeout is how long a caller may take to read an answer; 0 means any time.
	answerTimeout clock.Millis

	// empty is closed once the last connection is closed while the process ends.
	empty chan struct{}

	mu        sync.Mutex
	intake    *intake.Intake
	byID      map[*intake.Connection]*connection
	departure departure
	isEmpty   bool
}

// connection is the connection of a caller.
type connection struct {
	net.Conn
	all   *connections
	state *intake.Connection
	// exchange and the fields below belong to the lock of all connections. callerGone means that the caller has
	// disconnected, or has not sent the rest of its headers in time, and closed that this VM has closed the connection.
	exchange           exchange
	callerGone, closed bool
}

// TurnedAway says what a VM has just given up for want of room.
type TurnedAway struct {
	// Reason is one of the names of the counters below.
	Reason      string
	Connections int
	BodyBytes   link.Bytes
}

// Counters of what is turned away.
const (
	connectionRefused = "callers.connectionsRefused"
	connectionCut     = "callers.connectionsCut"
	answerUnread      = "callers.answersUnread"
	bodyRefused       = "callers.bodiesRefused"
	bodyCut           = "callers.bodiesCut"
	jobOverLimit      = "callers.jobsOverLimit"
)

func newConnections(l net.Listener, i *intake.Intake, c Config) *connections {
	return &connections{Listener: l, clock: c.Clock, counter: c.Counter, turned: c.TurnedAway, unanswered: c.Unanswered, answerTimeout: c.AnswerTimeout, intake: i, byID: make(map[*intake.Connection]*connection), empty: make(chan struct{}), departure: staying{}}
}

// Accept implements net.Listener. It returns a connection once there is room for it.
func (c *connections) Accept() (net.Conn, error) {
	for {
		accepted, err := c.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if n := c.open(accepted); n != nil {
			return n, nil
		}
		_ = accepted.Close()
	}
}

func (c *connections) open(accepted net.Conn) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isEmpty {
		return nil
	}
	state, given := c.intake.Open(c.clock.Now())
	if given != nil {
		c.cut(given, connectionCut)
	}
	if state == nil {
		c.report(connectionRefused)
		return nil
	}
	n := &connection{Conn: accepted, all: c, state: state, exchange: awaiting{}}
	c.byID[state] = n
	return n
}

// cut ends the wait of a connection that was given up. One whose body is being read gets an answer.
func (c *connections) cut(given *intake.Connection, reason string) {
	n := c.byID[given]
	c.report(reason)
	if n == nil {
		return
	}
	if reason == bodyCut {
		// An error means that the connection is closed already.
		_ = n.SetReadDeadline(time.Unix(1, 0))
		return
	}
	delete(c.byID, given)
	c.checkEmpty()
	_ = n.Conn.Close()
}

func (c *connections) reportUnanswered(u Unanswered) {
	c.counter.Count(unanswered + string(u))
	if c.unanswered != nil {
		c.unanswered(u)
	}
}

func (c *connections) report(reason string) {
	c.counter.Count(reason)
	if c.turned != nil {
		c.turned(TurnedAway{Reason: reason, Connections: c.intake.Connections(), BodyBytes: c.intake.Buffered()})
	}
}

// Write implements net.Conn.
func (n *connection) Write(b []byte) (int, error) {
	n.all.mu.Lock()
	if _, ok := n.exchange.(arriving); ok {
		// The server answers itself what it cannot read.
		n.exchange = answering{}
	}
	n.all.mu.Unlock()
	count, err := n.Conn.Write(b)
	if err == nil {
		return count, nil
	}
	n.all.mu.Lock()
	defer n.all.mu.Unlock()
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		n.all.report(answerUnread)
	case n.closed && !n.callerGone:
		n.all.reportUnanswered(UnansweredAnswering)
	}
	return count, err
}

// Close implements net.Conn.
func (n *connection) Close() error {
	n.all.mu.Lock()
	n.all.intake.Close(n.state)
	delete(n.all.byID, n.state)
	n.all.checkEmpty()
	if !n.closed && !n.callerGone {
		switch n.exchange.(type) {
		case arriving:
			n.all.reportUnanswered(UnansweredArriving)
		case handling:
			n.all.reportUnanswered(UnansweredHandling)
		case awaiting, answering:
		}
	}
	n.closed = true
	n.all.mu.Unlock()
	return n.Conn.Close()
}

// enter records what the connection does from now on.
func (n *connection) enter(e exchange) {
	n.all.mu.Lock()
	defer n.all.mu.Unlock()
	n.exchange = e
}

// trackAnswers records when the server has written an answer and waits for the next request.
func trackAnswers(c net.Conn, state http.ConnState) {
	if n, ok := c.(*connection); ok && state == http.StateIdle {
		n.enter(awaiting{})
	}
}

// grow makes room for the buffer of a body.
func (n *connection) grow(size int) bool {
	c := n.all
	c.mu.Lock()
	defer c.mu.Unlock()
	given, ok := c.intake.Grow(n.state, link.Bytes(size), c.clock.Now())
	for _, g := range given {
		c.cut(g, bodyCut)
	}
	if !ok && c.intake.IsReading(n.state) {
		c.report(bodyRefused)
	}
	return ok
}

// update calls a method of the intake for the connection.
func (n *connection) update(do func(i *intake.Intake, s *intake.Connection, now clock.Millis) bool) bool {
	n.all.mu.Lock()
	defer n.all.mu.Unlock()
	return do(n.all.intake, n.state, n.all.clock.Now())
}

// extend sets the time until which the next bytes of a body have to arrive. It reports false if the connection was cut.
func (n *connection) extend(deadline time.Time) bool {
	return n.update(func(i *intake.Intake, s *intake.Connection, _ clock.Millis) bool {
		return i.IsReading(s) && n.SetReadDeadline(deadline) == nil
	})
}

// endBody records that a body is not read any more, and lifts its time limit.
func (n *connection) endBody() (kept bool) {
	return n.update(func(i *intake.Intake, s *intake.Connection, _ clock.Millis) bool {
		if !i.EndBody(s) {
			return false
		}
		// The server waits on the connection for the caller to disconnect.
		return n.SetReadDeadline(time.Time{}) == nil
	})
}

type connectionKey struct{}

// connContext lets handlers find the connection of a request.
func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

func connectionOf(r *http.Request) *connection {
	n, _ := r.Context().Value(connectionKey{}).(*connection)
	return n
}

// trackRequests records when the requests of a connection begin and end.
func trackRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := connectionOf(r)
		if n != nil {
			if !n.update(func(i *intake.Intake, s *intake.Connection, _ clock.Millis) bool { return i.Begin(s) }) {
				panic(http.ErrAbortHandler)
			}
			n.enter(handling{})
			defer n.endRequest()
		}
		next.ServeHTTP(w, r)
	})
}

// endRequest records that a request has been answered. The server writes the answer after that, and then lifts the
// time limit.
func (n *connection) endRequest() {
	n.enter(answering{})
	if n.all.answerTimeout > 0 {
		// An error means that the connection is closed already.
		_ = n.SetWriteDeadline(time.Now().Add(n.all.answerTimeout.Duration()))
	}
	n.update(func(i *intake.Intake, s *intake.Connection, now clock.Millis) bool {
		i.End(s, now)
		return true
	})
}
