package settings

import (
	"net"
	"regexp"
	"strconv"

	"github.com/juju/errors"
)

var nameFormat = regexp.MustCompile(`^[a-z0-9]+$`)

const maxPort = 65535

// Validate checks the settings. Its error names the first invalid key, the reason and how to
// correct it.
func (s Settings) Validate() error {
	for _, check := range []func() error{s.checkNames, s.checkAddresses, s.checkGovernance, s.checkNumbers, s.checkTrace, s.checkTLS} {
		if err := check(); err != nil {
			return errors.Annotate(err, "check settings")
		}
	}
	return nil
}

func invalidKey(key, reason, action string) error {
	return errors.Errorf("key %s %s: %s", key, reason, action)
}

func (s Settings) checkNames() error {
	for _, n := range []struct{ key, value string }{{"vm", string(s.VM)}, {"dataCentre", string(s.DataCentre)}} {
		if !nameFormat.MatchString(n.value) {
			return invalidKey(n.key, strconv.Quote(n.value)+" is not a valid name", "use lower-case letters and digits")
		}
	}
	return nil
}

func (s Settings) checkAddresses() error {
	for _, a := range []struct{ key, value string }{
		{"callerAddress", s.CallerAddress},
		{"peerAddress", s.PeerAddress},
		{"platformAddress", s.PlatformAddress},
	} {
		if err := checkAddress(a.key, a.value); err != nil {
			return err
		}
	}
	if s.AdvertisedPeerAddress != "" {
		if err := checkAddress("advertisedPeerAddress", s.AdvertisedPeerAddress); err != nil {
			return err
		}
	}
	for _, a := range s.SeedPeers.List() {
		if err := checkAddress("seedPeers", a); err != nil {
			return err
		}
	}
	return nil
}

func (s Settings) checkGovernance() error {
	if s.GovernanceDigest != "" && !s.GovernanceDigest.Valid() {
		return invalidKey("governanceDigest", strconv.Quote(string(s.GovernanceDigest))+" is not a digest", "use the 64 hex digits that bundle check prints")
	}
	return nil
}

func checkAddress(key, value string) error {
	_, port, err := net.SplitHostPort(value)
	if err != nil {
		return invalidKey(key, strconv.Quote(value)+" is not an address", "use host:port")
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > maxPort {
		return invalidKey(key, strconv.Quote(value)+" has no valid port", "use a port from 0 to 65535")
	}
	return nil
}

func (s Settings) checkNumbers() error {
	for _, k := range s.Keys() {
		if !k.number {
			continue
		}
		if n, err := strconv.ParseInt(k.Value(), 10, 64); err != nil || n <= 0 {
			return invalidKey(k.Name, "is "+k.Value(), "use a positive number ("+k.Unit+")")
		}
	}
	if s.Limits.BodiesBytes < s.Limits.BodyBytes {
		return invalidKey("limits.bodiesBytes", "is below limits.bodyBytes", "raise it, or the largest bodies never fit")
	}
	if s.Timeouts.CallerIdle <= s.Timeouts.MaxWait {
		return invalidKey("timeouts.callerIdleMs", "is not above timeouts.maxWaitMs", "raise it, or connections end while callers wait")
	}
	return nil
}

func (s Settings) checkTrace() error {
	switch s.Trace.Exporter {
	case TraceNone, TraceStdout:
		return nil
	case TraceOTLPHTTP:
		return checkAddress("trace.address", s.Trace.Address)
	}
	return invalidKey("trace.exporter", strconv.Quote(string(s.Trace.Exporter))+" is unknown", "use none, stdout or otlphttp")
}

func (s Settings) checkTLS() error {
	files := []struct{ key, value string }{
		{"tls.certificateFile", s.TLS.CertificateFile},
		{"tls.keyFile", s.TLS.KeyFile},
		{"tls.caFile", s.TLS.CAFile},
	}
	given := 0
	for _, f := range files {
		if f.value != "" {
			given++
		}
	}
	for _, f := range files {
		if given > 0 && f.value == "" {
			return invalidKey(f.key, "is empty", "give all three tls keys, or none for plain TCP")
		}
	}
	return nil
}
