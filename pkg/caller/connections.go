package caller

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/labstack/echo/v4"
	"golang.org/x/net/netutil"

	"github.com/sequoiacart/sequoiacart/pkg/connection"
)

// boundedListener accepts connections up to a limit.
type boundedListener struct {
	net.Listener
	unbounded net.Listener
}

func newBoundedListener(l net.Listener, limit int) boundedListener {
	return boundedListener{Listener: netutil.LimitListener(l, limit), unbounded: l}
}

// SetDeadline ends an Accept at a point in time.
func (l boundedListener) SetDeadline(t time.Time) error {
	if d, ok := l.unbounded.(interface{ SetDeadline(time.Time) error }); ok {
		return d.SetDeadline(t)
	}
	return errors.NotSupportedf("deadline of a %T", l.unbounded)
}

type connectionKey struct{}

// connContext lets handlers find the connection of a request.
func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// trackAnswers records when the server has written an answer and waits for the next request.
func trackAnswers(c net.Conn, state http.ConnState) {
	if n, ok := c.(*connection.Conn); ok && state == http.StateIdle {
		n.Answered()
	}
}

// trackRequests records when the requests of a connection begin and end. Once the server leaves, each answer closes its
// connection.
func (s *Server) trackRequests(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		n, ok := c.Request().Context().Value(connectionKey{}).(*connection.Conn)
		if !ok {
			return next(c)
		}
		n.Begin()
		defer n.End()
		c.Response().Before(func() {
			if !s.connections.IsStaying() {
				c.Response().Header().Set(echo.HeaderConnection, "close")
			}
		})
		return next(c)
	}
}
