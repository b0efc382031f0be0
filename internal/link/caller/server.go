// Package caller serves the callers of a VM over HTTP. Package platform encodes and decodes
// requests and responses; package node decides what happens to jobs.
package caller

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
	"github.com/labstack/echo/v4"

	"github.com/sequoiacart/sequoiacart/internal/control/node"
	"github.com/sequoiacart/sequoiacart/internal/link/intake"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/connection"
	"github.com/sequoiacart/sequoiacart/pkg/trace"
	"github.com/sequoiacart/sequoiacart/platform"
)

// Local gives the server access to the control state of its own VM.
type Local interface {
	// Post sends an event to the control goroutine. It reports false once that goroutine has ended.
	Post(e node.Event) bool
	// AwaitDesiredState returns the desired state. After a start it waits up to limit for the
	// first one, and returns nil if there is none yet.
	AwaitDesiredState(ctx context.Context, limit clock.Millis) *queue.State
	// AwaitSettled reports whether the caller of a request still waits, and since when it may do so.
	// After a pause of the VM it gives the connections time to tell which callers have gone meanwhile.
	AwaitSettled(ctx context.Context) (waitsSince clock.Millis, waits bool)
}

// Config holds the dependencies of a server.
type Config struct {
	Listener net.Listener
	Local    Local
	Counter  Counter
	Clock    clock.Clock
	// Intake holds the bounds of connections and bodies, and Limits those of a job.
	Intake intake.Config
	Limits job.Limits
	// AnswerTimeout is how long a caller may take to read an answer; 0 means any time.
	AnswerTimeout clock.Millis
	// TurnedAway is called for what is given up for want of room; it may be nil. It must not block.
	TurnedAway func(TurnedAway)
	// Unanswered is called when this VM closes the connection of a caller whose request it has begun to read, without
	// a whole answer; it may be nil. It must not block.
	Unanswered func(connection.Unanswered)
	// Tracer records a span for each job; nil records none.
	Tracer *trace.Tracer
}

// Counter counts requests by the status of their response, and the bytes of bodies.
type Counter interface {
	Count(name string)
	Add(name string, n int64)
}

// Server handles the HTTP requests of callers.
type Server struct {
	config    Config
	http      *http.Server
	listener  *connections
	draining  atomic.Bool
	closed    chan struct{}
	closeOnce sync.Once
	// decoding is held while a large body is decoded, which takes several times its length.
	decoding sync.Mutex
}

const (
	// maxHeaderBytes bounds the headers of a request; desired states allow up to 16 KB.
	maxHeaderBytes = 16 << 10
	// headerTimeout and idleTimeout are the values of the desired states seen so far. They are
	// fixed when the listener is opened, before a desired state has been read.
	headerTimeout = 3 * clock.Second
	idleTimeout   = 60 * clock.Second
	// defaultMaxBodyBytes bounds the body of a job if the desired state sets no limit.
	defaultMaxBodyBytes = 256 << 10
	// maxConcurrentBytes is the length of the bodies that are decoded several at a time.
	maxConcurrentBytes = 16 << 10
	// desiredStateTimeout is how long a request waits for the first desired state. Reading it takes
	// some 10 ms; urgent jobs are late after 140 ms.
	desiredStateTimeout = clock.Millis(120)
	// cancelTimeout is how long a cancellation may take to be confirmed by the leaders of all shards. One
	// that has failed is replaced within a second.
	cancelTimeout = 2 * clock.Second
	// defaultWaitLimit is the wait limit of callers that send no deadline.
	defaultWaitLimit = 30 * clock.Second
)

// NewServer returns a server that does not accept connections yet.
func NewServer(c Config) *Server {
	s := &Server{config: c, closed: make(chan struct{})}
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.POST("/*", s.submit)
	e.GET("/*", s.query)
	e.DELETE("/*", s.cancel)
	s.listener = newConnections(intake.New(c.Intake), c)
	s.http = &http.Server{
		Handler: trackRequests(e), ConnContext: connContext, ConnState: trackAnswers, MaxHeaderBytes: maxHeaderBytes,
		ReadHeaderTimeout: headerTimeout.Duration(), IdleTimeout: idleTimeout.Duration(),
	}
	return s
}

