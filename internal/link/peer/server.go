// Package peer implements the net/rpc client and server for calls between entry VMs.
package peer

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/internal/control/node"
	"github.com/sequoiacart/sequoiacart/internal/link/store"
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/trace"
)

// Local gives the server access to the control state of its own VM.
type Local interface {
	// Post sends an event to the control goroutine. It reports false once that goroutine has ended.
	Post(e node.Event) bool
	// Desired returns the desired state that this VM applies, or nil if it has none yet.
	Desired() *queue.State
	// Endpoints returns the list of endpoints and the version of the store it was read at.
	Endpoints() ([]endpoint.Endpoint, int64)
}

// Changes gives the server access to the changes of the list of endpoints that its own VM has read.
type Changes interface {
	// Since returns the changes after a version and the age of the latest read. It reports false if it
	// does not have all of them.
	Since(after store.Revision) (s store.Snapshot, age clock.Millis, ok bool)
}

// ServerConfig holds the dependencies and limits of a server.
type ServerConfig struct {
	Listener net.Listener
	Local    Local
	// SubmitTimeout bounds the wait for the outcome of a submission.
	SubmitTimeout clock.Millis
	// ControlTimeout bounds the wait for all other replies of the control goroutine.
	ControlTimeout clock.Millis
	// Changes has the changes of the list of endpoints.
	Changes Changes
	// Tracer records a span for each submission; nil records none.
	Tracer *trace.Tracer
	// Meter counts bytes and messages; nil counts none.
	Meter Meter
	// AcceptFailed receives the errors after which the server goes on; it may be nil.
	AcceptFailed func(error)
}

// Server handles calls of other entry VMs.
type Server struct {
	config ServerConfig
	rpc    *rpc.Server

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed atomic.Bool
}

// serviceName is the name of the service on the wire.
const serviceName = "Fleet"

// NewServer returns a server that does not accept connections yet.
func NewServer(c ServerConfig) (*Server, error) {
	s := &Server{config: c, rpc: rpc.NewServer(), conns: make(map[net.Conn]struct{})}
	err := s.rpc.RegisterName(serviceName, &service{config: c})
	return s, errors.Annotate(err, "register peer service")
}

// acceptPause is the pause after a connection could not be accepted.
const acceptPause = clock.Millis(20)

// Serve accepts connections until Close.
func (s *Server) Serve() error {
	for {
		c, err := s.config.Listener.Accept()
		if err != nil {
			if s.closed.Load() {
				return nil
			}
			if errors.Is(err, net.ErrClosed) {
				return errors.Annotate(err, "accept peer connections")
			}
			// The process may be short of file descriptors until other connections have ended.
			if s.config.AcceptFailed != nil {
				s.config.AcceptFailed(err)
			}
			time.Sleep(acceptPause.Duration())
			continue
		}
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go func() {
			s.rpc.ServeCodec(newServerCodec(c, s.config.Meter))
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		}()
	}
}

// Close closes the listener and all connections.
func (s *Server) Close() {
	s.closed.Store(true)
	_ = s.config.Listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

type service struct{ config ServerConfig }

var errShuttingDown = errors.New("the VM is shutting down")

// Beat handles a heartbeat.
func (s *service) Beat(r HeartbeatRequest, reply *HeartbeatReply) error {
	answer := make(chan node.HeartbeatReply, 1)
	if !s.config.Local.Post(node.PeerHeartbeat{Request: r, Reply: answer}) {
		return errShuttingDown
	}
	b, err := await(answer, s.config.ControlTimeout)
	*reply = b
	return err
}

// Submit submits a job to this VM as the leader of a shard and replies with the job's outcome.
func (s *service) Submit(r SubmitRequest, reply *SubmitReply) error {
	ctx, span := s.config.Tracer.Start(trace.WithParent(context.Background(), r.Submission.Job.Trace), trace.ServedHop, r.Submission.Job.ID)
	defer span.End()
	if p := trace.ParentOf(ctx); p != "" {
		r.Submission.Job.Trace = p
	}
	if err := r.Submission.Validate(); err != nil {
		*reply = encodeOutcome(job.Refused{Reason: job.Malformed})
		return nil
	}
	ended := make(chan job.Outcome, 1)
	if !s.config.Local.Post(node.PeerSubmitted{Shard: r.Cell, Submission: r.Submission, Ended: ended}) {
		return errShuttingDown
	}
	o, err := await(ended, s.config.SubmitTimeout)
	if err == nil {
		*reply = encodeOutcome(o)
	}
	return err
}

// Cancel cancels a job at this VM and in the shards that it leads.
func (s *service) Cancel(r CancelRequest, reply *CancelReply) error {
	cancelled := job.Cancellation{Job: r.Job, Origin: r.Origin}
	if err := cancelled.Validate(); err != nil {
		return err
	}
	answers := make(chan node.CancelAnswer, 1)
	if !s.config.Local.Post(node.PeerCancelled{Cancellation: cancelled, Reply: answers}) {
		return errShuttingDown
	}
	answer, err := await(answers, s.config.ControlTimeout)
	reply.Led, reply.Found = answer.Led, answer.Found
	return err
}

// Yield takes over a shard from a leader that is shutting down.
func (s *service) Yield(r YieldRequest, reply *YieldReply) error {
	done := make(chan bool, 1)
	if !s.config.Local.Post(node.PeerYielded{
		ReplicaSet: r.Lineup, Token: r.Token, Expires: r.Expires, Endpoints: r.Endpoints, EndpointsVersion: r.EndpointsVersion, From: r.From, Done: done,
	}) {
		return errShuttingDown
	}
	accepted, err := await(done, s.config.ControlTimeout)
	reply.Taken = accepted
	return err
}

// Desired returns the desired state that this VM applies.
func (s *service) Desired(_ Empty, reply *DesiredReply) error {
	*reply = encodeDesired(s.config.Local.Desired())
	return nil
}

// Introduce returns what this VM has recorded of the deployment.
func (s *service) Introduce(_ Empty, reply *DeploymentStateReply) error {
	answer := make(chan node.DeploymentState, 1)
	if !s.config.Local.Post(node.PeerStateRequested{Reply: answer}) {
		return errShuttingDown
	}
	state, err := await(answer, s.config.ControlTimeout)
	*reply = DeploymentStateReply{
		Desired: encodeDesired(state.Desired), VMs: state.VMs, Lineups: state.ReplicaSets,
		Endpoints: EndpointsReply{Endpoints: state.Endpoints, Version: state.EndpointsVersion}, Evacuations: state.Evacuations,
	}
	return err
}

// Endpoints returns this VM's list of endpoints.
func (s *service) Endpoints(_ Empty, reply *EndpointsReply) error {
	reply.Endpoints, reply.Version = s.config.Local.Endpoints()
	return nil
}

// Changes returns the changes of the list of endpoints after a version.
func (s *service) Changes(r ChangesRequest, reply *ChangesReply) error {
	if s.config.Changes != nil {
		reply.Snapshot, reply.Age, reply.Known = s.config.Changes.Since(r.After)
	}
	return nil
}

func await[T any](ch <-chan T, limit clock.Millis) (T, error) {
	timer := time.NewTimer(limit.Duration())
	defer timer.Stop()
	select {
	case v := <-ch:
		return v, nil
	case <-timer.C:
		var zero T
		return zero, errors.Timeoutf("wait for the control goroutine")
	}
}
