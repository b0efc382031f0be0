package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/metrics"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/trace"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// Dialer opens connections to peers. Tests replace it to simulate failed links.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// ClientConfig holds the dependencies of a client.
type ClientConfig struct {
	Dialer Dialer
	// TLS turns on mutual TLS; nil means plain TCP.
	TLS *tls.Config
	// Tracer records the peer hop; it may be nil.
	Tracer *trace.Tracer
	// Metrics counts calls and failures; it may be nil.
	Metrics *metrics.Metrics
}

// Client calls other entry VMs, over one connection per VM.
type Client struct {
	config ClientConfig

	mu sync.Mutex
	// peers holds the open connections by peer address.
	peers map[string]*rpc.Client
}

// NewClient returns a client without connections.
func NewClient(c ClientConfig) *Client {
	return &Client{config: c, peers: make(map[string]*rpc.Client)}
}

// Submit forwards a submission to its issuer and returns the answer.
func (c *Client) Submit(ctx context.Context, issuer vm.VM, s contract.Submission, wait clock.Millis) (contract.Answer, error) {
	ctx, span := c.config.Tracer.Start(ctx, trace.PeerHop, s.ID)
	defer span.End()
	s.Trace = trace.ParentOf(ctx)
	return c.answer(ctx, issuer, "Contract.Submit", SubmitRequest{Submission: encodeSubmission(s), WaitMs: int64(wait)})
}

// Ask requests the answer of a submission from its issuer.
func (c *Client) Ask(ctx context.Context, issuer vm.VM, id contract.SubmissionID, o owner.ID, wait clock.Millis) (contract.Answer, error) {
	return c.ask(ctx, issuer, "Contract.Ask", id, o, wait)
}

// Cancel requests the cancellation of a submission from its issuer.
func (c *Client) Cancel(ctx context.Context, issuer vm.VM, id contract.SubmissionID, o owner.ID) (contract.Answer, error) {
	return c.ask(ctx, issuer, "Contract.Cancel", id, o, 0)
}

// AskWitness requests the answer of a submission from its witness.
func (c *Client) AskWitness(ctx context.Context, witness vm.VM, q contract.Query) (contract.Answer, error) {
	ctx, span := c.config.Tracer.Start(ctx, trace.PeerHop, q.ID)
	defer span.End()
	return c.answer(ctx, witness, "Witness.Ask", AskRequest{ID: q.ID.String(), Owner: string(q.Owner), Digest: q.Digest[:], TraceParent: string(trace.ParentOf(ctx))})
}

func (c *Client) ask(ctx context.Context, to vm.VM, method string, id contract.SubmissionID, o owner.ID, wait clock.Millis) (contract.Answer, error) {
	ctx, span := c.config.Tracer.Start(ctx, trace.PeerHop, id)
	defer span.End()
	return c.answer(ctx, to, method, AskRequest{ID: id.String(), Owner: string(o), WaitMs: int64(wait), TraceParent: string(trace.ParentOf(ctx))})
}

// Record sends a batch of records to a witness and returns a status for each record.
func (c *Client) Record(ctx context.Context, witness vm.VM, issuer vm.Incarnation, batch contract.BatchNumber, records []contract.Record) ([]contract.RecordStatus, error) {
	request := RecordRequest{Issuer: string(issuer), Batch: uint64(batch), Records: make([]WireRecord, len(records))}
	for i, r := range records {
		request.Records[i] = encodeRecord(r)
	}
	var reply RecordReply
	if err := c.call(ctx, witness, "Witness.Record", request, &reply); err != nil {
		return nil, errors.Trace(err)
	}
	if len(reply.Statuses) != len(records) {
		return nil, errors.NotValidf("record at %s: %d statuses for %d records: reply", witness.Incarnation, len(reply.Statuses), len(records))
	}
	statuses := make([]contract.RecordStatus, len(records))
	for i, s := range reply.Statuses {
		statuses[i] = contract.RecordStatus(s)
	}
	return statuses, nil
}

// HandOver sends a witness answers that an issuer gave without it, after a release or at
// shutdown. With last set, the issuer starts no more tasks.
func (c *Client) HandOver(ctx context.Context, witness vm.VM, issuer vm.Incarnation, records []contract.Record, last bool) error {
	request := HandOverRequest{Issuer: string(issuer), Records: make([]WireRecord, len(records)), Last: last}
	for i, r := range records {
		request.Records[i] = encodeRecord(r)
	}
	var reply RecordReply
	return errors.Trace(c.call(ctx, witness, "Witness.HandOver", request, &reply))
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, p := range c.peers {
		_ = p.Close()
		delete(c.peers, address)
	}
}

func (c *Client) answer(ctx context.Context, to vm.VM, method string, request any) (contract.Answer, error) {
	var reply WireAnswer
	if err := c.call(ctx, to, method, request, &reply); err != nil {
		return nil, errors.Trace(err)
	}
	return decodeAnswer(reply)
}

func (c *Client) call(ctx context.Context, to vm.VM, method string, request, reply any) error {
	err := c.send(ctx, to, method, request, reply)
	if c.config.Metrics != nil {
		c.config.Metrics.PeerCalled(method, err)
	}
	return err
}

func (c *Client) send(ctx context.Context, to vm.VM, method string, request, reply any) error {
	p, err := c.connect(ctx, to.PeerAddress)
	if err != nil {
		return errors.Annotatef(err, "connect to peer %s", to.Incarnation)
	}
	done := make(chan *rpc.Call, 1)
	written := make(chan struct{})
	// rpc.Client.Go returns only after the request is written, which blocks for ever if the
	// peer reads nothing.
	go func() {
		p.Go(method, request, reply, done)
		close(written)
	}()
	select {
	case call := <-done:
		if call.Error != nil {
			c.drop(to.PeerAddress, p, call.Error)
			return errors.Annotatef(call.Error, "%s at peer %s", method, to.Incarnation)
		}
		return nil
	case <-ctx.Done():
		c.dropUnlessWritten(to.PeerAddress, p, written)
		return errors.Annotatef(ctx.Err(), "%s at peer %s", method, to.Incarnation)
	}
}

// dropUnlessWritten closes a connection on which the peer does not read, which also ends
// the goroutine that writes the request.
func (c *Client) dropUnlessWritten(address string, p *rpc.Client, written <-chan struct{}) {
	select {
	case <-written:
	default:
		c.drop(address, p, rpc.ErrShutdown)
	}
}

func (c *Client) connect(ctx context.Context, address string) (*rpc.Client, error) {
	c.mu.Lock()
	p, ok := c.peers[address]
	c.mu.Unlock()
	if ok {
		return p, nil
	}
	conn, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if other, ok := c.peers[address]; ok {
		_ = conn.Close()
		return other, nil
	}
	p = rpc.NewClientWithCodec(clientCodec{newGobStream(conn)})
	c.peers[address] = p
	return p, nil
}

func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := c.config.Dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if c.config.TLS == nil {
		return conn, nil
	}
	tlsConn := tls.Client(conn, c.config.TLS)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return tlsConn, nil
}

// drop closes and removes a broken connection. It keeps the connection after an error that
// the peer itself returned.
func (c *Client) drop(address string, p *rpc.Client, err error) {
	if _, ok := err.(rpc.ServerError); ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peers[address] == p {
		delete(c.peers, address)
	}
	_ = p.Close()
}
