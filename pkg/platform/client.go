package platform

import (
	"cmp"
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/internal/link/store"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	wire "github.com/sequoiacart/sequoiacart/platform"
)

// ClientConfig configures a Client. Zero values select the defaults.
type ClientConfig struct {
	// Address is the host:port of the platform.
	Address string
	// AttemptTimeout bounds one attempt of a call.
	AttemptTimeout clock.Millis
	// MaxAttempts bounds the attempts of an idempotent call.
	MaxAttempts int
	// InitialBackoff and MaxBackoff bound the delays between attempts.
	InitialBackoff clock.Millis
	MaxBackoff     clock.Millis
	// CallsPerSecond limits the calls of this client; each attempt counts as one.
	CallsPerSecond int
	// MaxAnswerBytes bounds the size of an answer.
	MaxAnswerBytes int64
	Clock          clock.Clock
	// OnUnreadableRow is called for each row of the list of endpoints that does not describe
	// a usable endpoint; nil ignores such rows.
	OnUnreadableRow func(err error)
}

const (
	defaultMaxAttempts    = 3
	defaultInitialBackoff = clock.Millis(50)
	defaultMaxBackoff     = clock.Second
	// The platform sustains about 2,000 reads a second for all clients together.
	defaultCallsPerSecond = 50
	defaultMaxAnswerBytes = 16 << 20
)

// Client is the entry daemon's client for the platform. It adds retries and a rate limit to the
// client of the platform's store. It implements VMList, and provides Table and Objects.
type Client struct {
	config  ClientConfig
	store   *wire.Store
	backoff backoff
	limiter *rateLimiter

	// mu guards the copy of the list of endpoints as of listedVersion.
	mu            sync.Mutex
	listed        map[string]store.Row
	listedVersion store.Revision
}

// NewClient returns a client with its own connections.
func NewClient(c ClientConfig) *Client {
	if c.Clock == nil {
		c.Clock = clock.NewSystem()
	}
	if c.OnUnreadableRow == nil {
		c.OnUnreadableRow = func(error) {}
	}
	c.MaxAttempts = cmp.Or(c.MaxAttempts, defaultMaxAttempts)
	c.InitialBackoff = cmp.Or(c.InitialBackoff, defaultInitialBackoff)
	c.MaxBackoff = cmp.Or(c.MaxBackoff, defaultMaxBackoff)
	c.CallsPerSecond = cmp.Or(c.CallsPerSecond, defaultCallsPerSecond)
	c.MaxAnswerBytes = cmp.Or(c.MaxAnswerBytes, int64(defaultMaxAnswerBytes))
	// The default transport would share connections with the rest of the process.
	transport := &http.Transport{MaxConnsPerHost: maxConnections, IdleConnTimeout: idleTimeout.Duration()}
	return &Client{
		config: c,
		store: wire.NewStore(wire.StoreConfig{
			Address: c.Address, Timeout: c.AttemptTimeout, Transport: transport, MaxAnswerBytes: c.MaxAnswerBytes,
		}),
		backoff: backoff{clock: c.Clock, initial: c.InitialBackoff, maximum: c.MaxBackoff},
		limiter: &rateLimiter{clock: c.Clock, perSecond: c.CallsPerSecond},
	}
}

// A few connections are enough for the rate limit; idle ones are closed after a minute.
const (
	maxConnections = 8
	idleTimeout    = clock.Minute
)

// Close closes idle connections.
func (c *Client) Close() { c.store.CloseIdleConnections() }

// Table returns the client's view of the table service.
func (c *Client) Table() Table { return tableClient{c} }

// Objects returns the client's view of the object store.
func (c *Client) Objects() Objects { return objectClient{c} }

// connectionsPerEndpoint is the number of connections that an endpoint accepts, in both
// deployments.
const connectionsPerEndpoint = 64

// ListVMs implements VMList. Only the first call reads the whole list; later ones read the
// changes since the previous call, unless the store's history no longer has them.
func (c *Client) ListVMs(ctx context.Context, dc datacentre.ID) ([]ListedVM, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.refresh(ctx); err != nil {
		return nil, errors.Annotate(err, "list VMs")
	}
	var vms []ListedVM
	for _, r := range sortedRows(c.listed) {
		e, err := wire.DecodeEndpoint(r)
		if err == nil && e.DataCentre != dc {
			continue
		}
		slots, slotsErr := wire.DecodeSlots(r)
		if err = cmp.Or(err, slotsErr); err != nil {
			c.config.OnUnreadableRow(err)
			continue
		}
		state := Active
		if e.Draining {
			state = Leaving
		}
		vms = append(vms, ListedVM{State: state, Endpoint: datacentre.Endpoint{
			ID: e.ID, DataCentre: e.DataCentre, Rack: e.Rack, Address: e.Address, Slots: slots, Connections: connectionsPerEndpoint,
		}})
	}
	return vms, nil
}

