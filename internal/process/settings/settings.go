// Package settings defines the settings of a VM on the platform, with their defaults and
// validation.
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

	"github.com/sequoiacart/sequoiacart/internal/link/intake"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/link"
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
	// AdvertisedPeerAddress is where other VMs reach this one; empty means PeerAddress.
	AdvertisedPeerAddress string
	StoreAddress          string
	// Seeds are peer addresses of some other VMs, for a start while the store is unavailable.
	Seeds []string

	// ProcessorShare is the number of cores that the VM has; MemoryMB is its memory.
	ProcessorShare float64
	MemoryMB       int
	// OpenFiles is how many file descriptors the process may have open.
	OpenFiles int
	// LinkMbps is the bandwidth of the VM's link in megabits per second.
	LinkMbps float64

	// MaxCallerConnections bounds the open connections of callers, and MaxCallerBodyMB the bodies that are being read,
	// in megabytes; 0 means a part of the limits of the VM. MinCallerBodyKBps is the rate in kilobytes per second below
	// which a body gives way to another one when there is no room.
	MaxCallerConnections               int
	MaxCallerBodyMB, MinCallerBodyKBps float64

	// MaxUnreadKB bounds what a connection of a caller holds that has not been read, in kilobytes.
	MaxUnreadKB int
	// AnswerTimeout is how long a caller may take to read an answer.
	AnswerTimeout clock.Millis
	// MaxPayloadBytes, MaxSteps and MaxDependencies bound a job: its payload, its steps, and what all of them come
	// after.
	MaxPayloadBytes, MaxSteps, MaxDependencies int
	// MaxJobs bounds the jobs that callers of this VM wait for, and MaxJobMemoryMB the memory that they take, in
	// megabytes; 0 means a part of MaxCallerConnections and of the memory.
	MaxJobs        int
	MaxJobMemoryMB float64
	// MaxCancelWaiters bounds the requests to cancel a job that wait; 0 means a part of MaxCallerConnections.
	MaxCancelWaiters int
	// MaxTasksPerEndpoint bounds the tasks at an endpoint, and MaxEndpointCalls the starts that a leader has no answer
	// to, and the stops; 0 calls mean a part of the limits of the VM.
	MaxTasksPerEndpoint, MaxEndpointCalls int
	// MaxEndpointConnections bounds the connections to endpoints as long as there are idle ones to close; 0 means a part
	// of the descriptors.
	MaxEndpointConnections int

	// MaxLease, StopDuration, ResendInterval, GracePeriod and DrainNotice are fixed by the platform: the
	// longest lease that endpoints grant, the time that a stop takes, the time after which
	// callers send a job again, the time between SIGTERM and SIGKILL, and the time for which an endpoint
	// that has reported that it is leaving may be sent tasks.
	MaxLease, StopDuration, ResendInterval, GracePeriod, DrainNotice clock.Millis
	// EvacuationNotice is how long after the operator's request to evacuate a data centre tasks may start there.
	// 0 means that the operator evacuates none.
	EvacuationNotice clock.Millis
	// FarFactor is how many times longer a task runs outside the rack of its data.
	FarFactor float64
	// Successors is how many VMs of the data centre form the replica set of a shard.
	Successors int

	// LogLinesPerSecond bounds the rate of logged decisions.
	LogLinesPerSecond int

	// TraceExporter is one of the exporters below; TraceAddress is the collector of traceOTLP.
	TraceExporter string
	TraceAddress  string
}

// Exporters of spans.
const (
	traceNone   = "none"
	traceStdout = "stdout"
	traceOTLP   = "otlphttp"
)

// SpanExporter returns the configured exporter of spans.
func (s *Settings) SpanExporter() trace.Exporter {
	switch s.TraceExporter {
	case traceStdout:
		return trace.Stdout{Writer: os.Stdout}
	case traceOTLP:
		return trace.OTLP{Address: s.TraceAddress}
	}
	return trace.None{}
}

