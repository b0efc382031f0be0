// Package peer speaks net/rpc between entry VMs.
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
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// Handler serves the calls of peers.
type Handler interface {
	SubmitHere(ctx context.Context, s contract.Submission, wait clock.Millis) contract.Answer
	AskHere(ctx context.Context, id contract.SubmissionID, o owner.ID, wait clock.Millis) contract.Answer
	CancelHere(ctx context.Context, id contract.SubmissionID, o owner.ID) contract.Answer
	WitnessHere(ctx context.Context, id contract.SubmissionID, o owner.ID) contract.Answer
	RecordHere(ctx context.Context, issuer vm.Incarnation, records []contract.Record) ([]contract.RecordStatus, error)
}

// ServerConfig holds what a server is made of.
type ServerConfig struct {
	Listener net.Listener
	Handler  Handler
	// Bundles serves calls about bundles; nil leaves the service out.
	Bundles BundleHandler
	// TLS turns on mutual TLS; nil speaks plain TCP.
	TLS *tls.Config
}

// Server accepts the calls of peers.
type Server struct {
	config ServerConfig
	rpc    *rpc.Server

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewServer returns a server that does not yet accept connections.
func NewServer(c ServerConfig) (*Server, error) {
	s := &Server{config: c, rpc: rpc.NewServer(), conns: make(map[net.Conn]struct{})}
	if err := s.rpc.RegisterName("Contract", &contractService{handler: c.Handler}); err != nil {
		return nil, errors.Annotate(err, "register contract service")
	}
	if err := s.rpc.RegisterName("Witness", &witnessService{handler: c.Handler}); err != nil {
		return nil, errors.Annotate(err, "register witness service")
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
		if s.config.TLS != nil {
			conn = tls.Server(conn, s.config.TLS)
		}
		s.track(conn)
		go s.serve(conn)
	}
}

// Close stops accepting and drops all connections.
func (s *Server) Close() {
	_ = s.config.Listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

func (s *Server) serve(conn net.Conn) {
	s.rpc.ServeConn(conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

func (s *Server) track(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[conn] = struct{}{}
}
