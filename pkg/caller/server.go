// Package caller serves the HTTP API for callers.
package caller

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"
	gometrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/semaphore"

	"github.com/sequoiacart/sequoiacart/pkg/accounting"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/connection"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/event"
	"github.com/sequoiacart/sequoiacart/pkg/metrics"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/trace"
)

// Service handles the calls of callers.
type Service interface {
	Reserve(ctx context.Context, o owner.ID, count int) ([]contract.SubmissionID, error)
	Submit(ctx context.Context, s contract.Submission, wait clock.Millis) contract.Answer
	Ask(ctx context.Context, id contract.SubmissionID, o owner.ID, wait clock.Millis) contract.Answer
	Cancel(ctx context.Context, id contract.SubmissionID, o owner.ID) contract.Answer
	Usage(ctx context.Context) (accounting.Report, error)
}

// Authenticator maps bearer tokens to owners.
type Authenticator interface {
	OwnerOf(token string) (owner.Owner, bool)
}

// Readiness reports whether this VM accepts new work.
type Readiness interface {
	// BundleInForce reports whether a bundle is in force; without one, no caller can be
	// authenticated.
	BundleInForce() bool
	// ShuttingDown reports whether this VM is shutting down.
	ShuttingDown() bool
}

// Limits bound the requests of callers and the answers to them.
type Limits struct {
	BodyBytes int64
	// BodiesBytes bounds the bodies that are being read at the same time.
	BodiesBytes int64
	AnswerBytes int64
	TasksPerJob int
	// IDs bounds the ids reserved by one call.
	IDs int
	// Connections bounds the open connections of all callers; further ones wait in
	// the listener's backlog.
	Connections int
	MaxWait     clock.Millis
	MaxDeadline clock.Millis
	// IdleTimeout bounds how long a connection may stay unused or take to send its request.
	IdleTimeout clock.Millis
}

// Config configures a Server.
type Config struct {
	Listener      net.Listener
	Service       Service
	Authenticator Authenticator
	Readiness     Readiness
	Limits        Limits
	// Metrics counts the answers and is served at /metrics; nil selects metrics with a
	// registry of their own.
	Metrics *metrics.Metrics
	// Tracer records the caller hop; nil records nothing.
	Tracer *trace.Tracer
	// Log receives warnings about invalid tokens and invalid requests; nil logs nothing.
	Log *event.Log
}

// Server is the HTTP server for callers.
type Server struct {
	config Config
	echo   *echo.Echo
	// connections is nil without a listener.
	connections *connection.Listener
	// bodies bounds the total size of the bodies that are being read.
	bodies *semaphore.Weighted
}

// NewServer returns a server that does not yet accept connections.
func NewServer(c Config) *Server {
	if c.Metrics == nil {
		c.Metrics = metrics.New(gometrics.NewRegistry())
	}
	s := &Server{config: c, echo: echo.New(), bodies: semaphore.NewWeighted(c.Limits.BodiesBytes)}
	s.echo.HideBanner, s.echo.HidePort = true, true
	s.echo.HTTPErrorHandler = writeRoutingError
	if c.Listener != nil {
		s.connections = connection.NewListener(connection.Config{Listener: newBoundedListener(c.Listener, c.Limits.Connections), HeaderTimeout: c.Limits.IdleTimeout})
		s.echo.Listener = s.connections
		s.echo.Server.ConnContext, s.echo.Server.ConnState = connContext, trackAnswers
		s.echo.Pre(s.trackRequests)
	}
	s.echo.Server.ReadHeaderTimeout = c.Limits.IdleTimeout.Duration()
	s.echo.Server.ReadTimeout = c.Limits.IdleTimeout.Duration()
	s.echo.Server.IdleTimeout = c.Limits.IdleTimeout.Duration()
	s.routes()
	return s
}

func (s *Server) routes() {
	s.echo.GET("/healthz", func(ec echo.Context) error { return ec.NoContent(http.StatusOK) })
	s.echo.GET("/readyz", s.ready)
	s.echo.GET("/metrics", s.serveMetrics)
	// A group's middleware would turn a wrong method into "not found".
	s.echo.POST("/v1/ids", s.reserve, s.countAnswers, s.authenticate)
	s.echo.PUT("/v1/jobs/:id", s.submitJob, s.countAnswers, s.authenticate)
	s.echo.PUT("/v1/requests/:id", s.submitRequest, s.countAnswers, s.authenticate)
	s.echo.GET("/v1/jobs/:id", s.ask, s.countAnswers, s.authenticate)
	s.echo.DELETE("/v1/jobs/:id", s.cancel, s.countAnswers, s.authenticate)
	s.echo.GET("/v1/usage", s.usage, s.countAnswers, s.authenticate)
}

// Serve accepts connections until Shutdown.
func (s *Server) Serve() error {
	err := s.echo.Start("")
	if !s.connections.IsStaying() {
		return http.ErrServerClosed
	}
	return err
}

// Shutdown stops accepting, and waits until all requests on open connections have been answered.
func (s *Server) Shutdown(ctx context.Context) error {
	defer s.Close()
	s.connections.Leave()
	return s.connections.AwaitClosed(ctx)
}

// Close closes all connections at once.
func (s *Server) Close() {
	_ = s.echo.Close()
}

const ownerKey = "owner"

// retryDelay is the time after which callers may retry. Roster and bundle are polled at this
// interval.
const retryDelay = clock.Second

func (s *Server) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if !s.config.Readiness.BundleInForce() {
			return writeNoBundle(c)
		}
		token, ok := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
		if !ok {
			return writeUnauthorized(c, "the request has no bearer token")
		}
		o, ok := s.config.Authenticator.OwnerOf(token)
		if !ok {
			return writeUnauthorized(c, "no owner has this token")
		}
		c.Set(ownerKey, o.ID)
		return next(c)
	}
}