const (
	// callerDescriptorShare is the part of the descriptors that callers' connections may take by default, and
	// callerMemoryShare that of the memory, at callerConnectionBytes each.
	callerDescriptorShare = 0.4
	callerMemoryShare     = 0.2
	callerConnectionBytes = 24 << 10
	// bodyMemoryShare is the part of the memory that bodies may take by default while they are read.
	bodyMemoryShare = 0.1
	// jobConnectionShare is the part of the connections of callers on which jobs may wait by default. The rest is for
	// refusals, queries and cancellations.
	jobConnectionShare = 0.75
	// cancelConnectionShare is the part of the connections of callers on which requests to cancel a job may wait by
	// default.
	cancelConnectionShare = 0.15
	// jobMemoryShare is the part of the memory that jobs may take by default.
	jobMemoryShare = 0.15
	// callDescriptorShare is the part of the descriptors that the starts of a leader may take by default, and its
	// stops, and callMemoryShare that of the memory, at callBytes each.
	callDescriptorShare = 0.1
	callMemoryShare     = 0.1
	callBytes           = 32 << 10
	// endpointDescriptorShare is the part of the descriptors that connections to endpoints may take by default.
	endpointDescriptorShare = 0.45
	megabyte                = 1 << 20
	kilobyte                = 1 << 10
)

// Intake returns the bounds of callers' connections and bodies.
func (s *Settings) Intake() intake.Config {
	connections, bodyMB := s.MaxCallerConnections, s.MaxCallerBodyMB
	if connections == 0 {
		connections = int(min(float64(s.OpenFiles)*callerDescriptorShare, float64(s.MemoryMB)*callerMemoryShare*megabyte/callerConnectionBytes))
	}
	if bodyMB == 0 {
		bodyMB = float64(s.MemoryMB) * bodyMemoryShare
	}
	return intake.Config{
		MaxConnections: max(connections, 1), MaxBodyBytes: link.Bytes(bodyMB * megabyte),
		MinBodyRate: link.Rate(s.MinCallerBodyKBps * kilobyte / float64(clock.Second)),
	}
}

// UnreadBytes returns what a connection of a caller may hold that has not been read.
func (s *Settings) UnreadBytes() link.Bytes { return link.Bytes(s.MaxUnreadKB) * kilobyte }

// JobLimits returns the limits of a job.
func (s *Settings) JobLimits() job.Limits {
	return job.Limits{Payload: link.Bytes(s.MaxPayloadBytes), Steps: s.MaxSteps, Dependencies: s.MaxDependencies}
}

// JobBounds returns how many jobs the callers of this VM may wait for, and how much memory jobs may take.
func (s *Settings) JobBounds() (jobs int, memory link.Bytes) {
	jobs, memoryMB := s.MaxJobs, s.MaxJobMemoryMB
	if jobs == 0 {
		jobs = max(int(float64(s.Intake().MaxConnections)*jobConnectionShare), 1)
	}
	if memoryMB == 0 {
		memoryMB = float64(s.MemoryMB) * jobMemoryShare
	}
	return jobs, link.Bytes(memoryMB * megabyte)
}

// CancelWaiters returns how many requests to cancel a job may wait.
func (s *Settings) CancelWaiters() int {
	if s.MaxCancelWaiters > 0 {
		return s.MaxCancelWaiters
	}
	return max(int(float64(s.Intake().MaxConnections)*cancelConnectionShare), 1)
}

// EndpointCalls returns how many starts a leader may have no answer to, and how many stops.
func (s *Settings) EndpointCalls() int {
	if s.MaxEndpointCalls > 0 {
		return s.MaxEndpointCalls
	}
	return max(int(min(float64(s.OpenFiles)*callDescriptorShare, float64(s.MemoryMB)*callMemoryShare*megabyte/callBytes)), 1)
}

// EndpointConnections returns how many connections to endpoints may be open before idle ones are closed.
func (s *Settings) EndpointConnections() int {
	if s.MaxEndpointConnections > 0 {
		return s.MaxEndpointConnections
	}
	return max(int(float64(s.OpenFiles)*endpointDescriptorShare), 1)
}

