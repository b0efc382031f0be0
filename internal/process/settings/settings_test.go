package settings

import (
	"flag"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/peterbourgon/ff/v3"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

const completeFile = `vm = "front-1"
dataCentre = "centro"
dataCentres = ["centro", "norte"]
seeds = ["10.0.0.2:3", "10.0.0.3:3"]
[listen]
callers = "10.0.0.1:1"
ready = "10.0.0.1:2"
peers = "10.0.0.1:3"
[store]
address = "10.0.0.9:4"
[machine]
processorShare = 0.4
memoryMB = 284
[bounds]
resendMs = 1500
farFactor = 1.5
`

func parse(t *testing.T, file string, args ...string) (Settings, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "boot.toml")
	if err := os.WriteFile(path, []byte(file), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv(EnvPrefix+"_BOOT", path)
	s := Default()
	flags := flag.NewFlagSet("node", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	Register(flags, &s)
	if err := ff.Parse(flags, args, Options()...); err != nil {
		return s, err
	}
	return s, s.Validate()
}

// Guards against keys of the file that are ignored, and against an order of precedence other
// than flag, variable, file, default.
func TestSources(t *testing.T) {
	t.Setenv(EnvPrefix+"_SUCCESSORS", "2")
	s, err := parse(t, completeFile, "--machine.memoryMB", "144")
	if err != nil {
		t.Fatal(err)
	}
	if len(s.DataCentres) != 2 || s.DataCentres[1] != "norte" {
		t.Errorf("got data centres %v, want centro and norte", s.DataCentres)
	}
	got := []any{string(s.VM), s.PeerAddress, s.ProcessorShare, s.MemoryMB, s.ResendInterval, s.StopDuration, s.Successors, len(s.Seeds)}
	want := []any{"front-1", "10.0.0.1:3", 0.4, 144, clock.Millis(1500), clock.Millis(50), 2, 2}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("value %d: got %v, want %v", i, got[i], want[i])
		}
	}
}

// Guards against invalid settings that are only detected later, and against errors that do not
// name the key.
func TestMistakes(t *testing.T) {
	cases := map[string]struct{ from, to, want string }{
		"unknown key":          {`vm = "front-1"`, "vm = \"front-1\"\ncolour = 1", "colour"},
		"no name":              {`vm = "front-1"`, `vm = ""`, "vm"},
		"address without port": {`"10.0.0.1:3"`, `"10.0.0.1"`, "listen.peers"},
		"seed without port":    {`"10.0.0.2:3"`, `"10.0.0.2"`, "seeds"},
		"data centre missing":  {`["centro", "norte"]`, `["norte"]`, "dataCentres"},
		"no memory":            {"memoryMB = 284", "memoryMB = 0", "machine.memoryMB"},
		"text for a number":    {"memoryMB = 284", `memoryMB = "much"`, "machine.memoryMB"},
		"far factor below 1":   {"farFactor = 1.5", "farFactor = 0.5", "bounds.farFactor"},
		"evacuated before":     {"[bounds]", "[bounds]\nevacuateMs = -1", "bounds.evacuateMs"},
		"unknown exporter":     {"[machine]", "[trace]\nexporter = \"paper\"\n[machine]", "trace.exporter"},
		"no collector":         {"[machine]", "[trace]\nexporter = \"otlphttp\"\n[machine]", "trace.address"},
		"not TOML":             {`vm = "front-1"`, `vm = `, "not TOML"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := parse(t, strings.Replace(completeFile, c.from, c.to, 1))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v, want an error with %q", err, c.want)
			}
		})
	}
}

// Guards against keys that are missing from docs/node-settings.md.
func TestPageListsAllKeys(t *testing.T) {
	page, err := os.ReadFile("../../../docs/node-settings.md")
	if err != nil {
		t.Fatal(err)
	}
	s := Default()
	flags := flag.NewFlagSet("node", flag.ContinueOnError)
	Register(flags, &s)
	flags.VisitAll(func(f *flag.Flag) {
		if !strings.Contains(string(page), "| `"+f.Name+"` |") {
			t.Errorf("got no row for %s in docs/node-settings.md, want one", f.Name)
		}
	})
}

// Guards against a deployment template with keys that the program rejects.
func TestTemplateHasKnownKeys(t *testing.T) {
	text, err := os.ReadFile("../../../deploy/settings.toml.tmpl")
	if err != nil {
		t.Fatal(err)
	}
	filled := strings.NewReplacer(
		`[{{#zones}}"{{@}}"{{,}}{{/zones}}]`, `["a", "b"]`, `[{{#seeds}}"{{.}}"{{,}}{{/seeds}}]`, `["10.0.0.2:3", "10.0.0.3:3"]`, "{{zone}}", "a", "{{node_name}}", "vm-1", "{{ip}}", "10.0.0.1",
		"{{listen_addrs.front}}", "10.0.0.1:1", "{{listen_addrs.ready}}", "10.0.0.1:2", "{{listen_addrs.control}}", "10.0.0.1:3",
		"{{platform.address}}", "10.0.0.9:4", "{{limits.cpu_share}}", "0.4", "{{limits.memory_mb}}", "284", "{{limits.max_fds}}", "4100", "{{limits.link_mbps}}", "1000.0",
		"{{bounds.hold_max_ms}}", "1000", "{{bounds.stop_ms}}", "50", "{{bounds.retransmit_ms}}", "1300",
		"{{bounds.grace_s}}", "6", "{{bounds.drain_ms}}", "2000", "{{bounds.far_x}}", "1.5",
		"{{#bounds.evacuate_ms}}", "", "{{bounds.evacuate_ms}}", "5000", "{{/bounds.evacuate_ms}}", "",
	).Replace(string(text))
	s, err := parse(t, filled)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := s.GracePeriod, 6*clock.Second; got != want {
		t.Errorf("got a grace period of %d ms, want %d ms", got, want)
	}
	if got, want := s.EvacuationNotice, 5*clock.Second; got != want {
		t.Errorf("got a notice of evacuations of %d ms, want %d ms", got, want)
	}
}
