// Package peer implements the calls between entry VMs over net/rpc.
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
	"github.com/sequoiacart/sequoiacart/pkg/entry"
	"github.com/sequoiacart/sequoiacart/pkg/loan"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/trace"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// Handler serves the calls of peers.
type Handler interface {
	SubmitLocal(ctx context.Context, s contract.Submission, wait clock.Millis) contract.Answer
	AskLocal(ctx context.Context, id contract.SubmissionID, o owner.ID, wait clock.Millis) contract.Answer
	CancelLocal(ctx context.Context, id contract.SubmissionID, o owner.ID) contract.Answer
	AnswerAsWitness(ctx context.Context, q contract.Query) contract.Answer
	HandleRecords(ctx context.Context, issuer vm.Incarnation, batch contract.BatchNumber, records []contract.Record) ([]contract.RecordStatus, error)
	HandleHandOver(ctx context.Context, issuer vm.Incarnation, records []contract.Record, last bool) error
	HandleHeartbeat(ctx context.Context, h entry.Heartbeat) (vm.Incarnation, error)
	HandleLoanRequest(ctx context.Context, r loan.Request) (loan.Grant, error)
	HandleLoanReturns(ctx context.Context, borrower vm.Incarnation, returns []loan.Return) error
}

// ServerConfig holds the dependencies and settings of a server.
type ServerConfig struct {
	Listener net.Listener
	Handler  Handler
	// Bundles serves calls about bundles; nil disables the service.
	Bundles BundleHandler
	// TLS turns on mutual TLS; nil means plain TCP.
	TLS *tls.Config
	// Tracer records the served hop; it may be nil.
	Tracer *trace.Tracer
	// HandshakeTimeout bounds a TLS handshake.
	HandshakeTimeout clock.Millis
	// OnHandshakeFailure is called for each failed handshake; it may be nil.
	OnHandshakeFailure func(peer net.Addr, err error)
}

// Server serves the calls of peers.
type Server struct {
	config ServerConfig
	rpc    *rpc.Server

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	// closed makes track close connections that were accepted while Close ran.
	closed bool
}

// NewServer returns a server that does not yet accept connections.
func NewServer(c ServerConfig) (*Server, error) {
	s := &Server{config: c, rpc: rpc.NewServer(), conns: make(map[net.Conn]struct{})}
	if err := s.rpc.RegisterName("Contract", &contractService{handler: c.Handler, tracer: c.Tracer}); err != nil {
		return nil, errors.Annotate(err, "register contract service")
	}
	if err := s.rpc.RegisterName("Witness", &witnessService{handler: c.Handler, tracer: c.Tracer}); err != nil {
		return nil, errors.Annotate(err, "register witness service")
	}
	if err := s.rpc.RegisterName("Roster", &rosterService{handler: c.Handler}); err != nil {
		return nil, errors.Annotate(err, "register roster service")
	}
	if err := s.rpc.RegisterName("Loan", &loanService{handler: c.Handler}); err != nil {
		return nil, errors.Annotate(err, "register loan service")
	}
	if c.Bundles == nil {
		return s, nil
	}
	if err := s.rpc.RegisterName("Bundle", &bundleService{handler: c.Bundles}); err != nil {
		return nil, errors.Annotate(err, "register bundle service")
	}
	return s, nil
}

// Serve accepts connections until Close.
func (s *Server) Serve() error {
	for {
		conn, err := s.config.Listener.Accept()
		if err != nil {
			return errors.Annotate(err, "accept connection of a peer")
		}
		s.track(conn)
		go s.serve(conn)
	}
}

// Close stops accepting and closes all connections.
func (s *Server) Close() {
	_ = s.config.Listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
}

func (s *Server) serve(conn net.Conn) {
	defer s.untrack(conn)
	if s.config.TLS == nil {
		s.rpc.ServeCodec(serverCodec{newGobStream(conn)})
		return
	}
	tlsConn := tls.Server(conn, s.config.TLS)
	if err := s.handshake(tlsConn); err != nil {
		s.reportHandshakeFailure(conn, err)
		return
	}
	s.rpc.ServeCodec(serverCodec{newGobStream(tlsConn)})
}

// handshake runs on the goroutine of its connection, so that a peer that sends nothing does
// not prevent others from being accepted. The time-out closes the connection of such a peer.
func (s *Server) handshake(conn *tls.Conn) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.config.HandshakeTimeout.Duration())
	defer cancel()
	return conn.HandshakeContext(ctx)
}

func (s *Server) reportHandshakeFailure(conn net.Conn, err error) {
	if s.config.OnHandshakeFailure != nil {
		s.config.OnHandshakeFailure(conn.RemoteAddr(), err)
	}
}

func (s *Server) untrack(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

func (s *Server) track(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close()
	}
	s.conns[conn] = struct{}{}
}
