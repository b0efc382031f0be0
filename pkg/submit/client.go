// Package submit is a client of the callers' interface that sends jobs and sums up the answers.
package submit

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// ClientConfig holds what a client is made of.
type ClientConfig struct {
	// Addresses are the entry VMs, taken in turn.
	Addresses []string
	Token     string
	Wait      clock.Millis
}

// Client speaks to entry VMs.
type Client struct {
	config ClientConfig
	http   *http.Client
}

// NewClient returns a client with its own connections.
func NewClient(c ClientConfig) *Client {
	return &Client{config: c, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
}

// Job is a job to send.
type Job struct {
	Kind     string
	Class    string
	Payloads []string
}

// Status is the HTTP status of an answer.
type Status int

// Reserve reserves ids at the entry VM of the given turn.
func (c *Client) Reserve(ctx context.Context, turn, count int) ([]string, error) {
	var reply struct {
		IDs []string `json:"ids"`
	}
	status, body, err := c.call(ctx, http.MethodPost, c.address(turn)+"/v1/ids", map[string]int{"count": count})
	if err != nil {
		return nil, errors.Annotate(err, "reserve ids")
	}
	if status != http.StatusOK {
		return nil, errors.Errorf("reserve ids at %s: status %d: %s", c.address(turn), status, body)
	}
	return reply.IDs, errors.Annotate(json.Unmarshal(body, &reply), "decode ids")
}

// Put submits a job under an id at the entry VM of the given turn.
func (c *Client) Put(ctx context.Context, turn int, id string, j Job) (Status, []byte, error) {
	type wireTask struct {
		Payload string `json:"payload"`
	}
	tasks := make([]wireTask, len(j.Payloads))
	for i, p := range j.Payloads {
		tasks[i] = wireTask{Payload: p}
	}
	body := map[string]any{"kind": j.Kind, "class": j.Class, "tasks": tasks}
	url := c.address(turn) + "/v1/jobs/" + id + "?waitMs=" + strconv.FormatInt(int64(c.config.Wait), 10)
	return c.call(ctx, http.MethodPut, url, body)
}

func (c *Client) address(turn int) string {
	return "http://" + c.config.Addresses[turn%len(c.config.Addresses)]
}

func (c *Client) call(ctx context.Context, method, url string, content any) (Status, []byte, error) {
	body, err := json.Marshal(content)
	if err != nil {
		return 0, nil, errors.Trace(err)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Trace(err)
	}
	request.Header.Set("Authorization", "Bearer "+c.config.Token)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return Status(response.StatusCode), answer, errors.Trace(err)
}