// Serve accepts connections and answers requests. It returns after Close, not after Leave, which closes the listener
// while requests are still in flight.
func (s *Server) Serve() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) || !s.listener.IsStaying() {
		<-s.closed
		return nil
	}
	return errors.Annotate(err, "serve callers")
}

// Drain closes each connection after its next response, so that callers connect to other VMs.
func (s *Server) Drain() { s.draining.Store(true) }

// Leave closes the listener, and each connection as soon as no request is on it.
func (s *Server) Leave() { s.listener.Leave() }

// Finish gives up the requests that have not arrived whole. Those whose headers have are refused.
func (s *Server) Finish() { s.listener.Finish() }

// AwaitClosed waits until all connections are closed. Leave has to be called before.
func (s *Server) AwaitClosed(ctx context.Context) error { return s.listener.AwaitClosed(ctx) }

// Close closes all connections.
func (s *Server) Close() {
	_ = s.http.Close()
	s.closeOnce.Do(func() { close(s.closed) })
}

func (s *Server) writeResponse(c echo.Context, r platform.Response) error {
	if r.RetryAfter > 0 {
		c.Response().Header().Set("Retry-After", strconv.FormatInt(int64((r.RetryAfter+clock.Second-1)/clock.Second), 10))
	}
	if s.draining.Load() {
		c.Response().Header().Set("Connection", "close")
	}
	s.config.Counter.Count("requests." + strconv.Itoa(r.Status))
	s.config.Counter.Add("bytes.caller.received", max(c.Request().ContentLength, 0))
	s.config.Counter.Add("bytes.caller.sent", int64(len(r.Body)))
	return c.Blob(r.Status, echo.MIMEApplicationJSON, r.Body)
}

// match returns the queue that a request is for, or else the response to send.
func (s *Server) match(c echo.Context) (*queue.State, *queue.Queue, string, *platform.Response) {
	desired := s.config.Local.AwaitDesiredState(c.Request().Context(), desiredStateTimeout)
	if desired == nil {
		r := platform.Refusal(string(job.NoDesiredState), clock.Second)
		return nil, nil, "", &r
	}
	q, rest := desired.Match(c.Request().Host, c.Request().URL.Path)
	if q == nil {
		r := platform.NotFound()
		return desired, nil, "", &r
	}
	return desired, q, rest, nil
}

func (s *Server) submit(c echo.Context) error {
	desired, q, id, response := s.match(c)
	if response != nil {
		return s.writeResponse(c, *response)
	}
	if !platform.ValidJobID(id) {
		return s.writeResponse(c, platform.Invalid(http.StatusBadRequest, "the path does not end in a job's ID of 16 hexadecimal digits"))
	}
	maxBytes := desired.Limits.BodyBytes
	if maxBytes <= 0 {
		maxBytes = defaultMaxBodyBytes
	}
	var j job.Job
	var err error
	if response = s.readBody(c, maxBytes, func(body []byte) { j, err = s.decode(id, q, body) }); response != nil {
		return s.writeResponse(c, *response)
	}
	switch {
	case errors.Is(err, job.ErrOverLimit):
		s.config.Counter.Count(jobOverLimit)
		return s.writeResponse(c, platform.Refusal(err.Error(), 0))
	case errors.Is(err, platform.ErrUnsupported):
		return s.writeResponse(c, platform.Refusal(err.Error(), 0))
	case err != nil:
		return s.writeResponse(c, platform.Invalid(http.StatusBadRequest, err.Error()))
	}
	ctx, span := s.config.Tracer.Start(trace.WithParent(c.Request().Context(), trace.FromHeader(c.Request().Header)), trace.CallerHop, j.ID)
	defer span.End()
	j.Trace = trace.ParentOf(ctx)
	return s.writeResponse(c, s.run(ctx, j, waitLimit(c.Request())))
}

