package peer

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/internal/control/node"
	"github.com/sequoiacart/sequoiacart/internal/link/store"
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/trace"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// Dialer opens connections to peers.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// ClientConfig holds the dependencies and limits of a client.
type ClientConfig struct {
	Dialer Dialer
	// Timeout bounds calls that peers answer without waiting.
	Timeout clock.Millis
	// Patience is how much longer calls may take at present; nil means no longer.
	Patience func() clock.Millis
	// Tracer records a span for each submission; nil records none.
	Tracer *trace.Tracer
	// Meter counts bytes and messages; nil counts none.
	Meter Meter
}

// Client calls other entry VMs, over one connection to each address and another for large answers.
type Client struct {
	config ClientConfig

	mu          sync.Mutex
	connections map[route]*connection
	// detached has a channel for each earlier connection that is closed when a later one has been
	// answered.
	detached map[route][]chan struct{}
}

// route is one of the connections to an address. Large answers have one of their own, since the others
// would wait behind them.
type route struct {
	address string
	bulk    bool
}

// bulkTimeout bounds calls with large answers, which take long on a narrow link.
const bulkTimeout = clock.Second

// connection is a connection to a peer. ready is closed when the dial has ended; rpc or err is
// set by then.
type connection struct {
	ready chan struct{}
	rpc   *rpc.Client
	err   error
}

// NewClient returns a client without connections.
func NewClient(c ClientConfig) *Client {
	return &Client{config: c, connections: make(map[route]*connection), detached: make(map[route][]chan struct{})}
}

// SendHeartbeat sends a heartbeat. The answer may take longer than usual by the patience. refused reports
// that the peer's address refused the connection.
func (c *Client) SendHeartbeat(to shard.Member, request node.HeartbeatRequest, patience clock.Millis) (reply node.HeartbeatReply, refused bool, err error) {
	received := &node.HeartbeatReply{}
	if err := c.call(to, "Beat", request, received, c.config.Timeout+patience); err != nil {
		// received isn't returned, since a late reply may still write to it.
		return node.HeartbeatReply{}, errors.Is(err, syscall.ECONNREFUSED), err
	}
	return *received, false, nil
}

// Submit submits a job to a leader and waits up to limit for its outcome.
func (c *Client) Submit(to shard.Member, id shard.ID, s job.Submission, limit clock.Millis) job.Outcome {
	ctx, span := c.config.Tracer.Start(trace.WithParent(context.Background(), s.Job.Trace), trace.PeerHop, s.Job.ID)
	defer span.End()
	if p := trace.ParentOf(ctx); p != "" {
		s.Job.Trace = p
	}
	reply := &SubmitReply{}
	err := c.call(to, "Submit", SubmitRequest{Cell: id, Submission: s}, reply, limit)
	if err != nil {
		return job.Unanswered{Cause: err.Error()}
	}
	return decodeOutcome(*reply)
}

// Cancel forwards the cancellation of a job.
func (c *Client) Cancel(to shard.Member, j job.Cancellation) (node.CancelAnswer, error) {
	reply := &CancelReply{}
	err := c.call(to, "Cancel", CancelRequest{Job: j.Job, Origin: j.Origin}, reply, c.config.Timeout)
	return node.CancelAnswer{Led: reply.Led, Found: reply.Found}, err
}

// Yield asks a successor to take over a shard, and reports whether it has.
func (c *Client) Yield(a node.SendYield) (bool, error) {
	reply := &YieldReply{}
	request := YieldRequest{Lineup: a.ReplicaSet, Endpoints: a.Endpoints, EndpointsVersion: a.EndpointsVersion, From: a.From, Token: a.Token, Expires: a.Expires}
	if err := c.call(a.To, "Yield", request, reply, c.config.Timeout); err != nil {
		return false, err
	}
	return reply.Taken, nil
}

// FetchDesiredState returns a peer's desired state, or nil if it has none.
func (c *Client) FetchDesiredState(from shard.Member) (*queue.State, error) {
	reply := &DesiredReply{}
	if err := c.callBulk(from, "Desired", reply); err != nil {
		return nil, err
	}
	return decodeDesired(reply), nil
}

// FetchDeploymentState returns what a VM has recorded of the deployment. It needs only the
// address, since the incarnation of a seed is unknown.
func (c *Client) FetchDeploymentState(address string) (node.DeploymentState, error) {
	reply := &DeploymentStateReply{}
	if err := c.callBulk(shard.Member{Incarnation: vm.Incarnation(address), Address: address}, "Introduce", reply); err != nil {
		return node.DeploymentState{}, err
	}
	return node.DeploymentState{
		Desired: decodeDesired(&reply.Desired), VMs: reply.VMs, ReplicaSets: reply.Lineups,
		Endpoints: reply.Endpoints.Endpoints, EndpointsVersion: reply.Endpoints.Version, Evacuations: reply.Evacuations,
	}, nil
}

// FetchEndpoints returns a peer's list of endpoints and the version of the store it was read at.
func (c *Client) FetchEndpoints(from shard.Member) ([]endpoint.Endpoint, int64, error) {
	reply := &EndpointsReply{}
	if err := c.callBulk(from, "Endpoints", reply); err != nil {
		return nil, 0, err
	}
	return reply.Endpoints, reply.Version, nil
}

