package app

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/settings"
	"github.com/sequoiacart/sequoiacart/pkg/standin"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// runMain runs a command line that must succeed and returns its output.
func runMain(t testing.TB, args ...string) string {
	t.Helper()
	var stdout, stderr bytes.Buffer
	if code := Main(args, &stdout, &stderr); code != exitOK {
		t.Fatalf("%v: got exit code %d, %s", args, code, stderr.String())
	}
	return stdout.String()
}

// field returns a field of a JSON object that a command printed.
func field[T any](t testing.TB, output, name string) T {
	t.Helper()
	var object map[string]any
	if err := json.Unmarshal([]byte(output), &object); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	value, ok := object[name].(T)
	if !ok {
		t.Fatalf("field %s: got %v in %s", name, object[name], output)
	}
	return value
}

func writeBundleFile(t testing.TB, path, key string, share int) {
	t.Helper()
	m := bundle.MonthOf(clock.Millis(time.Now().UnixMilli()))
	text := fmt.Sprintf(`[governance.calendar]
%s = "norte"
%s = "norte"
%s = "norte"
[governance.keys]
norte = %q
[[owners]]
id = "norte"
share = %d
tokens = [%q]
limits = {tasksPerJob = 370, queuedTasks = 10000}
classes = [{name = "alert", rank = 0, deadlineMs = 2000}]
`, m, m.Next(), m.Next().Next(), key, share, bundle.DigestOf([]byte("token")))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func startDaemon(t testing.TB, id vm.ID, platformAddress, pin string, seedPeers ...string) *Daemon {
	t.Helper()
	s := testSettings(id, platformAddress, pin)
	s.SeedPeers = settings.Addresses(strings.Join(seedPeers, ","))
	return startDaemonWith(t, s)
}

// testSettings returns settings that listen on free ports.
func testSettings(id vm.ID, platformAddress, pin string) settings.Settings {
	s := settings.Default()
	s.VM, s.DataCentre, s.PlatformAddress = id, "centro", platformAddress
	s.CallerAddress, s.PeerAddress = "127.0.0.1:0", "127.0.0.1:0"
	s.GovernanceDigest = bundle.Digest(pin)
	return s
}

func startDaemonWith(t testing.TB, s settings.Settings) *Daemon {
	t.Helper()
	d, stop, done := runDaemon(t, s)
	t.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			t.Errorf("daemon: %v", err)
		}
	})
	return d
}

// Guards against bundle commands that don't work in sequence, and against error messages that
// don't name the cause.
func TestBundleCommands(t *testing.T) {
	server := httptest.NewServer(standin.NewPlatform().Handler())
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	platformFlag := "--platform-address=" + address
	t.Setenv("SEQUOIACART_OPERATOR", "tester")
	dir := t.TempDir()
	keyFile, first, second, third := filepath.Join(dir, "norte.key"), filepath.Join(dir, "1.toml"), filepath.Join(dir, "2.toml"), filepath.Join(dir, "3.toml")
	key := strings.TrimSpace(runMain(t, "bundle", "keygen", "--key-file", keyFile))
	writeBundleFile(t, first, key, 1)
	writeBundleFile(t, second, key, 2)
	writeBundleFile(t, third, key, 3)
	pin := field[string](t, runMain(t, "bundle", "check", "--file", first, "--output", "json"), "governanceDigest")
	prepare := func(operator, file string) string {
		return field[string](t, runMain(t, "bundle", "prepare", platformFlag, "--operator", operator, "--file", file, "--output", "json"), "candidate")
	}
	sign := func(candidate string) {
		runMain(t, "bundle", "sign", platformFlag, "--candidate", candidate, "--owner", "norte", "--key-file", keyFile)
	}
	roll := func(operator, candidate string) float64 {
		return field[float64](t, runMain(t, "bundle", "roll", platformFlag, "--operator", operator, "--candidate", candidate, "--output", "json"), "version")
	}
	candidate := prepare("ana", first)
	sign(candidate)
	if got := roll("ana", candidate); got != 1 {
		t.Fatalf("roll: got version %v, want 1", got)
	}
	d := startDaemon(t, "centro1", address, pin)
	// The daemon polls in the background. Each status command is a network call, so the loop
	// doesn't spin.
	for !d.Ready() {
		runMain(t, "bundle", "status", platformFlag)
	}
	if o, ok := d.OwnerOf("token"); !ok || o.ID != "norte" {
		t.Errorf("owner of token: got %v, %t, want norte", o.ID, ok)
	}
	own, competing := prepare("ana", second), prepare("bruno", third)
	sign(own)
	sign(competing)
	roll("ana", own)
	for step := 1; d.bundle.Load().Version != 2; step++ {
		runMain(t, "bundle", "status", platformFlag)
	}
	if got := runMain(t, "bundle", "history", platformFlag); !strings.Contains(got, "version 2, signed by norte") || !strings.Contains(got, "version 1, signed by norte") {
		t.Errorf("history: got %q", got)
	}
	if got := runMain(t, "bundle", "diff", platformFlag, "--file", third); !strings.Contains(got, `owners.norte.share: "2" -> "3"`) {
		t.Errorf("diff: got %q", got)
	}
	// Read-only commands don't record the operator's name, so they work without one.
	for _, command := range []string{"status", "history"} {
		if got := runMain(t, "bundle", command, platformFlag, "--operator", ""); !strings.Contains(got, "version 2") {
			t.Errorf("%s without an operator: got %q", command, got)
		}
	}
	failures := []struct {
		name string
		args []string
		want string
	}{
		{"rolled after another operator", []string{"roll", platformFlag, "--candidate", competing}, `"ana" has rolled version 2`},
		{"nothing changed", []string{"prepare", platformFlag, "--file", second}, "nothing differs from version 2"},
		{"unknown candidate", []string{"roll", platformFlag, "--candidate", strings.Repeat("0", 64)}, "no candidate 0000"},
		{"truncated digest", []string{"sign", platformFlag, "--candidate", "3f0c", "--key-file", keyFile}, "64 hex digits"},
		{"no key file", []string{"sign", platformFlag, "--candidate", competing, "--key-file", first}, "bundle keygen"},
		{"key file exists", []string{"keygen", "--key-file", keyFile}, "file exists"},
		{"certificate without key", []string{"status", platformFlag, "--tls-certificate-file", keyFile}, "norte.key"},
		{"no operator", []string{"roll", platformFlag, "--operator", "", "--candidate", competing}, "--operator is empty"},
		{"no file", []string{"check"}, "--file is missing"},
		{"unknown output", []string{"status", platformFlag, "--output", "xml"}, "text or json"},
		{"platform unreachable", []string{"status", "--platform-address=127.0.0.1:1"}, "platform 127.0.0.1:1"},
	}
	for _, tt := range failures {
		t.Run(tt.name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			code := Main(append([]string{"bundle"}, tt.args...), &stdout, &stderr)
			if code != exitFailed || !strings.Contains(stderr.String(), tt.want) {
				t.Errorf("got exit code %d, %q, want %d and %q", code, stderr.String(), exitFailed, tt.want)
			}
		})
	}
}