// refresh updates the copy of the list of endpoints.
func (c *Client) refresh(ctx context.Context) error {
	if c.listed != nil {
		changes, err := withRetries(ctx, c, func() (store.Snapshot, error) {
			return c.store.Follow(ctx, wire.Endpoints, c.listedVersion, 0)
		})
		if err == nil {
			c.apply(changes)
			return nil
		}
		if !errors.Is(err, store.ErrHistoryTruncated) {
			return err
		}
	}
	all, err := withRetries(ctx, c, func() (store.Snapshot, error) { return c.store.Read(ctx, wire.Endpoints) })
	if err != nil {
		return err
	}
	c.listed = make(map[string]store.Row)
	c.apply(all)
	return nil
}

func (c *Client) apply(s store.Snapshot) {
	for _, r := range s.Rows {
		if r.Removed {
			delete(c.listed, r.Key)
			continue
		}
		c.listed[r.Key] = r
	}
	c.listedVersion = s.Version
}

// withRetries makes an idempotent call (a read, or a write of the same bytes under the same name)
// and retries it with a backoff while the platform does not answer.
func withRetries[T any](ctx context.Context, c *Client, call func() (T, error)) (T, error) {
	for retry := 0; ; retry++ {
		answer, err := withRateLimit(ctx, c, call)
		if err == nil || !errors.Is(err, ErrUnavailable) || retry+1 >= c.config.MaxAttempts {
			return answer, err
		}
		if c.backoff.pause(ctx, retry) != nil {
			return answer, err
		}
	}
}

// withRateLimit makes one attempt as soon as the rate limit allows it.
func withRateLimit[T any](ctx context.Context, c *Client, call func() (T, error)) (T, error) {
	if err := c.limiter.admit(ctx); err != nil {
		var none T
		return none, errors.Annotatef(ErrUnavailable, "call platform %s: %v", c.config.Address, err)
	}
	answer, err := call()
	return answer, errors.Annotatef(err, "call platform %s", c.config.Address)
}

type tableClient struct{ client *Client }

func (t tableClient) Get(ctx context.Context, key Key) (Row, error) {
	r, err := withRetries(ctx, t.client, func() (store.Row, error) { return t.client.store.Get(ctx, store.Entry, string(key)) })
	if err != nil {
		return Row{}, errors.Annotate(err, "get row")
	}
	return toRow(r), nil
}

func (t tableClient) List(ctx context.Context, prefix Key) ([]Row, error) {
	s, err := withRetries(ctx, t.client, func() (store.Snapshot, error) {
		return t.client.store.ReadRange(ctx, store.Entry, string(prefix), prefixEnd(prefix))
	})
	if err != nil {
		return nil, errors.Annotate(err, "list rows")
	}
	rows := make([]Row, len(s.Rows))
	for i, r := range s.Rows {
		rows[i] = toRow(r)
	}
	return rows, nil
}

// prefixEnd returns the first key that sorts after all keys with the prefix.
func prefixEnd(prefix Key) string {
	if prefix == "" {
		return ""
	}
	last := len(prefix) - 1
	return string(prefix[:last]) + string(rune(prefix[last]+1))
}

func (t tableClient) Put(ctx context.Context, key Key, expected Revision, value []byte) (Revision, error) {
	revision, err := withRateLimit(ctx, t.client, func() (store.Revision, error) {
		return t.client.store.Write(ctx, store.Entry, string(key), value, store.Revision(expected))
	})
	return Revision(revision), errors.Annotate(err, "put row")
}

func (t tableClient) Delete(ctx context.Context, key Key, expected Revision) error {
	_, err := withRateLimit(ctx, t.client, func() (struct{}, error) {
		return struct{}{}, t.client.store.Remove(ctx, store.Entry, string(key), store.Revision(expected))
	})
	return errors.Annotate(err, "delete row")
}

func toRow(r store.Row) Row {
	return Row{Key: Key(r.Key), Revision: Revision(r.Revision), Value: r.Value}
}

type objectClient struct{ client *Client }

func (o objectClient) Put(ctx context.Context, name ObjectName, body []byte) error {
	_, err := withRetries(ctx, o.client, func() (struct{}, error) {
		return struct{}{}, o.client.store.PutObject(ctx, string(name), body)
	})
	return errors.Annotate(err, "put object")
}

func (o objectClient) Get(ctx context.Context, name ObjectName) ([]byte, error) {
	body, err := withRetries(ctx, o.client, func() ([]byte, error) { return o.client.store.GetObject(ctx, string(name)) })
	return body, errors.Annotate(err, "get object")
}

func sortedRows(rows map[string]store.Row) []store.Row {
	all := slices.Collect(maps.Values(rows))
	slices.SortFunc(all, func(a, b store.Row) int { return cmp.Compare(a.Key, b.Key) })
	return all
}
