package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
	"unicode/utf8"

	"github.com/juju/errors"
	"github.com/labstack/echo/v4"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
)

type wireReserve struct {
	Count int `json:"count"`
}

type wireIDs struct {
	IDs []string `json:"ids"`
}

type wireJob struct {
	Kind       string     `json:"kind"`
	Class      string     `json:"class"`
	DeadlineMs int64      `json:"deadlineMs"`
	Tasks      []wireTask `json:"tasks"`
}

type wireTask struct {
	// Payload is a pointer to distinguish an absent payload from an empty one, which is
	// allowed.
	Payload *string `json:"payload"`
}

type wireRequest struct {
	Kind       string  `json:"kind"`
	Class      string  `json:"class"`
	DeadlineMs int64   `json:"deadlineMs"`
	Payload    *string `json:"payload"`
	Repeatable bool    `json:"repeatable"`
}

// maxNameBytes bounds the names of kinds and classes, which are stored and logged.
const maxNameBytes = 64

func (s *Server) decode(c echo.Context, into any) error {
	body, err := s.readBody(c)
	if err != nil {
		return err
	}
	if !utf8.Valid(body) {
		return badInput{detail: "the body is not UTF-8", action: "encode binary payloads, for example as base64"}
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return badInput{detail: "the body cannot be decoded: " + err.Error(), action: "send the JSON object that docs/api.md describes"}
	}
	if _, err := decoder.Token(); err != io.EOF {
		return badInput{detail: "the body has content after the JSON object", action: "send one JSON object"}
	}
	return nil
}

// readBody reads a body if it fits into the limit for all bodies that are being read. It does
// not wait for other bodies: a rejected caller retries later, or at another VM.
func (s *Server) readBody(c echo.Context) ([]byte, error) {
	limits := s.config.Limits
	size := c.Request().ContentLength
	if size < 0 || size > limits.BodyBytes {
		size = limits.BodyBytes
	}
	if !s.bodies.TryAcquire(size) {
		return nil, errBodiesFull
	}
	defer s.bodies.Release(size)
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, limits.BodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, badInput{tooLarge: true, detail: fmt.Sprintf("the body has more than %d bytes", limits.BodyBytes), action: "send smaller jobs"}
	}
	if err != nil {
		return nil, badInput{detail: "the body ended early: " + err.Error(), action: "send the whole body"}
	}
	// The read deadline is meant for the body only. Left in place, it would cancel a long
	// wait for an answer.
	_ = http.NewResponseController(c.Response()).SetReadDeadline(time.Time{})
	return body, nil
}

func decodeJob(w wireJob, l Limits) (contract.Submission, error) {
	if len(w.Tasks) == 0 {
		return contract.Submission{}, badInput{detail: "the job has no tasks", action: "give at least one task"}
	}
	if len(w.Tasks) > l.TasksPerJob {
		return contract.Submission{}, badInput{tooLarge: true, detail: fmt.Sprintf("the job has %d tasks", len(w.Tasks)), action: fmt.Sprintf("send jobs of at most %d tasks", l.TasksPerJob)}
	}
	s := contract.Submission{
		Kind:     contract.Kind(w.Kind),
		Class:    owner.ClassName(w.Class),
		Deadline: clock.Millis(w.DeadlineMs),
		Tasks:    make([]contract.Task, len(w.Tasks)),
	}
	for i, t := range w.Tasks {
		if t.Payload == nil {
			return contract.Submission{}, badInput{detail: fmt.Sprintf("task %d has no payload", i), action: `give each task a payload; it may be ""`}
		}
		s.Tasks[i] = contract.Task{Payload: []byte(*t.Payload)}
	}
	return s, checkSubmission(s, l)
}

func decodeRequest(w wireRequest, l Limits) (contract.Submission, error) {
	if w.Payload == nil {
		return contract.Submission{}, badInput{detail: "the request has no payload", action: `give a payload; it may be ""`}
	}
	s := contract.Submission{
		Kind:       contract.Kind(w.Kind),
		Class:      owner.ClassName(w.Class),
		Deadline:   clock.Millis(w.DeadlineMs),
		Repeatable: w.Repeatable,
		Tasks:      []contract.Task{{Payload: []byte(*w.Payload)}},
	}
	return s, checkSubmission(s, l)
}

func checkSubmission(s contract.Submission, l Limits) error {
	if s.Deadline < 0 || s.Deadline > l.MaxDeadline {
		return badInput{detail: fmt.Sprintf("deadlineMs is %d", s.Deadline), action: fmt.Sprintf("give the milliseconds from now on, 1 to %d, or 0 for the deadline of the class", l.MaxDeadline)}
	}
	if len(s.Kind) > maxNameBytes || len(s.Class) > maxNameBytes {
		return badInput{detail: "kind or class is too long", action: fmt.Sprintf("use names of at most %d bytes", maxNameBytes)}
	}
	return nil
}

func encodeIDs(ids []contract.SubmissionID) wireIDs {
	w := wireIDs{IDs: make([]string, len(ids))}
	for i, id := range ids {
		w.IDs[i] = id.String()
	}
	return w
}
