package settings

import (
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/peterbourgon/ff/v3"
)

// parse reads arguments, variables and a file as the entry command does.
func parse(t *testing.T, args []string, variables map[string]string, file string) (Settings, error) {
	t.Helper()
	for name, value := range variables {
		t.Setenv(name, value)
	}
	path := filepath.Join(t.TempDir(), "entry.toml")
	if err := os.WriteFile(path, []byte(file), 0o600); err != nil {
		t.Fatal(err)
	}
	s := Default()
	flags := flag.NewFlagSet("entry", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	Register(flags, &s)
	err := ff.Parse(flags, append([]string{"--" + FileFlag, path}, args...), Options()...)
	return s, err
}

func (k Key) toml(value string) string {
	if !k.number {
		value = fmt.Sprintf("%q", value)
	}
	return k.Name + " = " + value + "\n"
}

// Guards against a key that cannot be set by flag, environment variable or file, and against
// another order of precedence than this one.
func TestEveryKeyIsSetInThreeWays(t *testing.T) {
	defaults := Default()
	for i, k := range defaults.Keys() {
		cases := map[string]struct {
			args      []string
			variables map[string]string
			file      string
			want      string
		}{
			"file":     {file: k.toml("1"), want: "1"},
			"variable": {variables: map[string]string{k.EnvVar(): "2"}, file: k.toml("1"), want: "2"},
			"flag":     {args: []string{"--" + k.Flag(), "3"}, variables: map[string]string{k.EnvVar(): "2"}, file: k.toml("1"), want: "3"},
			"default":  {want: k.Value()},
		}
		for name, c := range cases {
			t.Run(k.Name+" by "+name, func(t *testing.T) {
				s, err := parse(t, c.args, c.variables, c.file)
				if err != nil {
					t.Fatal(err)
				}
				if got := s.Keys()[i].Value(); got != c.want {
					t.Errorf("got %q, want %q", got, c.want)
				}
			})
		}
	}
}

// Guards against an invalid file that is applied in part, and against errors that do not name
// the key.
func TestBadFilesAreRefusedByName(t *testing.T) {
	cases := map[string]struct {
		file string
		want []string
	}{
		"unknown key":       {"colour = 1", []string{"unknown key colour", "docs/settings.md"}},
		"unknown inner key": {"[limits]\nbodyBites = 1", []string{"unknown key limits.bodyBites"}},
		"unknown table":     {"[limit]\nbodyBytes = 1", []string{"unknown key limit.bodyBytes"}},
		"other spelling":    {"datacentre = 'centro'", []string{"unknown key datacentre"}},
		"number in quotes":  {"size = '1'", []string{"size", "whole number"}},
		"fraction":          {"size = 1.5", []string{"size", "whole number"}},
		"text as number":    {"vm = 1", []string{"vm", "text in quotes"}},
		"list":              {"vm = ['a']", []string{"vm", "text in quotes"}},
		"table as value":    {"[vm]\nname = 'a'", []string{"unknown key vm.name"}},
		"not TOML":          {"size = 1\nvm = ", []string{"line 2", "correct the line"}},
		"twice":             {"size = 1\nsize = 2", []string{"size"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := parse(t, nil, nil, c.file)
			assertNames(t, err, c.want)
		})
	}
}

func assertNames(t *testing.T, err error, want []string) {
	t.Helper()
	if err == nil {
		t.Fatalf("got no error, want one with %v", want)
	}
	for _, w := range want {
		if !strings.Contains(err.Error(), w) {
			t.Errorf("got error %q, want %q in it", err, w)
		}
	}
}

// Guards against a daemon that starts with invalid settings.
func TestValidateNamesTheKey(t *testing.T) {
	good := Default()
	good.VM, good.DataCentre = "a", "centro"
	if err := good.Validate(); err != nil {
		t.Fatalf("got %v, want valid settings", err)
	}
	cases := map[string]struct {
		key, value string
		want       []string
	}{
		"no name":        {"vm", "", []string{"check settings", "key vm", "use"}},
		"capitals":       {"dataCentre", "Centro", []string{"key dataCentre"}},
		"no port":        {"callerAddress", "127.0.0.1", []string{"key callerAddress", "host:port"}},
		"port too large": {"peerAddress", "127.0.0.1:70000", []string{"key peerAddress", "port"}},
		"zero":           {"limits.mailbox", "0", []string{"key limits.mailbox", "positive", "events"}},
		"negative":       {"timeouts.tickMs", "-1", []string{"key timeouts.tickMs", "ms"}},
		"idle too short": {"timeouts.callerIdleMs", "60000", []string{"key timeouts.callerIdleMs", "maxWaitMs"}},
		"bodies":         {"limits.bodiesBytes", "1", []string{"key limits.bodiesBytes", "limits.bodyBytes"}},
		"exporter":       {"trace.exporter", "zipkin", []string{"key trace.exporter", "none, stdout or otlphttp"}},
		"no collector":   {"trace.exporter", "otlphttp", []string{"key trace.address", "host:port"}},
		"half of TLS":    {"tls.keyFile", "key.pem", []string{"key tls.certificateFile", "all three"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := good
			for _, k := range s.Keys() {
				if k.Name == c.key {
					if err := k.value.Set(c.value); err != nil {
						t.Fatal(err)
					}
				}
			}
			assertNames(t, s.Validate(), c.want)
		})
	}
}

// Guards against a page that lacks a key or differs from the code in a default, unit or
// description.
func TestPageShowsEveryKey(t *testing.T) {
	page, err := os.ReadFile("../../docs/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, line := range strings.Split(string(page), "\n") {
		if strings.HasPrefix(line, "| `") {
			got = append(got, line)
		}
	}
	var want []string
	defaults := Default()
	for _, k := range defaults.Keys() {
		value := "`" + k.Value() + "`"
		switch {
		case k.Required:
			value = "required"
		case k.Value() == "":
			value = "empty"
		}
		want = append(want, fmt.Sprintf("| `%s` | `--%s` | `%s` | %s | %s | %s |", k.Name, k.Flag(), k.EnvVar(), value, k.Unit, k.Description))
	}
	if g, w := strings.Join(got, "\n"), strings.Join(want, "\n"); g != w {
		t.Errorf("got rows\n%s\nwant\n%s", g, w)
	}
}
