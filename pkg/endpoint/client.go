// Package endpoint is the HTTP client for endpoints.
package endpoint

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"

	"github.com/juju/errors"
	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/event"
	"github.com/sequoiacart/sequoiacart/pkg/loan"
	"github.com/sequoiacart/sequoiacart/pkg/metrics"
	"github.com/sequoiacart/sequoiacart/pkg/trace"
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

// ClientConfig configures a Client.
type ClientConfig struct {
	MaxConnections datacentre.Connections
	MaxResultBytes int64
	DialTimeout    clock.Millis
	// Dial opens connections; nil dials TCP with DialTimeout.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Metrics counts unusable answers; nil selects metrics with a registry of their own.
	Metrics *metrics.Metrics
	// Log receives a warning for each unusable answer; nil logs nothing.
	Log *event.Log
}

// Client sends tasks to endpoints.
type Client struct {
	config ClientConfig
	// http is used without an http.Client: a client copies the headers of each request in
	// order to follow redirects, and a redirect would send the task a second time.
	http *http.Transport
}

// maxIdleConnections bounds the idle connections of one VM to one endpoint. An endpoint accepts
// 64 connections from all VMs together: besides the 8 for its slots, 14 VMs can keep 4 each.
const maxIdleConnections = 4

// NewClient returns a client with its own connections.
func NewClient(c ClientConfig) *Client {
	if c.Dial == nil {
		c.Dial = (&net.Dialer{Timeout: c.DialTimeout.Duration()}).DialContext
	}
	if c.Metrics == nil {
		c.Metrics = metrics.New(gometrics.NewRegistry())
	}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := c.Dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: conn}, nil
		},
		MaxConnsPerHost:     int(c.MaxConnections),
		MaxIdleConnsPerHost: maxIdleConnections,
		DisableCompression:  true,
		// Slots move between VMs, so connections that are idle for the term of a loan are
		// closed in favour of those of the next borrower. The term is also below the idle
		// timeout of common servers, 5 s: a request that crosses the endpoint's close on
		// the network counts as one that may have run.
		IdleConnTimeout: loan.Term.Duration(),
	}
	return &Client{config: c, http: transport}
}

// Run sends one attempt and returns its result. It never sends an attempt twice.
func (c *Client) Run(ctx context.Context, to datacentre.Endpoint, attempt contract.AttemptID, payload []byte, deadline clock.Millis) contract.AttemptResult {
	tracker, id := &sendTracker{}, attempt.String()
	request, err := c.newRequest(httptrace.WithClientTrace(ctx, tracker.trace()), to, id, payload, deadline)
	if err != nil {
		return contract.NotStarted{Cause: contract.EndpointUnreachable}
	}
	response, err := c.http.RoundTrip(request)
	if err != nil {
		if tracker.confirmUnsent() {
			return contract.NotStarted{Cause: contract.EndpointUnreachable}
		}
		return c.reportUnusable(to, unusableReason(ctx, metrics.Broken), err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	result := c.readResult(ctx, to, id, response)
	if _, ok := result.(contract.Ambiguous); ok {
		tracker.closeConnection()
	}
	return result
}

func (c *Client) newRequest(ctx context.Context, to datacentre.Endpoint, id string, payload []byte, deadline clock.Millis) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Address+"/run", bytes.NewReader(payload))
	if err != nil {
		return nil, errors.Annotatef(err, "make request for endpoint %s", to.ID)
	}
	// http.NewRequest sets GetBody, with which the transport would resend the request if
	// an idle connection is broken.
	request.GetBody = nil
	request.Header.Set(AttemptHeader, id)
	request.Header.Set(DeadlineHeader, strconv.FormatInt(int64(deadline), 10))
	trace.Inject(ctx, request.Header)
	return request, nil
}

func (c *Client) readResult(ctx context.Context, to datacentre.Endpoint, id string, response *http.Response) contract.AttemptResult {
	if response.Header.Get(AttemptHeader) != id {
		return c.reportUnusable(to, metrics.Misrouted, "the answer belongs to another attempt")
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, c.config.MaxResultBytes+1))
	if err != nil {
		return c.reportUnusable(to, unusableReason(ctx, metrics.Truncated), err.Error())
	}
	if int64(len(body)) > c.config.MaxResultBytes {
		return c.reportUnusable(to, metrics.TooLarge, "the result is too large")
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
	return c.reportUnusable(to, metrics.UnexpectedStatus, "unexpected status "+response.Status)
}

// reportUnusable counts and logs an answer that does not show whether the task ran.
func (c *Client) reportUnusable(to datacentre.Endpoint, kind metrics.UnusableReason, detail string) contract.Ambiguous {
	c.config.Metrics.UnusableAnswer(kind)
	c.config.Log.Warn(event.EndpointUnusable, "endpoint's answer not usable", logrus.Fields{"endpoint": to.ID, "reason": kind, "detail": detail})
	return contract.Ambiguous{Reason: "read answer of endpoint " + string(to.ID) + ": " + detail}
}

// unusableReason returns Late if the context has ended, and the given reason otherwise.
func unusableReason(ctx context.Context, reason metrics.UnusableReason) metrics.UnusableReason {
	if ctx.Err() != nil {
		return metrics.Late
	}
	return reason
}
