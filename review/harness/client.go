//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// step is a step of a job.
type step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu"`
	Memory       int    `json:"mem_mb"`
	Estimate     int64  `json:"estimate_ms"`
	After        []int  `json:"after,omitempty"`
	Requirements string `json:"requirements,omitempty"`
}

// client sends jobs to nodes.
type client struct {
	http   http.Client
	record *record
}

func newClient(r *record) *client {
	return &client{record: r, http: http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// answer is the response to a request, or the error.
type answer struct {
	status int
	body   string
	sent   time.Time
	at     time.Time
}

func (c *client) do(method string, n *node, path, body string, limit time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.callers+path, strings.NewReader(body))
	if err != nil {
		fail("request: %v", err)
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Sequoiacart-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	sent := time.Now()
	c.record.logAt(sent, "client: %s %s to node %s", method, path, n.name)
	response, err := c.http.Do(r)
	if err != nil {
		c.record.log("client: %s %s at node %s: no answer", method, path, n.name)
		return answer{sent: sent, at: time.Now()}
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	a := answer{status: response.StatusCode, body: string(text), sent: sent, at: time.Now()}
	c.record.logAt(a.at, "client: %s %s at node %s: %d %s", method, path, n.name, a.status, strings.TrimSpace(a.body))
	return a
}

// post sends a best-effort job whose tasks run for the given time and need the processor share of the
// first step.
func (c *client) post(n *node, prefix, id string, runMs int64, steps []step, limit time.Duration) answer {
	spec, err := json.Marshal(map[string]any{"runMs": runMs, "milliCores": steps[0].CPU})
	if err != nil {
		fail("encode task: %v", err)
	}
	body, err := json.Marshal(map[string]any{"task_spec": string(spec), "best_effort": true, "steps": steps})
	if err != nil {
		fail("encode job: %v", err)
	}
	return c.do(http.MethodPost, n, prefix+id, string(body), limit)
}
