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
	"github.com/sequoiacart/sequoiacart/pkg/connection"
)

// connections applies the decisions of an intake to the connections of callers. It is a listener, and safe for
// concurrent use.
type connections struct {
	*connection.Listener
	clock   clock.Clock
	counter Counter
	turned  func(TurnedAway)
	// answerTimeout is how long a caller may take to read an answer; 0 means any time.
	answerTimeout clock.Millis

	mu     sync.Mutex
	intake *intake.Intake
	byID   map[*intake.Connection]*callerConn
}

// callerConn is the connection of a caller.
type callerConn struct {
	*connection.Conn
	all   *connections
	state *intake.Connection
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

// unanswered is the prefix of the counters of requests without an answer.
const unanswered = "callers.unanswered."

func newConnections(i *intake.Intake, c Config) *connections {
	all := &connections{clock: c.Clock, counter: c.Counter, turned: c.TurnedAway, answerTimeout: c.AnswerTimeout, intake: i, byID: make(map[*intake.Connection]*callerConn)}
	all.Listener = connection.NewListener(connection.Config{Listener: c.Listener, HeaderTimeout: headerTimeout, Unanswered: func(u connection.Unanswered) {
		c.Counter.Count(unanswered + string(u))
		if c.Unanswered != nil {
			c.Unanswered(u)
		}
	}})
	return all
}

// Accept implements net.Listener. It returns a connection once there is room for it.
func (c *connections) Accept() (net.Conn, error) {
	for {
		accepted, err := c.AcceptConn()
		if err != nil {
			return nil, err
		}
		if n := c.open(accepted); n != nil {
			return n, nil
		}
		accepted.Cut()
	}
}

func (c *connections) open(accepted *connection.Conn) *callerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	state, given := c.intake.Open(c.clock.Now())
	if given != nil {
		c.cut(given, connectionCut)
	}
	if state == nil {
		c.report(connectionRefused)
		return nil
	}
	n := &callerConn{Conn: accepted, all: c, state: state}
	c.byID[state] = n
	return n
}

// Finish gives up the requests that have not arrived whole. Those whose headers have are refused.
func (c *connections) Finish() {
	c.mu.Lock()
	c.intake.Seal(c.clock.Now())
	c.mu.Unlock()
	c.Listener.Finish()
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
	n.Cut()
}

func (c *connections) report(reason string) {
	c.counter.Count(reason)
	if c.turned != nil {
		c.turned(TurnedAway{Reason: reason, Connections: c.intake.Connections(), BodyBytes: c.intake.Buffered()})
	}
}

// Write implements net.Conn.
func (n *callerConn) Write(b []byte) (int, error) {
	count, err := n.Conn.Write(b)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		n.all.mu.Lock()
		defer n.all.mu.Unlock()
		n.all.report(answerUnread)
	}
	return count, err
}

// Close implements net.Conn.
func (n *callerConn) Close() error {
	n.all.mu.Lock()
	n.all.intake.Close(n.state)
	delete(n.all.byID, n.state)
	n.all.mu.Unlock()
	return n.Conn.Close()
}

// trackAnswers records when the server has written an answer and waits for the next request.
func trackAnswers(c net.Conn, state http.ConnState) {
	if n, ok := c.(*callerConn); ok && state == http.StateIdle {
		n.Answered()
		n.update(func(i *intake.Intake, s *intake.Connection, now clock.Millis) bool {
			i.End(s, now)
			return true
		})
	}
}

// grow makes room for the buffer of a body.
func (n *callerConn) grow(size int) bool {
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
func (n *callerConn) update(do func(i *intake.Intake, s *intake.Connection, now clock.Millis) bool) bool {
	n.all.mu.Lock()
	defer n.all.mu.Unlock()
	return do(n.all.intake, n.state, n.all.clock.Now())
}

// extend sets the time until which the next bytes of a body have to arrive. It reports false if the connection was cut.
func (n *callerConn) extend(deadline time.Time) bool {
	return n.update(func(i *intake.Intake, s *intake.Connection, _ clock.Millis) bool {
		return i.IsReading(s) && n.SetReadDeadline(deadline) == nil
	})
}

// endBody records that a body is not read any more, and lifts its time limit.
func (n *callerConn) endBody() (kept bool) {
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

func connectionOf(r *http.Request) *callerConn {
	n, _ := r.Context().Value(connectionKey{}).(*callerConn)
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
			n.Begin()
			defer n.endRequest()
		}
		next.ServeHTTP(w, r)
	})
}

// endRequest records that a request has been answered. The server writes the answer after that, and then lifts the
// time limit.
func (n *callerConn) endRequest() {
	n.End()
	if n.all.answerTimeout > 0 {
		// An error means that the connection is closed already.
		_ = n.SetWriteDeadline(time.Now().Add(n.all.answerTimeout.Duration()))
	}
}
