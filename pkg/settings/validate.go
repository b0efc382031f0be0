package settings

import (
	"net"
	"regexp"

	"github.com/juju/errors"
)

var nameFormat = regexp.MustCompile(`^[a-z0-9]+$`)

// Validate checks the settings and names the first key that is wrong.
func (s Settings) Validate() error {
	if !nameFormat.MatchString(string(s.VM)) {
		return errors.NotValidf("check settings: vm %q; use lower-case letters and digits: vm", s.VM)
	}
	if !nameFormat.MatchString(string(s.DataCentre)) {
		return errors.NotValidf("check settings: dataCentre %q; use lower-case letters and digits: dataCentre", s.DataCentre)
	}
	addresses := []struct{ key, value string }{
		{"callerAddress", s.CallerAddress},
		{"peerAddress", s.PeerAddress},
		{"platformAddress", s.PlatformAddress},
	}
	for _, a := range addresses {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return errors.NotValidf("check settings: %s %q; use host:port: %s", a.key, a.value, a.key)
		}
	}
	for _, a := range s.SeedPeers {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return errors.NotValidf("check settings: seedPeers %q; use host:port: seedPeers", a)
		}
	}
	if s.GovernanceDigest != "" && !s.GovernanceDigest.Valid() {
		return errors.NotValidf("check settings: governanceDigest %q; use the 64 hex digits that bundle check prints: governanceDigest", s.GovernanceDigest)
	}
	positives := []struct {
		key   string
		value int64
	}{
		{"size", int64(s.Size)},
		{"limits.bodyBytes", s.Limits.BodyBytes},
		{"limits.resultBytes", s.Limits.ResultBytes},
		{"limits.tasksPerJob", int64(s.Limits.TasksPerJob)},
		{"limits.queuedTasks", int64(s.Limits.QueuedTasks)},
		{"limits.reservedIds", int64(s.Limits.ReservedIDs)},
		{"limits.mailbox", int64(s.Limits.Mailbox)},
		{"limits.endpointConnections", int64(s.Limits.EndpointConnections)},
		{"timeouts.attemptMs", int64(s.Timeouts.Attempt)},
		{"timeouts.peerMs", int64(s.Timeouts.Peer)},
		{"timeouts.dialMs", int64(s.Timeouts.Dial)},
		{"timeouts.platformMs", int64(s.Timeouts.Platform)},
		{"timeouts.maxWaitMs", int64(s.Timeouts.MaxWait)},
		{"timeouts.pollMs", int64(s.Timeouts.Poll)},
		{"timeouts.tickMs", int64(s.Timeouts.Tick)},
		{"timeouts.shutdownMs", int64(s.Timeouts.Shutdown)},
	}
	for _, p := range positives {
		if p.value <= 0 {
			return errors.NotValidf("check settings: %s is %d; use a positive number: %s", p.key, p.value, p.key)
		}
	}
	return nil
}
