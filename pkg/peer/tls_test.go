package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// countingHandler answers every Ask call with Running and counts the calls.
type countingHandler struct {
	Handler
	calls atomic.Int32
}

func (h *countingHandler) AskLocal(context.Context, contract.SubmissionID, owner.ID, clock.Millis) contract.Answer {
	h.calls.Add(1)
	return contract.Running{}
}

func newAuthority(t *testing.T) *Authority {
	t.Helper()
	a, err := NewAuthority(AuthorityConfig{Name: "test", ValidFor: clock.Hour})
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func newIdentity(t *testing.T, a *Authority, name vm.ID) Identity {
	t.Helper()
	i, err := a.Issue(name)
	if err != nil {
		t.Fatal(err)
	}
	return i
}

func serveTLS(t *testing.T, h Handler, config *tls.Config, handshake clock.Millis) vm.VM {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, err := NewServer(ServerConfig{Listener: listener, Handler: h, TLS: config, HandshakeTimeout: handshake})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() { _ = s.Serve(); close(done) }()
	t.Cleanup(func() { s.Close(); <-done })
	return vm.VM{Incarnation: "server-1", PeerAddress: listener.Addr().String()}
}

// Guards against accepting, or connecting to, a peer without a certificate of this service.
func TestPeersNeedACertificateOfTheAuthority(t *testing.T) {
	ours, other := newAuthority(t), newAuthority(t)
	good, foreign := newIdentity(t, ours, "a"), newIdentity(t, other, "a")
	server := newIdentity(t, ours, "b").ServerTLS()
	noCertificate := good.ClientTLS()
	noCertificate.Certificates = nil
	otherServiceCertificate, err := ours.issue("a", "other.service")
	if err != nil {
		t.Fatal(err)
	}
	foreignCertificate := good.ClientTLS()
	foreignCertificate.Certificates = foreign.ClientTLS().Certificates
	otherService := good.ClientTLS()
	otherService.Certificates = []tls.Certificate{otherServiceCertificate}
	cases := map[string]struct {
		client *tls.Config
		server *tls.Config
		want   bool
	}{
		"both good":                    {good.ClientTLS(), server, true},
		"plain TCP":                    {nil, server, false},
		"no client certificate":        {noCertificate, server, false},
		"client of another authority":  {foreignCertificate, server, false},
		"client of another service":    {otherService, server, false},
		"server of another authority":  {good.ClientTLS(), foreign.ServerTLS(), false},
		"plain server, client of ours": {good.ClientTLS(), nil, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := &countingHandler{}
			to := serveTLS(t, h, c.server, 5*clock.Second)
			client := NewClient(ClientConfig{Dialer: &net.Dialer{}, TLS: c.client})
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), (5 * clock.Second).Duration())
			defer cancel()
			_, err := client.Ask(ctx, to, contract.SubmissionID{DataCentre: "centro", Issuer: "server-1", Witness: vm.None}, "o", 0)
			if got := err == nil; got != c.want {
				t.Errorf("got accepted %t (%v), want %t", got, err, c.want)
			}
			if got := h.calls.Load() == 1; got != c.want {
				t.Errorf("got %d calls at the handler, want accepted %t", h.calls.Load(), c.want)
			}
		})
	}
}

// Guards against connections that never finish their handshake: they must time out and must
// not prevent others from being accepted.
func TestSilentHandshakeTimesOutAndBlocksNoOther(t *testing.T) {
	// It bounds the handshake of the client below as well, which takes 50 ms and more on a busy machine.
	const handshakeTimeout = 2 * clock.Second
	ours := newAuthority(t)
	to := serveTLS(t, &countingHandler{}, newIdentity(t, ours, "b").ServerTLS(), handshakeTimeout)
	var silent []net.Conn
	for range 20 {
		conn, err := net.Dial("tcp", to.PeerAddress)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		silent = append(silent, conn)
	}
	client := NewClient(ClientConfig{Dialer: &net.Dialer{}, TLS: newIdentity(t, ours, "a").ClientTLS()})
	defer client.Close()
	// The answer has to come while the silent connections are still open.
	ctx, cancel := context.WithTimeout(t.Context(), (handshakeTimeout * 9 / 10).Duration())
	defer cancel()
	if _, err := client.Ask(ctx, to, contract.SubmissionID{DataCentre: "centro", Issuer: "server-1", Witness: vm.None}, "o", 0); err != nil {
		t.Errorf("got %v beside silent connections, want an answer", err)
	}
	for _, conn := range silent {
		// The read ends only when the server closes the connection.
		if n, err := conn.Read(make([]byte, 1)); n != 0 || err == nil {
			t.Errorf("got %d bytes and error %v, want the connection closed", n, err)
		}
	}
}

// Guards against accepting files that are unusable for connections to peers, and against
// errors that do not name the file.
func TestLoadIdentity(t *testing.T) {
	ours := newAuthority(t)
	issued := newIdentity(t, ours, "a")
	key, err := x509.MarshalPKCS8PrivateKey(issued.Certificate.PrivateKey)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	write := func(name, kind string, der []byte) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	certificateFile := write("certificate.pem", "CERTIFICATE", issued.Certificate.Certificate[0])
	keyFile := write("key.pem", "PRIVATE KEY", key)
	caFile := write("ca.pem", "CERTIFICATE", ours.certificate.Raw)
	loaded, err := LoadIdentity(certificateFile, keyFile, caFile)
	if err != nil {
		t.Fatal(err)
	}
	to := serveTLS(t, &fakeHandler{}, loaded.ServerTLS(), 5*clock.Second)
	client := NewClient(ClientConfig{Dialer: &net.Dialer{}, TLS: loaded.ClientTLS()})
	defer client.Close()
	if _, err := client.Ask(t.Context(), to, contract.SubmissionID{DataCentre: "centro", Issuer: "server-1", Witness: vm.None}, "o", 0); err != nil {
		t.Errorf("got %v with loaded files, want an answer", err)
	}
	for name, c := range map[string]struct{ certificate, key, ca, want string }{
		"no certificate":    {filepath.Join(dir, "none.pem"), keyFile, caFile, "none.pem"},
		"key of another":    {certificateFile, write("other.pem", "PRIVATE KEY", otherKey(t, ours)), caFile, "other.pem"},
		"CA file is a key":  {certificateFile, keyFile, keyFile, "key.pem"},
		"CA file is absent": {certificateFile, keyFile, filepath.Join(dir, "none.pem"), "none.pem"},
	} {
		if _, err := LoadIdentity(c.certificate, c.key, c.ca); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got error %v, want one with %q", name, err, c.want)
		}
	}
}

func otherKey(t *testing.T, a *Authority) []byte {
	t.Helper()
	key, err := x509.MarshalPKCS8PrivateKey(newIdentity(t, a, "b").Certificate.PrivateKey)
	if err != nil {
		t.Fatal(err)
	}
	return key
}