// FollowEndpoints returns the changes of the list of endpoints after a version, as another VM has read
// them, and how long ago it sent its request to the store. known is false if it does not have them all.
func (c *Client) FollowEndpoints(from shard.Member, after store.Revision) (s store.Snapshot, age clock.Millis, known bool, err error) {
	reply := &ChangesReply{}
	if err := c.call(from, "Changes", ChangesRequest{After: after}, reply, c.config.Timeout); err != nil {
		return store.Snapshot{}, 0, false, err
	}
	return reply.Snapshot, reply.Age, reply.Known, nil
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for on, p := range c.connections {
		delete(c.connections, on)
		go p.close()
	}
}

func (p *connection) close() {
	<-p.ready
	if p.rpc != nil {
		_ = p.rpc.Close()
	}
}

// callBulk makes a call whose answer may be large.
func (c *Client) callBulk(to shard.Member, method string, reply any) error {
	return c.callOn(route{address: to.Address, bulk: true}, to, method, Empty{}, reply, bulkTimeout)
}

func (c *Client) call(to shard.Member, method string, request, reply any, limit clock.Millis) error {
	return c.callOn(route{address: to.Address}, to, method, request, reply, limit)
}

func (c *Client) callOn(on route, to shard.Member, method string, request, reply any, limit clock.Millis) error {
	if c.config.Patience != nil {
		limit += c.config.Patience()
	}
	timer := time.NewTimer(limit.Duration())
	defer timer.Stop()
	p := c.connect(on)
	select {
	case <-p.ready:
	case <-timer.C:
		c.closeFailed(on, p)
		return errors.Timeoutf("%s at %s: connect", method, to.Incarnation)
	}
	if p.err != nil {
		c.closeFailed(on, p)
		return errors.Annotatef(p.err, "%s at %s", method, to.Incarnation)
	}
	done := p.rpc.Go(serviceName+"."+method, request, reply, make(chan *rpc.Call, 1))
	select {
	case call := <-done.Done:
		if call.Error != nil && !isPeerError(call.Error) {
			c.closeFailed(on, p)
		}
		if call.Error == nil {
			c.notifyDetached(on, p)
		}
		return errors.Annotatef(call.Error, "%s at %s", method, to.Incarnation)
	case <-timer.C:
		// A connection without answers may never recover, so the next call opens another.
		switch {
		case on.bulk:
			c.closeFailed(on, p)
		case method == "Beat":
			// Pending calls on this one may still be answered.
			c.detach(on, p, done.Done)
		}
		return errors.Timeoutf("%s at %s", method, to.Incarnation)
	}
}

// isPeerError reports whether the peer itself answered with an error.
func isPeerError(err error) bool {
	var s rpc.ServerError
	return errors.As(err, &s)
}

// connect returns the connection of a route, or starts to open one.
func (c *Client) connect(on route) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.connections[on]; p != nil {
		return p
	}
	p := &connection{ready: make(chan struct{})}
	c.connections[on] = p
	go func() {
		defer close(p.ready)
		n, err := c.config.Dialer.DialContext(context.Background(), "tcp", on.address)
		if err != nil {
			p.err = err
			return
		}
		p.rpc = rpc.NewClientWithCodec(newClientCodec(n, c.config.Meter))
	}()
	return p
}

// closeFailed closes a connection that has failed.
func (c *Client) closeFailed(on route, p *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.connections[on] == p {
		delete(c.connections, on)
	}
	go p.close()
}

// detachedLifetime is how long calls may stay pending on a connection that has been replaced.
const detachedLifetime = 2 * clock.Second

// detach makes the next call open a new connection, since a heartbeat on this one has timed out.
// late receives the answer to the heartbeat if there is one after all.
func (c *Client) detach(on route, p *connection, late <-chan *rpc.Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.connections[on] != p {
		return
	}
	delete(c.connections, on)
	replaced := make(chan struct{})
	c.detached[on] = append(c.detached[on], replaced)
	go func() {
		p.awaitSilence(late, replaced, c.config.Timeout)
		p.close()
	}()
}

// awaitSilence returns when the calls that are pending on a detached connection have to end without
// an answer, so that submissions are made again on a later connection: when the peer has answered
// there, closing replaced, and the late heartbeat stays unanswered for another timeout. A peer that
// is only slow answers both, and its calls stay pending for detachedLifetime.
func (p *connection) awaitSilence(late <-chan *rpc.Call, replaced <-chan struct{}, timeout clock.Millis) {
	lifetime := time.NewTimer(detachedLifetime.Duration())
	defer lifetime.Stop()
	select {
	case <-replaced:
		silence := time.NewTimer(timeout.Duration())
		defer silence.Stop()
		select {
		case <-silence.C:
			return
		case <-late:
		}
	case <-late:
	case <-lifetime.C:
		return
	}
	<-lifetime.C
}

// notifyDetached tells the detached connections of a route that the peer has answered on the
// present one.
func (c *Client) notifyDetached(on route, present *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.connections[on] != present {
		return
	}
	for _, replaced := range c.detached[on] {
		close(replaced)
	}
	delete(c.detached, on)
}
