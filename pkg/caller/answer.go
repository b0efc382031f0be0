package caller

import (
	"encoding/base64"
	"fmt"
	"net/http"
	"unicode/utf8"

	"github.com/labstack/echo/v4"

	"github.com/sequoiacart/sequoiacart/pkg/contract"
)

const (
	stateComplete = "complete"
	stateRunning  = "running"
)

const (
	encodingText   = "text"
	encodingBase64 = "base64"
)

type wireComplete struct {
	State string `json:"state"`
	// Encoding is the encoding of all results: text, or base64 if one of them is not
	// UTF-8.
	Encoding string   `json:"encoding"`
	Results  []string `json:"results"`
}

type wireRunning struct {
	State string `json:"state"`
}

func (s *Server) writeAnswer(c echo.Context, step string, a contract.Answer) error {
	switch a := a.(type) {
	case contract.Complete:
		return s.writeComplete(c, step, a)
	case contract.Running:
		c.Set(answerKey, stateRunning)
		return c.JSON(http.StatusAccepted, wireRunning{State: stateRunning})
	case nil:
		// If a call ends without an answer, the state of the submission is unknown.
		return s.writeAnswer(c, step, contract.CannotTellYet{Reason: "the call ended without an answer", RetryAfter: retryDelay})
	default:
		status, p := problemOf(a)
		p.Step = step
		return writeProblem(c, status, p)
	}
}

func (s *Server) writeComplete(c echo.Context, step string, a contract.Complete) error {
	size := int64(0)
	for _, r := range a.Results {
		size += int64(len(r))
	}
	if size > s.config.Limits.AnswerBytes {
		return writeProblem(c, http.StatusInternalServerError, problem{
			Type: typeAnswerTooLarge, Step: step,
			Detail: fmt.Sprintf("every task ran, but the results have %d bytes and the limit is %d", size, s.config.Limits.AnswerBytes),
			Action: "send smaller jobs, or ask the operators to raise limits.answerBytes",
		})
	}
	c.Set(answerKey, stateComplete)
	return c.JSON(http.StatusOK, encodeComplete(a))
}

func problemOf(a contract.Answer) (int, problem) {
	switch a := a.(type) {
	case contract.Failed:
		return http.StatusBadGateway, problem{Type: typeFailed, Detail: a.Reason, Tasks: encodeStates(a.Tasks), Action: "read the state of each task; a new id starts all tasks anew"}
	case contract.Refused:
		status, action := refusal(a.Cause)
		return status, problem{Type: typeRefused, Detail: "not run: " + a.Reason, Action: action, RetryAfterMs: int64(a.RetryAfter)}
	case contract.CannotTellYet:
		return http.StatusGatewayTimeout, problem{Type: typeCannotTellYet, Detail: a.Reason, Action: "ask again with the same id", RetryAfterMs: int64(a.RetryAfter)}
	case contract.Conflict:
		return http.StatusConflict, problem{Type: typeConflict, Detail: "the id belongs to a submission with other content", Action: "reserve a new id"}
	case contract.Expired:
		return http.StatusGone, problem{Type: typeExpired, Detail: "the id is older than the retention window; it will not be run from now on", Action: "reserve a new id"}
	default: // contract.NotFound
		return http.StatusNotFound, problem{Type: typeNotFound, Detail: "nothing was submitted under this id", Action: "submit with an id from POST /v1/ids"}
	}
}

func refusal(cause contract.RefusalCause) (status int, action string) {
	switch cause {
	case contract.RefusedOverload:
		return http.StatusTooManyRequests, "submit again with a new id after the time in Retry-After"
	case contract.RefusedInvalid:
		return http.StatusUnprocessableEntity, "correct the submission and use a new id"
	case contract.RefusedCancelled:
		return http.StatusServiceUnavailable, "none; the submission was cancelled"
	default:
		return http.StatusServiceUnavailable, "submit again with a new id at another entry VM"
	}
}

func encodeComplete(a contract.Complete) wireComplete {
	w := wireComplete{State: stateComplete, Encoding: encodingText, Results: make([]string, len(a.Results))}
	for _, r := range a.Results {
		if !utf8.Valid(r) {
			w.Encoding = encodingBase64
		}
	}
	for i, r := range a.Results {
		if w.Encoding == encodingBase64 {
			w.Results[i] = base64.StdEncoding.EncodeToString(r)
			continue
		}
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
