package caller

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/juju/errors"
	"github.com/labstack/echo/v4"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
)

type wireComplete struct {
	State   string   `json:"state"`
	Results []string `json:"results"`
}

// problem is the body of every answer that is not a result, after RFC 9457.
type problem struct {
	Type         string   `json:"type"`
	Detail       string   `json:"detail"`
	Tasks        []string `json:"tasks,omitempty"`
	RetryAfterMs int64    `json:"retryAfterMs,omitempty"`
}

const problemContentType = "application/problem+json"

func writeAnswer(c echo.Context, a contract.Answer) error {
	switch a := a.(type) {
	case contract.Complete:
		return c.JSON(http.StatusOK, encodeComplete(a))
	case contract.Running:
		return c.JSON(http.StatusAccepted, wireComplete{State: "running"})
	case contract.Failed:
		return writeProblem(c, http.StatusBadGateway, problem{Type: "failed", Detail: a.Reason, Tasks: encodeStates(a.Tasks)})
	case contract.Refused:
		return writeProblem(c, refusalStatus(a.Cause), problem{Type: "refused", Detail: "not run: " + a.Reason, RetryAfterMs: int64(a.RetryAfter)})
	case contract.CannotTellYet:
		return writeProblem(c, http.StatusGatewayTimeout, problem{Type: "cannotTellYet", Detail: a.Reason, RetryAfterMs: int64(a.RetryAfter)})
	case contract.Conflict:
		return writeProblem(c, http.StatusConflict, problem{Type: "conflict", Detail: "the id belongs to a submission with other content; reserve a new id"})
	case contract.Expired:
		return writeProblem(c, http.StatusGone, problem{Type: "expired", Detail: "the id is older than the retention window; it will not be run"})
	default:
		return writeProblem(c, http.StatusNotFound, problem{Type: "notFound", Detail: "nothing was submitted under this id"})
	}
}

func refusalStatus(cause contract.RefusalCause) int {
	switch cause {
	case contract.RefusedOverload:
		return http.StatusTooManyRequests
	case contract.RefusedInvalid:
		return http.StatusUnprocessableEntity
	default:
		return http.StatusServiceUnavailable
	}
}

func encodeComplete(a contract.Complete) wireComplete {
	w := wireComplete{State: "complete", Results: make([]string, len(a.Results))}
	for i, r := range a.Results {
		w.Results[i] = string(r)
	}
	return w
}

func encodeStates(states []contract.TaskState) []string {
	names := make([]string, len(states))
	for i, s := range states {
		switch s {
		case contract.NotRun:
			names[i] = "notRun"
		case contract.FailedRun:
			names[i] = "ranAndFailed"
		case contract.MayHaveRun:
			names[i] = "mayHaveRun"
		}
	}
	return names
}

func badRequest(c echo.Context, err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return writeProblem(c, http.StatusRequestEntityTooLarge, problem{Type: "invalid", Detail: err.Error()})
	}
	return writeProblem(c, http.StatusBadRequest, problem{Type: "invalid", Detail: err.Error()})
}

func writeProblem(c echo.Context, status int, p problem) error {
	if p.RetryAfterMs > 0 {
		seconds := (p.RetryAfterMs + int64(clock.Second) - 1) / int64(clock.Second)
		c.Response().Header().Set(echo.HeaderRetryAfter, strconv.FormatInt(seconds, 10))
	}
	body, err := json.Marshal(p)
	if err != nil {
		return errors.Annotate(err, "encode problem")
	}
	return c.Blob(status, problemContentType, body)
}
