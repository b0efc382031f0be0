package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// AuthorityConfig holds the settings of an authority.
type AuthorityConfig struct {
	Name string
	// ValidFor is how long certificates are valid from the time of issue.
	ValidFor clock.Millis
}

// Authority issues certificates, for the demo and tests. Its key stays in memory and is never
// written anywhere.
type Authority struct {
	config      AuthorityConfig
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// clockSkew is how long before the time of issue certificates become valid, for peers whose
// clocks are behind.
const clockSkew = clock.Minute

// NewAuthority returns an authority with a new key.
func NewAuthority(c AuthorityConfig) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Annotate(err, "generate key of authority")
	}
	template := c.template(c.Name)
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, errors.Annotate(err, "create certificate of authority")
	}
	certificate, err := x509.ParseCertificate(der)
	return &Authority{config: c, certificate: certificate, key: key}, errors.Annotate(err, "parse certificate of authority")
}

// Issue returns a new identity for an entry VM.
func (a *Authority) Issue(name vm.ID) (Identity, error) {
	certificate, err := a.issue(name, ServiceName)
	if err != nil {
		return Identity{}, errors.Trace(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(a.certificate)
	return Identity{Certificate: certificate, Authorities: pool}, nil
}

func (a *Authority) issue(name vm.ID, service string) (tls.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, errors.Annotatef(err, "generate key of VM %s", name)
	}
	template := a.config.template(string(name))
	template.DNSNames = []string{service}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		return tls.Certificate{}, errors.Annotatef(err, "create certificate of VM %s", name)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, nil
}

const serialBits = 127

func (c AuthorityConfig) template(name string) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew.Duration()),
		NotAfter:     now.Add(c.ValidFor.Duration()),
	}
}
