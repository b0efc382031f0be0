package submit

import (
	"encoding/base64"
	"encoding/json"
	"net/http"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

type wireJob struct {
	Kind       string     `json:"kind"`
	Class      string     `json:"class"`
	DeadlineMs int64      `json:"deadlineMs"`
	Tasks      []wireTask `json:"tasks"`
}

type wireTask struct {
	Payload string `json:"payload"`
}

type wireResults struct {
	Encoding string   `json:"encoding"`
	Results  []string `json:"results"`
}

type wireProblem struct {
	Type         string   `json:"type"`
	Detail       string   `json:"detail"`
	Tasks        []string `json:"tasks"`
	RetryAfterMs int64    `json:"retryAfterMs"`
}

type wireIDRequest struct {
	Count int `json:"count"`
}

type wireIDs struct {
	IDs []string `json:"ids"`
}

func encodeJob(j Job) wireJob {
	w := wireJob{Kind: j.Kind, Class: j.Class, DeadlineMs: int64(j.Deadline), Tasks: make([]wireTask, len(j.Payloads))}
	for i, p := range j.Payloads {
		w.Tasks[i] = wireTask{Payload: p}
	}
	return w
}

func decodeJob(w wireJob) Job {
	j := Job{Kind: w.Kind, Class: w.Class, Deadline: clock.Millis(w.DeadlineMs), Payloads: make([]string, len(w.Tasks))}
	for i, t := range w.Tasks {
		j.Payloads[i] = t.Payload
	}
	return j
}

// decodeReply decodes an answer of the callers' interface. It uses the problem type, since
// several causes share a status.
func decodeReply(status int, body []byte) (Reply, error) {
	switch status {
	case http.StatusOK:
		var w wireResults
		if err := json.Unmarshal(body, &w); err != nil {
			return nil, errors.Annotate(err, "decode results")
		}
		return decodeResults(w)
	case http.StatusAccepted:
		return Pending{}, nil
	}
	var p wireProblem
	if err := json.Unmarshal(body, &p); err != nil {
		return nil, errors.Annotatef(err, "decode problem of status %d", status)
	}
	switch p.Type {
	case "failed":
		return FailedJob{Detail: p.Detail, Tasks: p.Tasks}, nil
	case "refused":
		return RefusedJob{Detail: p.Detail, RetryAfter: clock.Millis(p.RetryAfterMs)}, nil
	case "cannotTellYet":
		return Pending{RetryAfter: clock.Millis(p.RetryAfterMs)}, nil
	}
	return Rejected{Status: status, Detail: p.Type + ": " + p.Detail}, nil
}

// decodeResults decodes base64, which the service uses for results that are not UTF-8.
func decodeResults(w wireResults) (Reply, error) {
	if w.Encoding != "base64" {
		return Completed{Results: w.Results}, nil
	}
	results := make([]string, len(w.Results))
	for i, r := range w.Results {
		plain, err := base64.StdEncoding.DecodeString(r)
		if err != nil {
			return nil, errors.Annotatef(err, "decode result %d", i)
		}
		results[i] = string(plain)
	}
	return Completed{Results: results}, nil
}
