package caller

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/juju/errors"
	"github.com/labstack/echo/v4"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// Types of problems.
const (
	typeInvalid        = "invalid"
	typeUnauthorized   = "unauthorized"
	typeRefused        = "refused"
	typeFailed         = "failed"
	typeCannotTellYet  = "cannotTellYet"
	typeConflict       = "conflict"
	typeExpired        = "expired"
	typeNotFound       = "notFound"
	typeAnswerTooLarge = "answerTooLarge"
)

const problemContentType = "application/problem+json"

// problem is the body of every answer that is not a result, as defined in RFC 9457.
type problem struct {
	Type   string `json:"type"`
	Status int    `json:"status"`
	// Step is the operation that failed, Peer the caller that requested it, Action what the
	// caller can do.
	Step         string   `json:"step"`
	Peer         string   `json:"peer"`
	Detail       string   `json:"detail"`
	Action       string   `json:"action"`
	Tasks        []string `json:"tasks,omitempty"`
	RetryAfterMs int64    `json:"retryAfterMs,omitempty"`
}

func writeProblem(c echo.Context, status int, p problem) error {
	if p.RetryAfterMs > 0 {
		seconds := (p.RetryAfterMs + int64(clock.Second) - 1) / int64(clock.Second)
		c.Response().Header().Set(echo.HeaderRetryAfter, strconv.FormatInt(seconds, 10))
	}
	p.Status, p.Peer = status, peerOf(c)
	c.Set(answerKey, p.Type)
	c.Set(detailKey, p.Detail)
	body, err := json.Marshal(p)
	if err != nil {
		return errors.Annotate(err, "encode problem")
	}
	return c.Blob(status, problemContentType, body)
}

func peerOf(c echo.Context) string {
	peer := "caller " + c.Request().RemoteAddr
	if o := ownerOf(c); o != "" {
		peer += " of owner " + string(o)
	}
	return peer
}

// writeBodiesFull rejects a request whose body cannot be read now. The submission of an
// existing id may already be running, so only the reservation of new ids is refused.
func writeBodiesFull(c echo.Context, step string) error {
	p := problem{
		Type: typeRefused, Step: step, Detail: errBodiesFull.Error(),
		Action: "send it again after the time in Retry-After, or to another entry VM", RetryAfterMs: int64(retryDelay),
	}
	if c.Param("id") == "" {
		return writeProblem(c, http.StatusTooManyRequests, p)
	}
	p.Type = typeCannotTellYet
	return writeProblem(c, http.StatusGatewayTimeout, p)
}

func writeBadInput(c echo.Context, step string, err error) error {
	if errors.Is(err, errBodiesFull) {
		return writeBodiesFull(c, step)
	}
	p := problem{Type: typeInvalid, Step: step, Detail: err.Error(), Action: "correct the request"}
	status := http.StatusBadRequest
	var bad badInput
	if errors.As(err, &bad) {
		p.Detail, p.Action = bad.detail, bad.action
		if bad.tooLarge {
			status = http.StatusRequestEntityTooLarge
		}
	}
	return writeProblem(c, status, p)
}

// writeRoutingError answers requests for paths and methods that do not exist.
func writeRoutingError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status := http.StatusInternalServerError
	var routing *echo.HTTPError
	if errors.As(err, &routing) {
		status = routing.Code
	}
	detail := c.Request().Method + " " + c.Request().URL.Path + ": " + http.StatusText(status)
	p := problem{Type: typeInvalid, Step: "route request", Detail: detail, Action: "use a call that docs/api.md lists"}
	if status == http.StatusNotFound {
		p.Type = typeNotFound
	}
	_ = writeProblem(c, status, p)
}
