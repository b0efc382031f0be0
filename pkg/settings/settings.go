// Package settings defines the settings of the daemon, their defaults and their validation.
package settings

import (
	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// Settings are the settings of an entry VM.
type Settings struct {
	VM         vm.ID
	DataCentre datacentre.ID
	Size       vm.Size
	// CallerAddress is the address that listens for callers.
	CallerAddress string
	// PeerAddress is the address that listens for other entry VMs.
	PeerAddress string
	// AdvertisedPeerAddress is the address that other entry VMs dial, if it differs from
	// PeerAddress, for example behind address translation.
	AdvertisedPeerAddress string
	// PlatformAddress is the address of the platform.
	PlatformAddress string
	// GovernanceDigest pins the first governance section of the bundles. Without it, no
	// bundle is accepted.
	GovernanceDigest bundle.Digest
	// SeedPeers are the peers to ask for the bundle while the platform returns no roster.
	SeedPeers Addresses
	Limits    Limits
	Timeouts  Timeouts
	Trace     Trace
	TLS       TLS
}

// TraceExporter names the exporter of spans.
type TraceExporter string

// Exporters of spans.
const (
	TraceNone     TraceExporter = "none"
	TraceStdout   TraceExporter = "stdout"
	TraceOTLPHTTP TraceExporter = "otlphttp"
)

// Trace selects the exporter of spans.
type Trace struct {
	Exporter TraceExporter
	// Address is host:port of the collector, for otlphttp.
	Address string
}

// TLS holds the paths of the PEM files for mutual TLS between entry VMs; all are empty for
// plain TCP.
type TLS struct {
	CertificateFile string
	KeyFile         string
	CAFile          string
}

// Enabled reports whether entry VMs use mutual TLS.
func (t TLS) Enabled() bool { return t.CertificateFile != "" }

// Limits bound the requests, results, queues, records and connections of the daemon.
type Limits struct {
	BodyBytes         int64
	BodiesBytes       int64
	AnswerBytes       int64
	ResultBytes       int64
	TasksPerJob       int
	CallerConnections int
	QueuedTasks       int
	ReservedIDs       int
	// Remembered bounds the records of the ledger and, separately, those kept as a witness.
	Remembered          contract.Limits
	Mailbox             int
	EndpointConnections datacentre.Connections
}

// Timeouts bound how long the daemon waits. Poll and Tick are intervals: between polls of the
// platform, and between timer events of the control goroutine.
type Timeouts struct {
	Attempt  clock.Millis
	Peer     clock.Millis
	Dial     clock.Millis
	Platform clock.Millis
	MaxWait  clock.Millis
	Poll     clock.Millis
	Tick     clock.Millis
	Shutdown clock.Millis
	// MaxDeadline bounds the deadline that a caller may set.
	MaxDeadline clock.Millis
	// CallerIdle bounds how long a caller's connection may stay unused or take to send its
	// request.
	CallerIdle clock.Millis
	// Handshake bounds a TLS handshake between entry VMs.
	Handshake clock.Millis
}

// Default returns the default settings.
func Default() Settings {
	return Settings{
		Size:            1,
		CallerAddress:   "127.0.0.1:7000",
		PeerAddress:     "127.0.0.1:7001",
		PlatformAddress: "127.0.0.1:7002",
		Trace:           Trace{Exporter: TraceNone},
		Limits: Limits{
			BodyBytes: 4 << 20,
			// Bodies that are being read do not count towards the limit of the ledger.
			BodiesBytes:         64 << 20,
			AnswerBytes:         contract.MaxAnswerBytes,
			ResultBytes:         1 << 20,
			TasksPerJob:         1000,
			CallerConnections:   10000,
			QueuedTasks:         20000,
			ReservedIDs:         1000,
			Remembered:          contract.DefaultLimits(),
			Mailbox:             4096,
			EndpointConnections: 64,
		},
		Timeouts: Timeouts{
			Attempt:  30 * clock.Second,
			Peer:     clock.Second,
			Dial:     clock.Second,
			Platform: 2 * clock.Second,
			MaxWait:  clock.Minute,
			Poll:     clock.Second,
			Tick:     50,
			Shutdown: 30 * clock.Second,
			// Ids are retained for 15 min, so a later answer could not be fetched.
			MaxDeadline: 15 * clock.Minute,
			CallerIdle:  2 * clock.Minute,
			Handshake:   2 * clock.Second,
		},
	}
}
