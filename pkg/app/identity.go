package app

import (
	"crypto/tls"
	"net"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/peer"
)

// loadIdentity loads the identity from the files in the settings, unless one is given.
func loadIdentity(deps *DaemonDeps) error {
	files := deps.Settings.TLS
	if deps.Identity != nil || !files.Enabled() {
		return nil
	}
	identity, err := peer.LoadIdentity(files.CertificateFile, files.KeyFile, files.CAFile)
	if err != nil {
		return errors.Trace(err)
	}
	deps.Identity = &identity
	return nil
}

func (d *Daemon) clientTLS() *tls.Config {
	if d.deps.Identity == nil {
		return nil
	}
	return d.deps.Identity.ClientTLS()
}

func (d *Daemon) serverTLS() *tls.Config {
	if d.deps.Identity == nil {
		return nil
	}
	return d.deps.Identity.ServerTLS()
}

// listen opens a TCP listener. Its error names the clients to serve and the settings key of the
// address.
func listen(clients, key, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Errorf("listen for %s at %s: %v: end the program that uses the address or set %s to another", clients, address, err, key)
	}
	return listener, nil
}
