// Package caller serves the HTTP interface for callers.
package caller

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"

	"github.com/juju/errors"
	"github.com/labstack/echo/v4"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
)

// Service answers callers.
type Service interface {
	Reserve(ctx context.Context, o owner.ID, count int) ([]contract.SubmissionID, error)
	Submit(ctx context.Context, s contract.Submission, wait clock.Millis) contract.Answer
	Ask(ctx context.Context, id contract.SubmissionID, o owner.ID, wait clock.Millis) contract.Answer
	Cancel(ctx context.Context, id contract.SubmissionID, o owner.ID) contract.Answer
}

// Authenticator finds the owner of a bearer token.
type Authenticator interface {
	OwnerOf(token string) (owner.Owner, bool)
}

// Readiness tells whether this VM takes new work.
type Readiness interface {
	Ready() bool
}

// Config holds what a server is made of.
type Config struct {
	Listener  net.Listener
	Service   Service
	Owners    Authenticator
	Readiness Readiness
	BodyBytes int64
	MaxWait   clock.Millis
	MaxIDs    int
}

// Server is the HTTP server for callers.
type Server struct {
	config Config
	echo   *echo.Echo
}

// NewServer returns a server that does not yet accept connections.
func NewServer(c Config) *Server {
	s := &Server{config: c, echo: echo.New()}
	s.echo.HideBanner, s.echo.HidePort = true, true
	s.echo.Listener = c.Listener
	s.echo.GET("/healthz", func(ec echo.Context) error { return ec.NoContent(http.StatusOK) })
	s.echo.GET("/readyz", s.ready)
	v1 := s.echo.Group("/v1", s.authenticate)
	v1.POST("/ids", s.reserve)
	v1.PUT("/jobs/:id", s.submitJob)
	v1.PUT("/requests/:id", s.submitRequest)
	v1.GET("/jobs/:id", s.ask)
	v1.DELETE("/jobs/:id", s.cancel)
	return s
}

// Serve accepts connections until Shutdown.
func (s *Server) Serve() error {
	return s.echo.Start("")
}

// Shutdown stops accepting and waits for the requests in flight.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.echo.Shutdown(ctx)
}

// Close drops all connections at once.
func (s *Server) Close() {
	_ = s.echo.Close()
}

const ownerKey = "owner"

func (s *Server) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		token, ok := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
		if !ok {
			return writeProblem(c, http.StatusUnauthorized, problem{Type: "unauthorized", Detail: "authenticate caller: send a bearer token"})
		}
		o, ok := s.config.Owners.OwnerOf(token)
		if !ok {
			return writeProblem(c, http.StatusUnauthorized, problem{Type: "unauthorized", Detail: "authenticate caller: no owner has this token"})
		}
		c.Set(ownerKey, o.ID)
		return next(c)
	}
}

func (s *Server) ready(c echo.Context) error {
	if !s.config.Readiness.Ready() {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.NoContent(http.StatusOK)
}

func (s *Server) reserve(c echo.Context) error {
	var body wireReserve
	if err := s.decode(c, &body); err != nil {
		return badRequest(c, err)
	}
	if body.Count < 1 || body.Count > s.config.MaxIDs {
		return badRequest(c, errors.NotValidf("reserve ids: count %d, allowed 1 to %d: count", body.Count, s.config.MaxIDs))
	}
	ids, err := s.config.Service.Reserve(c.Request().Context(), ownerOf(c), body.Count)
	if err != nil {
		return writeProblem(c, http.StatusServiceUnavailable, problem{Type: "refused", Detail: err.Error()})
	}
	return c.JSON(http.StatusOK, encodeIDs(ids))
}

func (s *Server) submitJob(c echo.Context) error {
	var body wireJob
	if err := s.decode(c, &body); err != nil {
		return badRequest(c, err)
	}
	return s.submit(c, decodeJob(body))
}

func (s *Server) submitRequest(c echo.Context) error {
	var body wireRequest
	if err := s.decode(c, &body); err != nil {
		return badRequest(c, err)
	}
	return s.submit(c, decodeRequest(body))
}

func (s *Server) submit(c echo.Context, submission contract.Submission) error {
	id, wait, err := s.idAndWait(c)
	if err != nil {
		return badRequest(c, err)
	}
	if len(submission.Tasks) == 0 {
		return badRequest(c, errors.NotValidf("submit %s: a job needs a task: job", id))
	}
	submission.ID, submission.Owner = id, ownerOf(c)
	return writeAnswer(c, s.config.Service.Submit(c.Request().Context(), submission, wait))
}

func (s *Server) ask(c echo.Context) error {
	id, wait, err := s.idAndWait(c)
	if err != nil {
		return badRequest(c, err)
	}
	return writeAnswer(c, s.config.Service.Ask(c.Request().Context(), id, ownerOf(c), wait))
}

func (s *Server) cancel(c echo.Context) error {
	id, _, err := s.idAndWait(c)
	if err != nil {
		return badRequest(c, err)
	}
	return writeAnswer(c, s.config.Service.Cancel(c.Request().Context(), id, ownerOf(c)))
}

func (s *Server) idAndWait(c echo.Context) (contract.SubmissionID, clock.Millis, error) {
	id, err := contract.ParseSubmissionID(c.Param("id"))
	if err != nil {
		return contract.SubmissionID{}, 0, err
	}
	text := c.QueryParam("waitMs")
	if text == "" {
		return id, 0, nil
	}
	wait, err := strconv.ParseInt(text, 10, 64)
	if err != nil || wait < 0 {
		return id, 0, errors.NotValidf("read waitMs %q: give milliseconds from 0: waitMs", text)
	}
	return id, min(clock.Millis(wait), s.config.MaxWait), nil
}

func ownerOf(c echo.Context) owner.ID {
	id, _ := c.Get(ownerKey).(owner.ID)
	return id
}
