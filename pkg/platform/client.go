package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// ClientConfig holds what a client is made of.
type ClientConfig struct {
	// Address is host and port of the platform.
	Address string
	Timeout clock.Millis
}

// Client speaks HTTP to the platform. It implements Table, Objects and VMList.
type Client struct {
	config ClientConfig
	http   *http.Client
}

// NewClient returns a client with its own connections.
func NewClient(c ClientConfig) *Client {
	return &Client{config: c, http: &http.Client{Timeout: c.Timeout.Duration()}}
}

// Table returns the client's view of the table service.
func (c *Client) Table() Table { return tableClient{c} }

// Objects returns the client's view of the object store.
func (c *Client) Objects() Objects { return objectClient{c} }

// ListVMs implements VMList.
func (c *Client) ListVMs(ctx context.Context) ([]ListedVM, error) {
	body, err := c.do(ctx, http.MethodGet, "/v1/vms", nil)
	if err != nil {
		return nil, errors.Annotate(err, "list VMs")
	}
	return DecodeVMs(body)
}

func (c *Client) do(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.config.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Annotatef(err, "call platform %s", c.config.Address)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, errors.Annotatef(ErrUnavailable, "call platform %s: %v", c.config.Address, err)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, errors.Annotatef(ErrUnavailable, "read answer of platform %s: %v", c.config.Address, err)
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
	body, err := t.client.do(ctx, http.MethodGet, "/v1/table/"+url.PathEscape(string(key)), nil)
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
	body, err := t.client.do(ctx, http.MethodGet, "/v1/table?prefix="+url.QueryEscape(string(prefix)), nil)
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
	_, err := o.client.do(ctx, http.MethodPut, "/v1/objects/"+url.PathEscape(string(name)), body)
	return errors.Annotate(err, "put object")
}

func (o objectClient) Get(ctx context.Context, name ObjectName) ([]byte, error) {
	body, err := o.client.do(ctx, http.MethodGet, "/v1/objects/"+url.PathEscape(string(name)), nil)
	return body, errors.Annotate(err, "get object")
}
