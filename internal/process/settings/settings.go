// Package settings holds what a VM on the platform has to be told, with defaults and checks.
package settings

import (
	"flag"
	"io"
	"net"
	"os"
	"slices"
	"strings"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/peterbourgon/ff/v3"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/trace"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// Settings are the settings of a VM on the platform. docs/settings.md lists the keys.
type Settings struct {
	VM         vm.ID
	DataCentre datacentre.ID
	// DataCentres are all data centres of the deployment, this one included.
	DataCentres []datacentre.ID

	CallerAddress, ReadyAddress, PeerAddress, MetricsAddress string
	// AdvertisedPeerAddress is where other VMs reach Peers, if not there.
	AdvertisedPeerAddress string
	StoreAddress          string
	// Seeds are addresses for peers of some other VMs, for a start while the store is away.
	Seeds []string

	// ProcessorShare is the part of a core that the VM has; MemoryMB is its memory.
	ProcessorShare float64
	MemoryMB       int
	// OpenFiles is how many descriptors the process may have open.
	OpenFiles int

	// MaxLease, StopDuration, ResendInterval and GracePeriod are bounds of the platform.
	MaxLease, StopDuration, ResendInterval, GracePeriod clock.Millis
	// FarFactor is how much longer tasks take away from their data.
	FarFactor float64
	// Successors is how many VMs of the data centre form the lineup of a cell.
	Successors int

	// LogLinesPerSecond bounds the decisions that are logged.
	LogLinesPerSecond int

	// TraceExporter is where spans go, TraceAddress the collector of traceOTLP.
	TraceExporter string
	TraceAddress  string
}

// The exporters of spans.
const (
	traceNone   = "none"
	traceStdout = "stdout"
	traceOTLP   = "otlphttp"
)

// SpanExporter returns where spans go.
func (s *Settings) SpanExporter() trace.Exporter {
	switch s.TraceExporter {
	case traceStdout:
		return trace.Stdout{Writer: os.Stdout}
	case traceOTLP:
		return trace.OTLP{Address: s.TraceAddress}
	}
	return trace.None{}
}

// EnvPrefix begins the variables that stand for flags.
const EnvPrefix = "SEQUOIACART"

// FileFlag names the settings file. The platform hands its path over in SEQUOIACART_BOOT.
const FileFlag = "boot"

// Default returns the defaults.
func Default() Settings {
	return Settings{
		MetricsAddress: "", ProcessorShare: 1, MemoryMB: 256, OpenFiles: 1024, MaxLease: clock.Second, StopDuration: 50,
		ResendInterval: 1300, GracePeriod: 6 * clock.Second, FarFactor: 1, Successors: 3,
		LogLinesPerSecond: 400, TraceExporter: traceNone,
	}
}

// Register defines a flag for each key. The names of flags are those of the keys in the file.
func Register(flags *flag.FlagSet, s *Settings) {
	flags.String(FileFlag, "", "TOML `file` with settings")
	text := func(into *string, name, use string) {
		flags.StringVar(into, name, *into, use)
	}
	text((*string)(&s.VM), "vm", "`name` of this VM")
	text((*string)(&s.DataCentre), "dataCentre", "`name` of this VM's data centre")
	list := func(name, use string, set func([]string)) {
		flags.Func(name, use, func(v string) error {
			set(slices.DeleteFunc(strings.Split(v, ","), func(w string) bool { return w == "" }))
			return nil
		})
	}
	list("dataCentres", "`names` of all data centres, separated by commas", func(names []string) {
		s.DataCentres = nil
		for _, dc := range names {
			s.DataCentres = append(s.DataCentres, datacentre.ID(dc))
		}
	})
	list("seeds", "`addresses` for peers of other VMs, separated by commas, asked while the store is away", func(addresses []string) {
		s.Seeds = addresses
	})
	text(&s.CallerAddress, "listen.callers", "`address` for callers")
	text(&s.ReadyAddress, "listen.ready", "`address` for the load balancer's checks")
	text(&s.PeerAddress, "listen.peers", "`address` for other VMs")
	text(&s.AdvertisedPeerAddress, "listen.advertisedPeers", "`address` at which other VMs reach this one; empty means listen.peers")
	text(&s.MetricsAddress, "listen.metrics", "`address` for metrics; empty serves none")
	text(&s.StoreAddress, "store.address", "`address` of the platform's store")
	flags.Float64Var(&s.ProcessorShare, "machine.processorShare", s.ProcessorShare, "processor `cores` that this VM has")
	flags.IntVar(&s.MemoryMB, "machine.memoryMB", s.MemoryMB, "memory of this VM in `megabytes`")
	flags.IntVar(&s.OpenFiles, "machine.openFiles", s.OpenFiles, "`descriptors` that the process may have open")
	millis := func(into *clock.Millis, name, use string) {
		flags.Int64Var((*int64)(into), name, int64(*into), use)
	}
	millis(&s.MaxLease, "bounds.longestLeaseMs", "longest lease that endpoints give, in `milliseconds`")
	millis(&s.StopDuration, "bounds.stopMs", "time that a stop takes at an endpoint, in `milliseconds`")
	millis(&s.ResendInterval, "bounds.resendMs", "time after which callers send a job again, in `milliseconds`")
	millis(&s.GracePeriod, "bounds.graceMs", "time between SIGTERM and SIGKILL, in `milliseconds`")
	flags.Float64Var(&s.FarFactor, "bounds.farFactor", s.FarFactor, "`factor` by which tasks take longer away from their data")
	flags.IntVar(&s.Successors, "successors", s.Successors, "`number` of VMs of the data centre in the lineup of its cell")
	text(&s.TraceExporter, "trace.exporter", "`where` spans go: none, stdout or otlphttp")
	text(&s.TraceAddress, "trace.address", "`address` of the collector for otlphttp")
	flags.IntVar(&s.LogLinesPerSecond, "log.linesPerSecond", s.LogLinesPerSecond, "most decisions logged in a second, in `lines`")
}

// Options make ff read flags first, then variables, then the file.
func Options() []ff.Option {
	return []ff.Option{ff.WithEnvVarPrefix(EnvPrefix), ff.WithConfigFileFlag(FileFlag), ff.WithConfigFileParser(parseFile)}
}

// Validate reports the first key with a value that cannot work.
func (s *Settings) Validate() error {
	named := []struct{ key, value string }{
		{"vm", string(s.VM)},
		{"dataCentre", string(s.DataCentre)},
		{"listen.callers", s.CallerAddress},
		{"listen.ready", s.ReadyAddress},
		{"listen.peers", s.PeerAddress},
		{"store.address", s.StoreAddress},
	}
	for _, n := range named {
		if n.value == "" {
			return errors.NotValidf("check settings: key %s is empty: give it a value; it", n.key)
		}
	}
	for _, n := range named[2:] {
		if _, _, err := net.SplitHostPort(n.value); err != nil {
			return errors.NotValidf("check settings: key %s: %q is not host:port; it", n.key, n.value)
		}
	}
	for _, a := range s.Seeds {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return errors.NotValidf("check settings: key seeds: %q is not host:port; it", a)
		}
	}
	found := false
	for _, dc := range s.DataCentres {
		found = found || dc == s.DataCentre
	}
	if !found {
		return errors.NotValidf("check settings: key dataCentres lacks this VM's data centre %q; it", s.DataCentre)
	}
	positive := []struct {
		key   string
		value float64
	}{
		{"machine.processorShare", s.ProcessorShare},
		{"machine.memoryMB", float64(s.MemoryMB)},
		{"machine.openFiles", float64(s.OpenFiles)},
		{"bounds.longestLeaseMs", float64(s.MaxLease)},
		{"bounds.stopMs", float64(s.StopDuration)},
		{"bounds.resendMs", float64(s.ResendInterval)},
		{"bounds.graceMs", float64(s.GracePeriod)},
		{"successors", float64(s.Successors)},
		{"log.linesPerSecond", float64(s.LogLinesPerSecond)},
	}
	for _, p := range positive {
		if p.value <= 0 {
			return errors.NotValidf("check settings: key %s: %v is not above 0; it", p.key, p.value)
		}
	}
	switch s.TraceExporter {
	case traceNone, traceStdout:
	case traceOTLP:
		if _, _, err := net.SplitHostPort(s.TraceAddress); err != nil {
			return errors.NotValidf("check settings: key trace.address: %q is not host:port; it", s.TraceAddress)
		}
	default:
		return errors.NotValidf("check settings: key trace.exporter: %q is not none, stdout or otlphttp; it", s.TraceExporter)
	}
	if s.FarFactor < 1 {
		return errors.NotValidf("check settings: key bounds.farFactor: %v is below 1; it", s.FarFactor)
	}
	return nil
}

// parseFile hands the keys of a TOML file to ff by the names of their flags. ff refuses
// unknown ones by name.
func parseFile(r io.Reader, set func(name, value string) error) error {
	var root map[string]any
	if err := toml.NewDecoder(r).Decode(&root); err != nil {
		return errors.Annotate(err, "the settings file is not TOML: correct it")
	}
	return setAll("", root, set)
}