// EnvPrefix is the prefix of environment variables that set flags.
const EnvPrefix = "SEQUOIACART"

// FileFlag is the flag for the settings file. The platform sets its path in SEQUOIACART_BOOT.
const FileFlag = "boot"

// Default returns settings with their default values.
func Default() Settings {
	return Settings{
		MetricsAddress: "", ProcessorShare: 1, MemoryMB: 256, OpenFiles: 1024, LinkMbps: 1000, MaxLease: clock.Second, StopDuration: 50,
		ResendInterval: 1300, GracePeriod: 6 * clock.Second, DrainNotice: 2 * clock.Second, FarFactor: 1, Successors: 3,
		MinCallerBodyKBps: 16, MaxUnreadKB: 8, AnswerTimeout: 10 * clock.Second, MaxPayloadBytes: 4000, MaxSteps: job.MaxTasks, MaxDependencies: 1 << 17, MaxTasksPerEndpoint: 2048, LogLinesPerSecond: 400, TraceExporter: traceNone,
	}
}

// Register defines a flag for each key. Flags have the names of the keys in the file.
func Register(flags *flag.FlagSet, s *Settings) {
	flags.String(FileFlag, "", "TOML `file` with settings")
	text := func(target *string, name, usage string) {
		flags.StringVar(target, name, *target, usage)
	}
	text((*string)(&s.VM), "vm", "`name` of this VM")
	text((*string)(&s.DataCentre), "dataCentre", "`name` of this VM's data centre")
	list := func(name, usage string, set func([]string)) {
		flags.Func(name, usage, func(v string) error {
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
	list("seeds", "peer `addresses` of other VMs, separated by commas, queried while the store is unavailable", func(addresses []string) {
		s.Seeds = addresses
	})
	text(&s.CallerAddress, "listen.callers", "`address` for callers")
	text(&s.ReadyAddress, "listen.ready", "`address` for the load balancer's checks")
	text(&s.PeerAddress, "listen.peers", "`address` for other VMs")
	text(&s.AdvertisedPeerAddress, "listen.advertisedPeers", "`address` at which other VMs reach this one; empty means listen.peers")
	text(&s.MetricsAddress, "listen.metrics", "`address` for metrics; empty serves none")
	text(&s.StoreAddress, "store.address", "`address` of the platform's store")
	flags.Float64Var(&s.ProcessorShare, "machine.processorShare", s.ProcessorShare, "number of processor `cores` of this VM")
	flags.IntVar(&s.MemoryMB, "machine.memoryMB", s.MemoryMB, "memory of this VM in `megabytes`")
	flags.IntVar(&s.OpenFiles, "machine.openFiles", s.OpenFiles, "number of file `descriptors` that the process may have open")
	flags.Float64Var(&s.LinkMbps, "machine.linkMbps", s.LinkMbps, "bandwidth of this VM's link in `megabits` per second")
	flags.IntVar(&s.MaxCallerConnections, "callers.maxConnections", s.MaxCallerConnections, "`number` of callers' connections that may be open; 0 is a part of the descriptors and the memory")
	flags.Float64Var(&s.MaxCallerBodyMB, "callers.maxBodyMB", s.MaxCallerBodyMB, "`megabytes` that all bodies which are being read may take; 0 is a tenth of the memory")
	flags.Float64Var(&s.MinCallerBodyKBps, "callers.minBodyKBps", s.MinCallerBodyKBps, "`kilobytes` per second below which a body gives way to another one when there is no room")
	flags.IntVar(&s.MaxPayloadBytes, "jobs.maxPayloadBytes", s.MaxPayloadBytes, "`bytes` that the payload of a job may have")
	flags.IntVar(&s.MaxSteps, "jobs.maxSteps", s.MaxSteps, "`number` of steps that a job may have")
	flags.IntVar(&s.MaxDependencies, "jobs.maxDependencies", s.MaxDependencies, "`number` of steps that all steps of a job together may come after")
	flags.IntVar(&s.MaxJobs, "jobs.maxWaiting", s.MaxJobs, "`number` of jobs that callers of this VM may wait for; 0 is a part of callers.maxConnections")
	flags.Float64Var(&s.MaxJobMemoryMB, "jobs.maxMemoryMB", s.MaxJobMemoryMB, "`megabytes` that jobs may take; 0 is a part of the memory")
	flags.IntVar(&s.MaxTasksPerEndpoint, "endpoints.maxTasks", s.MaxTasksPerEndpoint, "`number` of tasks at an endpoint, whatever they need")
	flags.IntVar(&s.MaxEndpointCalls, "endpoints.maxCalls", s.MaxEndpointCalls, "`number` of starts that a leader may have no answer to, and of stops; 0 is a part of the descriptors and the memory")
	flags.IntVar(&s.MaxEndpointConnections, "endpoints.maxConnections", s.MaxEndpointConnections, "`number` of connections to endpoints that may be open before idle ones are closed; 0 is a part of the descriptors")
	flags.IntVar(&s.MaxCancelWaiters, "jobs.maxCancelling", s.MaxCancelWaiters, "`number` of requests to cancel a job that may wait; 0 is a part of callers.maxConnections")
	millis := func(target *clock.Millis, name, usage string) {
		flags.Int64Var((*int64)(target), name, int64(*target), usage)
	}
	flags.IntVar(&s.MaxUnreadKB, "callers.maxUnreadKB", s.MaxUnreadKB, "`kilobytes` that a connection of a caller holds which have not been read")
	millis(&s.AnswerTimeout, "callers.answerMs", "time that a caller may take to read an answer, in `milliseconds`")
	millis(&s.MaxLease, "bounds.longestLeaseMs", "longest lease that endpoints grant, in `milliseconds`")
	millis(&s.StopDuration, "bounds.stopMs", "time that a stop takes at an endpoint, in `milliseconds`")
	millis(&s.ResendInterval, "bounds.resendMs", "time after which callers send a job again, in `milliseconds`")
	millis(&s.GracePeriod, "bounds.graceMs", "time between SIGTERM and SIGKILL, in `milliseconds`")
	millis(&s.DrainNotice, "bounds.drainMs", "time for which an endpoint that is leaving may be sent tasks, in `milliseconds`")
	millis(&s.EvacuationNotice, "bounds.evacuateMs", "time for which tasks may start in a data centre after the request to evacuate it, in `milliseconds`; 0 ignores such requests")
	flags.Float64Var(&s.FarFactor, "bounds.farFactor", s.FarFactor, "`factor` by which tasks take longer outside the rack of their data")
	flags.IntVar(&s.Successors, "successors", s.Successors, "`number` of VMs of the data centre in the replica set of its shard")
	text(&s.TraceExporter, "trace.exporter", "`exporter` of spans: none, stdout or otlphttp")
	text(&s.TraceAddress, "trace.address", "`address` of the collector for otlphttp")
	flags.IntVar(&s.LogLinesPerSecond, "log.linesPerSecond", s.LogLinesPerSecond, "maximum `number` of decisions logged per second")
}

// Options returns options that make ff prefer flags to environment variables, and these to the
// file.
func Options() []ff.Option {
	return []ff.Option{ff.WithEnvVarPrefix(EnvPrefix), ff.WithConfigFileFlag(FileFlag), ff.WithConfigFileParser(parseFile)}
}

// Validate returns an error for the first key with an invalid value.
func (s *Settings) Validate() error {
	required := []struct{ key, value string }{
		{"vm", string(s.VM)},
		{"dataCentre", string(s.DataCentre)},
		{"listen.callers", s.CallerAddress},
		{"listen.ready", s.ReadyAddress},
		{"listen.peers", s.PeerAddress},
		{"store.address", s.StoreAddress},
	}
	for _, r := range required {
		if r.value == "" {
			return errors.NotValidf("check settings: key %s is empty: give it a value; the empty value is", r.key)
		}
	}
	for _, r := range required[2:] {
		if _, _, err := net.SplitHostPort(r.value); err != nil {
			return errors.NotValidf("check settings: key %s: %q is not host:port: value", r.key, r.value)
		}
	}
	for _, a := range s.Seeds {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return errors.NotValidf("check settings: key seeds: %q is not host:port: value", a)
		}
	}
	found := false
	for _, dc := range s.DataCentres {
		found = found || dc == s.DataCentre
	}
	if !found {
		return errors.NotValidf("check settings: key dataCentres lacks this VM's data centre %q: value", s.DataCentre)
	}
	positive := []struct {
		key   string
		value float64
	}{
		{"machine.processorShare", s.ProcessorShare},
		{"machine.memoryMB", float64(s.MemoryMB)},
		{"machine.openFiles", float64(s.OpenFiles)},
		{"machine.linkMbps", s.LinkMbps},
		{"bounds.longestLeaseMs", float64(s.MaxLease)},
		{"bounds.stopMs", float64(s.StopDuration)},
		{"bounds.resendMs", float64(s.ResendInterval)},
		{"bounds.graceMs", float64(s.GracePeriod)},
		{"bounds.drainMs", float64(s.DrainNotice)},
		{"successors", float64(s.Successors)},
		{"callers.minBodyKBps", s.MinCallerBodyKBps},
		{"callers.maxUnreadKB", float64(s.MaxUnreadKB)},
		{"callers.answerMs", float64(s.AnswerTimeout)},
		{"jobs.maxPayloadBytes", float64(s.MaxPayloadBytes)},
		{"jobs.maxSteps", float64(s.MaxSteps)},
		{"jobs.maxDependencies", float64(s.MaxDependencies)},
		{"endpoints.maxTasks", float64(s.MaxTasksPerEndpoint)},
		{"log.linesPerSecond", float64(s.LogLinesPerSecond)},
	}
	for _, p := range positive {
		if p.value <= 0 {
			return errors.NotValidf("check settings: key %s: %v is not above 0: value", p.key, p.value)
		}
	}
	switch s.TraceExporter {
	case traceNone, traceStdout:
	case traceOTLP:
		if _, _, err := net.SplitHostPort(s.TraceAddress); err != nil {
			return errors.NotValidf("check settings: key trace.address: %q is not host:port: value", s.TraceAddress)
		}
	default:
		return errors.NotValidf("check settings: key trace.exporter: %q is not none, stdout or otlphttp: value", s.TraceExporter)
	}
	if s.EvacuationNotice < 0 {
		return errors.NotValidf("check settings: key bounds.evacuateMs: %v is below 0: value", s.EvacuationNotice)
	}
	for _, n := range []struct {
		key   string
		value float64
	}{
		{"callers.maxConnections", float64(s.MaxCallerConnections)},
		{"callers.maxBodyMB", s.MaxCallerBodyMB},
		{"jobs.maxWaiting", float64(s.MaxJobs)},
		{"jobs.maxMemoryMB", s.MaxJobMemoryMB},
		{"jobs.maxCancelling", float64(s.MaxCancelWaiters)},
		{"endpoints.maxCalls", float64(s.MaxEndpointCalls)},
		{"endpoints.maxConnections", float64(s.MaxEndpointConnections)},
	} {
		if n.value < 0 {
			return errors.NotValidf("check settings: key %s: %v is below 0: value", n.key, n.value)
		}
	}
	if s.FarFactor < 1 {
		return errors.NotValidf("check settings: key bounds.farFactor: %v is below 1: value", s.FarFactor)
	}
	return nil
}

// parseFile passes the keys of a TOML file to ff under the names of their flags. ff returns an
// error that names a key without a flag.
func parseFile(r io.Reader, set func(name, value string) error) error {
	var root map[string]any
	if err := toml.NewDecoder(r).Decode(&root); err != nil {
		return errors.Annotate(err, "the settings file is not TOML: correct it")
	}
	return setAll("", root, set)
}
