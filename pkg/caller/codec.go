package caller

import (
	"encoding/json"
	"net/http"

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
	Payload string `json:"payload"`
}

type wireRequest struct {
	Kind       string `json:"kind"`
	Class      string `json:"class"`
	DeadlineMs int64  `json:"deadlineMs"`
	Payload    string `json:"payload"`
	Repeatable bool   `json:"repeatable"`
}

func (s *Server) decode(c echo.Context, into any) error {
	body := http.MaxBytesReader(c.Response(), c.Request().Body, s.config.Limits.BodyBytes)
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	return errors.Annotate(decoder.Decode(into), "decode body")
}

func decodeJob(w wireJob) contract.Submission {
	s := contract.Submission{
		Kind:     contract.Kind(w.Kind),
		Class:    owner.ClassName(w.Class),
		Deadline: clock.Millis(w.DeadlineMs),
		Tasks:    make([]contract.Task, len(w.Tasks)),
	}
	for i, t := range w.Tasks {
		s.Tasks[i] = contract.Task{Payload: []byte(t.Payload)}
	}
	return s
}

func decodeRequest(w wireRequest) contract.Submission {
	return contract.Submission{
		Kind:       contract.Kind(w.Kind),
		Class:      owner.ClassName(w.Class),
		Deadline:   clock.Millis(w.DeadlineMs),
		Repeatable: w.Repeatable,
		Tasks:      []contract.Task{{Payload: []byte(w.Payload)}},
	}
}

func encodeIDs(ids []contract.SubmissionID) wireIDs {
	w := wireIDs{IDs: make([]string, len(ids))}
	for i, id := range ids {
		w.IDs[i] = id.String()
	}
	return w
}