// writeNoBundle refuses only the reservation of new ids: the submission of an existing id may
// be running at its issuer, of which this VM has no information yet.
func writeNoBundle(c echo.Context) error {
	p := problem{
		Type: typeCannotTellYet, Step: "authenticate caller", Detail: "this VM has no bundle in force and cannot authenticate callers",
		Action: "ask again, or ask another entry VM", RetryAfterMs: int64(retryDelay),
	}
	if c.Param("id") != "" {
		return writeProblem(c, http.StatusGatewayTimeout, p)
	}
	p.Type = typeRefused
	return writeProblem(c, http.StatusServiceUnavailable, p)
}

func writeUnauthorized(c echo.Context, detail string) error {
	c.Response().Header().Set(echo.HeaderWWWAuthenticate, "Bearer")
	return writeProblem(c, http.StatusUnauthorized, problem{
		Type: typeUnauthorized, Step: "authenticate caller", Detail: detail, Action: "send 'Authorization: Bearer' with a token of the owner",
	})
}

func (s *Server) reserve(c echo.Context) error {
	if s.config.Readiness.ShuttingDown() {
		return writeProblem(c, http.StatusServiceUnavailable, problem{
			Type: typeRefused, Step: "reserve ids", Detail: "this VM is shutting down",
			Action: "reserve ids at another entry VM", RetryAfterMs: int64(retryDelay),
		})
	}
	var body wireReserve
	if err := s.decode(c, &body); err != nil {
		return writeBadInput(c, "reserve ids", err)
	}
	if body.Count < 1 || body.Count > s.config.Limits.IDs {
		return writeBadInput(c, "reserve ids", badInput{detail: fmt.Sprintf("count is %d", body.Count), action: fmt.Sprintf("give a count from 1 to %d", s.config.Limits.IDs)})
	}
	ids, err := s.config.Service.Reserve(c.Request().Context(), ownerOf(c), body.Count)
	if err != nil {
		return writeProblem(c, http.StatusServiceUnavailable, problem{
			Type: typeRefused, Step: "reserve ids", Detail: err.Error(),
			Action: "try again, or at another entry VM", RetryAfterMs: int64(retryDelay),
		})
	}
	return c.JSON(http.StatusOK, encodeIDs(ids))
}

func (s *Server) submitJob(c echo.Context) error {
	var body wireJob
	if err := s.decode(c, &body); err != nil {
		return writeBadInput(c, "submit job", err)
	}
	submission, err := decodeJob(body, s.config.Limits)
	if err != nil {
		return writeBadInput(c, "submit job", err)
	}
	return s.submit(c, "submit job", submission)
}

func (s *Server) submitRequest(c echo.Context) error {
	var body wireRequest
	if err := s.decode(c, &body); err != nil {
		return writeBadInput(c, "submit request", err)
	}
	submission, err := decodeRequest(body, s.config.Limits)
	if err != nil {
		return writeBadInput(c, "submit request", err)
	}
	return s.submit(c, "submit request", submission)
}

func (s *Server) submit(c echo.Context, step string, submission contract.Submission) error {
	id, wait, err := s.idAndWait(c)
	if err != nil {
		return writeBadInput(c, step, err)
	}
	ctx, span := s.span(c, id)
	defer span.End()
	submission.ID, submission.Owner, submission.Trace = id, ownerOf(c), trace.ParentOf(ctx)
	return s.writeAnswer(c, step, s.config.Service.Submit(ctx, submission, wait))
}

func (s *Server) ask(c echo.Context) error {
	const step = "ask for a job"
	id, wait, err := s.idAndWait(c)
	if err != nil {
		return writeBadInput(c, step, err)
	}
	ctx, span := s.span(c, id)
	defer span.End()
	return s.writeAnswer(c, step, s.config.Service.Ask(ctx, id, ownerOf(c), wait))
}

func (s *Server) cancel(c echo.Context) error {
	const step = "cancel a job"
	id, _, err := s.idAndWait(c)
	if err != nil {
		return writeBadInput(c, step, err)
	}
	ctx, span := s.span(c, id)
	defer span.End()
	return s.writeAnswer(c, step, s.config.Service.Cancel(ctx, id, ownerOf(c)))
}

// span begins the span of the caller hop, as part of the caller's own trace if there is one.
func (s *Server) span(c echo.Context, id contract.SubmissionID) (context.Context, trace.Span) {
	r := c.Request()
	return s.config.Tracer.Start(trace.WithParent(r.Context(), trace.FromHeader(r.Header)), trace.CallerHop, id)
}

func (s *Server) idAndWait(c echo.Context) (contract.SubmissionID, clock.Millis, error) {
	id, err := contract.ParseSubmissionID(c.Param("id"))
	if err != nil {
		return contract.SubmissionID{}, 0, badInput{detail: err.Error(), action: "use an id from POST /v1/ids"}
	}
	text := c.QueryParam("waitMs")
	if text == "" {
		return id, 0, nil
	}
	wait, err := strconv.ParseInt(text, 10, 64)
	if err != nil || wait < 0 {
		return id, 0, badInput{detail: fmt.Sprintf("waitMs is %q", text), action: "give waitMs as a number of milliseconds from 0"}
	}
	return id, min(clock.Millis(wait), s.config.Limits.MaxWait), nil
}

func ownerOf(c echo.Context) owner.ID {
	id, _ := c.Get(ownerKey).(owner.ID)
	return id
}
