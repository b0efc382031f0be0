package platform

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// ClientConfig holds what a client is made of. Zero values stand for the defaults.
type ClientConfig struct {
	// Address is host and port of the platform.
	Address string
	// Timeout bounds one attempt of a call.
	Timeout clock.Millis
	// Attempts bounds the attempts of a call that may be repeated.
	Attempts int
	// FirstPause and LongestPause bound the pauses between attempts.
	FirstPause   clock.Millis
	LongestPause clock.Millis
	// CallsPerSecond bounds the calls of this client, attempts counted singly.
	CallsPerSecond int
	// AnswerBytes bounds an answer.
	AnswerBytes int64
	Clock       clock.Clock
}

const (
	defaultAttempts     = 3
	defaultFirstPause   = clock.Millis(50)
	defaultLongestPause = clock.Second
	// The platform sustains about 2,000 reads a second for everybody.
	defaultCallsPerSecond = 50
	defaultAnswerBytes    = 16 << 20
)

// Client speaks HTTP to the platform. It implements Table, Objects and VMList.
type Client struct {
	config  ClientConfig
	http    *http.Client
	backoff backoff
	limit   *rateLimit
}

// NewClient returns a client with its own connections.
func NewClient(c ClientConfig) *Client {
	if c.Clock == nil {
		c.Clock = clock.NewSystem()
	}
	c.Attempts = cmp.Or(c.Attempts, defaultAttempts)
	c.FirstPause = cmp.Or(c.FirstPause, defaultFirstPause)
	c.LongestPause = cmp.Or(c.LongestPause, defaultLongestPause)
	c.CallsPerSecond = cmp.Or(c.CallsPerSecond, defaultCallsPerSecond)
	c.AnswerBytes = cmp.Or(c.AnswerBytes, int64(defaultAnswerBytes))
	// An own transport: the default one would share connections with the rest of the process.
	transport := &http.Transport{MaxConnsPerHost: maxConnections, IdleConnTimeout: idleTimeout.Duration()}
	return &Client{
		config:  c,
		http:    &http.Client{Timeout: c.Timeout.Duration(), Transport: transport},
		backoff: backoff{clock: c.Clock, first: c.FirstPause, limit: c.LongestPause},
		limit:   &rateLimit{clock: c.Clock, perSecond: c.CallsPerSecond},
	}
}

// A handful of connections serves the rate limit; idle ones are closed within a minute.
const (
	maxConnections = 8
	idleTimeout    = clock.Minute
)

// Close drops idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Table returns the client's view of the table service.
func (c *Client) Table() Table { return tableClient{c} }

// Objects returns the client's view of the object store.
func (c *Client) Objects() Objects { return objectClient{c} }

// ListVMs implements VMList.
func (c *Client) ListVMs(ctx context.Context, dc datacentre.ID) ([]ListedVM, error) {
	body, err := c.repeat(ctx, http.MethodGet, "/v1/vms?dataCentre="+url.QueryEscape(string(dc)), nil)
	if err != nil {
		return nil, errors.Annotate(err, "list VMs")
	}
	return DecodeVMs(body)
}

// repeat makes a call that may be repeated, because it reads or writes the same bytes
// under the same name. It backs off while the platform does not answer.
func (c *Client) repeat(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	for retry := 0; ; retry++ {
		answer, err := c.do(ctx, method, path, body)
		if err == nil || !errors.Is(err, ErrUnavailable) || retry+1 >= c.config.Attempts {
			return answer, err
		}
		if c.backoff.pause(ctx, retry) != nil {
			return nil, err
		}
	}
}

// do makes one attempt.
func (c *Client) do(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	if err := c.limit.admit(ctx); err != nil {
		return nil, errors.Annotatef(ErrUnavailable, "call platform %s: %v", c.config.Address, err)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.config.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Annotatef(err, "call platform %s", c.config.Address)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, errors.Annotatef(ErrUnavailable, "call platform %s: %v", c.config.Address, err)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(response.Body, c.config.AnswerBytes+1))
	if err != nil {
		return nil, errors.Annotatef(ErrUnavailable, "read answer of platform %s: %v", c.config.Address, err)
	}
	if int64(len(answer)) > c.config.AnswerBytes {
		return nil, errors.Annotatef(ErrTooLarge, "read answer of platform %s: %s: more than %d bytes", c.config.Address, path, c.config.AnswerBytes)
	}
	switch response.StatusCode {
	case http.StatusOK:
		return answer, nil
	case http.StatusNotFound:
		return nil, errors.Annotatef(ErrAbsent, "call platform %s: %s", c.config.Address, path)
	case http.StatusPreconditionFailed:
		return nil, errors.Annotatef(ErrRevision, "call platform %s: %s", c.config.Address, path)
	}
	return nil, errors.Annotatef(ErrUnavailable, "call platform %s: status %s", c.config.Address, response.Status)
}

type tableClient struct{ client *Client }

func (t tableClient) Get(ctx context.Context, key Key) (Row, error) {
	body, err := t.client.repeat(ctx, http.MethodGet, "/v1/table/"+url.PathEscape(string(key)), nil)
	if err != nil {
		return Row{}, errors.Annotate(err, "get row")
	}
	var w WireRow
	if err := json.Unmarshal(body, &w); err != nil {
		return Row{}, errors.Annotate(err, "decode row")
	}
	return DecodeRow(w), nil
}

func (t tableClient) List(ctx context.Context, prefix Key) ([]Row, error) {
	body, err := t.client.repeat(ctx, http.MethodGet, "/v1/table?prefix="+url.QueryEscape(string(prefix)), nil)
	if err != nil {
		return nil, errors.Annotate(err, "list rows")
	}
	var ws []WireRow
	if err := json.Unmarshal(body, &ws); err != nil {
		return nil, errors.Annotate(err, "decode rows")
	}
	rows := make([]Row, len(ws))
	for i, w := range ws {
		rows[i] = DecodeRow(w)
	}
	return rows, nil
}

func (t tableClient) Put(ctx context.Context, key Key, expected Revision, value []byte) (Revision, error) {
	body, err := t.client.do(ctx, http.MethodPut, rowPath(key, expected), value)
	if err != nil {
		return 0, errors.Annotate(err, "put row")
	}
	revision, err := strconv.ParseUint(string(body), 10, 64)
	return Revision(revision), errors.Annotate(err, "decode revision")
}

func (t tableClient) Delete(ctx context.Context, key Key, expected Revision) error {
	_, err := t.client.do(ctx, http.MethodDelete, rowPath(key, expected), nil)
	return errors.Annotate(err, "delete row")
}

func rowPath(key Key, expected Revision) string {
	return "/v1/table/" + url.PathEscape(string(key)) + "?expected=" + strconv.FormatUint(uint64(expected), 10)
}

type objectClient struct{ client *Client }

func (o objectClient) Put(ctx context.Context, name ObjectName, body []byte) error {
	_, err := o.client.repeat(ctx, http.MethodPut, "/v1/objects/"+url.PathEscape(string(name)), body)
	return errors.Annotate(err, "put object")
}

func (o objectClient) Get(ctx context.Context, name ObjectName) ([]byte, error) {
	body, err := o.client.repeat(ctx, http.MethodGet, "/v1/objects/"+url.PathEscape(string(name)), nil)
	return body, errors.Annotate(err, "get object")
}
