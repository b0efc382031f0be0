package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/juju/errors"
)

// ServiceName is the DNS name in the certificate of every entry VM. It names the service
// rather than one VM, since VMs have only the addresses of their peers, and these change
// whenever a VM is replaced.
const ServiceName = "entry.sequoiacart"

// Identity is the certificate of an entry VM and the authorities that it trusts.
type Identity struct {
	Certificate tls.Certificate
	Authorities *x509.CertPool
}

// LoadIdentity reads PEM files: a certificate, its key, and the authorities.
func LoadIdentity(certificateFile, keyFile, caFile string) (Identity, error) {
	certificate, err := tls.LoadX509KeyPair(certificateFile, keyFile)
	if err != nil {
		return Identity{}, errors.Annotatef(err, "load certificate %s and key %s: give PEM files that belong together", certificateFile, keyFile)
	}
	body, err := os.ReadFile(caFile)
	if err != nil {
		return Identity{}, errors.Annotate(err, "load authorities: give a readable PEM file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(body) {
		return Identity{}, errors.Errorf("load authorities: %s has no certificate: give a PEM file", caFile)
	}
	return Identity{Certificate: certificate, Authorities: pool}, nil
}

// ClientTLS returns the TLS configuration for calling peers.
func (i Identity) ClientTLS() *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{i.Certificate},
		RootCAs:      i.Authorities,
		ServerName:   ServiceName,
		MinVersion:   tls.VersionTLS13,
	}
}

// ServerTLS returns the TLS configuration for accepting peers, which must present a
// certificate.
func (i Identity) ServerTLS() *tls.Config {
	return &tls.Config{
		Certificates:     []tls.Certificate{i.Certificate},
		ClientCAs:        i.Authorities,
		ClientAuth:       tls.RequireAndVerifyClientCert,
		MinVersion:       tls.VersionTLS13,
		VerifyConnection: verifyPeer,
	}
}

// verifyPeer rejects certificates that the authority issued for another service.
func verifyPeer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("accept peer: it has no certificate")
	}
	return errors.Annotate(state.PeerCertificates[0].VerifyHostname(ServiceName), "accept peer")
}
