// Package submit is a client of the callers' HTTP interface. It submits jobs, retries calls whose
// outcome isn't known, and summarises the outcomes.
package submit

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// ClientConfig configures a client.
type ClientConfig struct {
	// Addresses are the host:port addresses of the entry VMs, used round-robin.
	Addresses []string
	// Token is the owner's bearer token.
	Token string
	// Wait is how long one call waits for a job to finish.
	Wait clock.Millis
}

// Client reserves ids and submits jobs at entry VMs.
type Client struct {
	config ClientConfig
	http   *http.Client
}

const (
	maxIdleConnectionsPerHost = 256
	// callMargin is how much longer a call may take than the entry VM waits for the job.
	callMargin = 5 * clock.Second
)

// NewClient returns a client with its own connection pool.
func NewClient(c ClientConfig) *Client {
	return &Client{config: c, http: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnectionsPerHost},
		Timeout:   (c.Wait + callMargin).Duration(),
	}}
}

// Reserve reserves job ids at the entry VM with the given round-robin index.
func (c *Client) Reserve(ctx context.Context, vmIndex, count int) ([]string, error) {
	status, body, err := c.call(ctx, http.MethodPost, c.address(vmIndex)+"/v1/ids", wireIDRequest{Count: count})
	if err != nil {
		return nil, errors.Annotatef(err, "reserve ids at %s", c.address(vmIndex))
	}
	if status != http.StatusOK {
		return nil, errors.Errorf("reserve ids at %s: status %d: %s", c.address(vmIndex), status, body)
	}
	var w wireIDs
	return w.IDs, errors.Annotate(json.Unmarshal(body, &w), "decode ids")
}

// Submit submits a job under an id at the entry VM with the given round-robin index.
func (c *Client) Submit(ctx context.Context, vmIndex int, id string, j Job) (Reply, error) {
	url := c.address(vmIndex) + "/v1/jobs/" + id + "?waitMs=" + strconv.FormatInt(int64(c.config.Wait), 10)
	status, body, err := c.call(ctx, http.MethodPut, url, encodeJob(j))
	if err != nil {
		return nil, errors.Annotatef(err, "submit job at %s", c.address(vmIndex))
	}
	return decodeReply(status, body)
}

// SubmitAndWait submits a job and retries the call at the next entry VM after an error or a Pending
// reply, until it gets another reply or the context ends. It returns the number of retries.
func (c *Client) SubmitAndWait(ctx context.Context, vmIndex int, id string, j Job) (Reply, int, error) {
	for retries := 0; ; retries++ {
		reply, err := c.Submit(ctx, vmIndex+retries, id, j)
		pause := retryPause
		if err == nil {
			pending, ok := reply.(Pending)
			if !ok {
				return reply, retries, nil
			}
			pause = max(pause, pending.RetryAfter)
		}
		select {
		case <-ctx.Done():
			return Pending{}, retries, errors.Annotate(ctx.Err(), "wait for a job to finish")
		case <-time.After(pause.Duration()):
		}
	}
}

// retryPause prevents a busy loop of retries when a VM refuses connections.
const retryPause clock.Millis = 100

func (c *Client) address(vmIndex int) string {
	return "http://" + c.config.Addresses[vmIndex%len(c.config.Addresses)]
}

func (c *Client) call(ctx context.Context, method, url string, payload any) (int, []byte, error) {
	body, err := json.Marshal(payload)
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
	return response.StatusCode, answer, errors.Trace(err)
}
