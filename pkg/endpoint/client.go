// Package endpoint speaks HTTP to endpoints.
package endpoint

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/loan"
)

// Headers of the endpoint protocol.
const (
	AttemptHeader  = "Sequoiacart-Attempt"
	DeadlineHeader = "Sequoiacart-DeadlineMs"
	NotRunHeader   = "Sequoiacart-NotRun"
)

// Values of NotRunHeader.
const (
	NotRunBusy    = "busy"
	NotRunLeaving = "leaving"
)

// ClientConfig bounds a client.
type ClientConfig struct {
	Connections datacentre.Connections
	ResultBytes int64
	DialTimeout clock.Millis
}

// Client sends tasks to endpoints.
type Client struct {
	config ClientConfig
	http   *http.Client
}

// NewClient returns a client with its own connections.
func NewClient(c ClientConfig) *Client {
	dialer := &net.Dialer{Timeout: c.DialTimeout.Duration()}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     int(c.Connections),
		MaxIdleConnsPerHost: int(c.Connections),
		// Slots move between VMs, so connections that are idle for the term of a loan make
		// room for those of the next user.
		IdleConnTimeout: loan.Term.Duration(),
	}
	return &Client{config: c, http: &http.Client{Transport: transport}}
}

// Run sends one attempt and tells how it ended. It never sends an attempt twice.
func (c *Client) Run(ctx context.Context, to datacentre.Endpoint, attempt contract.AttemptID, payload []byte, deadline clock.Millis) contract.AttemptResult {
	var written atomic.Bool
	trace := &httptrace.ClientTrace{
		// GotConn comes before the first byte is written, so a failure without it
		// proves that the endpoint saw nothing.
		GotConn: func(httptrace.GotConnInfo) { written.Store(true) },
	}
	// http.NewRequest sets GetBody, with which the transport would send the request
	// again on a broken idle connection.
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, "http://"+to.Address+"/run", bytes.NewReader(payload))
	if err != nil {
		return contract.NotStarted{Cause: contract.EndpointUnreachable}
	}
	request.GetBody = nil
	request.Header.Set(AttemptHeader, attempt.String())
	request.Header.Set(DeadlineHeader, strconv.FormatInt(int64(deadline), 10))
	response, err := c.http.Do(request)
	if err != nil {
		if !written.Load() {
			return contract.NotStarted{Cause: contract.EndpointUnreachable}
		}
		return contract.Ambiguous{Reason: "call endpoint " + string(to.ID) + ": " + err.Error()}
	}
	defer func() { _ = response.Body.Close() }()
	return c.read(to, attempt, response)
}

func (c *Client) read(to datacentre.Endpoint, attempt contract.AttemptID, response *http.Response) contract.AttemptResult {
	if response.Header.Get(AttemptHeader) != attempt.String() {
		return contract.Ambiguous{Reason: "read answer of endpoint " + string(to.ID) + ": it belongs to another attempt"}
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, c.config.ResultBytes+1))
	if err != nil {
		return contract.Ambiguous{Reason: "read answer of endpoint " + string(to.ID) + ": " + err.Error()}
	}
	if int64(len(body)) > c.config.ResultBytes {
		return contract.Ambiguous{Reason: "read answer of endpoint " + string(to.ID) + ": it is too large"}
	}
	switch {
	case response.StatusCode == http.StatusOK:
		return contract.Succeeded{Result: body}
	case response.StatusCode == http.StatusInternalServerError:
		return contract.RanAndFailed{Reason: "endpoint " + string(to.ID) + ": " + string(body)}
	case response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(NotRunHeader) == NotRunBusy:
		return contract.NotStarted{Cause: contract.EndpointBusy}
	case response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(NotRunHeader) == NotRunLeaving:
		return contract.NotStarted{Cause: contract.EndpointLeaving}
	}
	return contract.Ambiguous{Reason: "read answer of endpoint " + string(to.ID) + ": unexpected status " + response.Status}
}
