package caller

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/sequoiacart/sequoiacart/internal/link/intake"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/link"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/platform"
)

const (
	// firstBodyBytes is the first size of the buffer of a body, which grows by bodyGrowth. Most bodies are shorter.
	firstBodyBytes = 4 << 10
	bodyGrowth     = 4
	// maxBodyPause is how long a body may stand still, and maxBodyTime how long it may take in all.
	maxBodyPause = 10 * clock.Second
	maxBodyTime  = clock.Minute
)

// Reasons of refusals for want of room.
const (
	bodiesFull  = "requestBodiesFull"
	bodyTooSlow = "requestBodyTooSlow"
)

// readBody reads the body of a request and passes it on while its room is taken, or returns the response to send
// instead. The connection is closed after that, since the rest of the body is not read.
func (s *Server) readBody(c echo.Context, maxBytes int64, use func(body []byte)) *platform.Response {
	n, r := connectionOf(c.Request()), c.Request()
	tooLong := platform.Invalid(http.StatusRequestEntityTooLarge, "the body is longer than "+strconv.FormatInt(maxBytes, 10)+" bytes")
	reject := func(response platform.Response) *platform.Response {
		c.Response().Header().Set("Connection", "close")
		return &response
	}
	if r.ContentLength > maxBytes {
		return reject(tooLong)
	}
	if !n.update(func(i *intake.Intake, state *intake.Connection, now clock.Millis) bool {
		return i.BeginBody(state, now)
	}) {
		return reject(s.bodyGivenUp())
	}
	n.Receive()
	body, response := s.fill(n, r, maxBytes)
	n.Received()
	isWhole := response == nil && int64(len(body)) <= maxBytes
	if isWhole && n.update(func(i *intake.Intake, state *intake.Connection, _ clock.Millis) bool { return i.IsReading(state) }) {
		use(body)
	}
	switch kept := n.endBody(); {
	case !kept:
		return reject(s.bodyGivenUp())
	case response != nil:
		return reject(*response)
	case !isWhole:
		return reject(tooLong)
	}
	return nil
}

// bodyGivenUp is the response to a request whose body was given up for others, or since the process ends.
func (s *Server) bodyGivenUp() platform.Response {
	if !s.listener.IsStaying() {
		return platform.Refusal(string(job.Draining), clock.Second)
	}
	return platform.Refusal(bodyTooSlow, clock.Second)
}

// fill reads a body into a buffer that grows with it.
func (s *Server) fill(n *callerConn, r *http.Request, maxBytes int64) ([]byte, *platform.Response) {
	length := maxBytes
	if r.ContentLength >= 0 {
		length = r.ContentLength
	}
	// The last byte of the buffer tells a body that is too long.
	limit, end := int(length)+1, time.Now().Add(maxBodyTime.Duration())
	var body []byte
	for {
		if len(body) == cap(body) {
			size := min(max(bodyGrowth*cap(body), firstBodyBytes), limit)
			if size == cap(body) {
				return body, nil
			}
			if !n.grow(size) {
				response := platform.Refusal(bodiesFull, clock.Second)
				return nil, &response
			}
			body = append(make([]byte, 0, size), body...)
		}
		deadline := time.Now().Add(maxBodyPause.Duration())
		if deadline.After(end) {
			deadline = end
		}
		if !n.extend(deadline) {
			return nil, nil
		}
		count, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		n.update(func(i *intake.Intake, state *intake.Connection, now clock.Millis) bool {
			i.Received(state, link.Bytes(count), now)
			return true
		})
		switch {
		case err == io.EOF:
			return body, nil
		case err != nil && !time.Now().Before(deadline):
			response := platform.Refusal(bodyTooSlow, clock.Second)
			return nil, &response
		case err != nil:
			response := platform.Invalid(http.StatusBadRequest, "the body ended early")
			return nil, &response
		}
	}
}