func (s *Server) decode(id string, q *queue.Queue, body []byte) (job.Job, error) {
	if len(body) > maxConcurrentBytes {
		s.decoding.Lock()
		defer s.decoding.Unlock()
	}
	return platform.DecodeJob(id, q, body, s.config.Limits)
}

// waitLimit returns how long the caller waits. The timeout of the queue isn't used: it bounds
// requests that a single endpoint answers, while callers of jobs send a longer limit that fits
// the work of the job.
func waitLimit(r *http.Request) clock.Millis {
	if ms, err := strconv.ParseInt(r.Header.Get(platform.HeaderDeadline), 10, 64); err == nil && ms > 0 {
		return clock.Millis(ms)
	}
	return defaultWaitLimit
}

// run submits a job to the control state and waits for its outcome, or until the caller
// disconnects.
func (s *Server) run(ctx context.Context, j job.Job, limit clock.Millis) platform.Response {
	since, waits := s.config.Local.AwaitSettled(ctx)
	if !waits {
		return platform.EncodeOutcome(job.Stopped{Reason: job.CallerDisconnected})
	}
	accepted, ended := make(chan job.Key, 1), make(chan job.Outcome, 1)
	if !s.config.Local.Post(node.JobArrived{Job: j, Limit: limit, WaitsSince: since, Accepted: accepted, Ended: ended}) {
		return platform.Refusal(string(job.Draining), clock.Second)
	}
	select {
	case o := <-ended:
		return platform.EncodeOutcome(o)
	case <-ctx.Done():
	}
	if key, ok := <-accepted; ok {
		s.config.Local.Post(node.CallerDisconnected{Key: key})
	}
	return platform.EncodeOutcome(job.Stopped{Reason: job.CallerDisconnected})
}

// query answers queries for the state of a job or the number of stored jobs of a queue. Only
// best-effort jobs, which are not stored, are served, so there is no record of an ended job.
func (s *Server) query(c echo.Context) error {
	_, _, id, response := s.match(c)
	switch {
	case response != nil:
		return s.writeResponse(c, *response)
	case id == "":
		return s.writeResponse(c, platform.Pending(0))
	}
	return s.writeResponse(c, platform.UnknownJob())
}

// cancel cancels a job. Its route may be gone, or another one may have taken its place, while the job goes on, so
// that the desired state does not decide what is cancelled.
func (s *Server) cancel(c echo.Context) error {
	desired, q, _, response := s.match(c)
	prefix, id, ok := platform.SplitJobPath(c.Request().URL.Path)
	switch {
	case desired == nil, !ok && response != nil:
		return s.writeResponse(c, *response)
	case !ok:
		return s.writeResponse(c, platform.UnknownJob())
	}
	cancelled := job.Cancellation{Job: job.ID(id), Origin: job.NewOrigin(c.Request().Host, prefix)}
	if cancelled.Validate() != nil {
		return s.writeResponse(c, platform.Refusal(string(job.Malformed), 0))
	}
	done := make(chan node.CancelOutcome, 1)
	if !s.config.Local.Post(node.CancelRequested{Cancellation: cancelled, Limit: min(waitLimit(c.Request()), cancelTimeout), Done: done}) {
		return s.writeResponse(c, platform.Refusal(string(job.Draining), clock.Second))
	}
	var outcome node.CancelOutcome = node.CancelUnconfirmed{Reason: job.CallerDisconnected}
	select {
	case outcome = <-done:
	case <-c.Request().Context().Done():
	}
	switch o := outcome.(type) {
	case node.CancelConfirmed:
		if !o.Found && (q == nil || q.Path != prefix) {
			return s.writeResponse(c, platform.UnknownJob())
		}
		return s.writeResponse(c, platform.Cancelled())
	case node.CancelUnconfirmed:
		s.config.Counter.Count("cancellations.unconfirmed." + string(o.Reason))
		return s.writeResponse(c, platform.Refusal(string(o.Reason), clock.Second))
	}
	return s.writeResponse(c, platform.Refusal("unknown outcome", clock.Second))
}
