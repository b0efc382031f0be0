package settings

import (
	"flag"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/peterbourgon/ff/v3"
)

// FileFlag is the flag for the path of the settings file.
const FileFlag = "settings"

// Register defines a flag for every key of s and one for the settings file.
func Register(flags *flag.FlagSet, s *Settings) {
	flags.String(FileFlag, "", "TOML `file` with settings")
	for _, k := range s.Keys() {
		flags.Var(k.value, k.Flag(), k.Description+" (`"+k.Unit+"`)")
	}
}

// Options returns the options with which ff gives flags precedence over environment
// variables, and these over the settings file.
func Options() []ff.Option {
	return []ff.Option{ff.WithEnvVarPrefix(EnvPrefix), ff.WithConfigFileFlag(FileFlag), ff.WithConfigFileParser(parseFile)}
}

// Load returns the default settings overridden by those of a file. An unknown key is an error
// that names it.
func Load(path string) (Settings, error) {
	s := Default()
	file, err := os.Open(path)
	if err != nil {
		return s, errors.Annotate(err, "read settings: give a readable file")
	}
	defer func() { _ = file.Close() }()
	flags := flag.NewFlagSet("settings", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	Register(flags, &s)
	return s, errors.Annotatef(parseFile(file, flags.Set), "read settings %s", path)
}

// parseFile passes the keys of a TOML file to ff under the names of their flags.
func parseFile(r io.Reader, set func(name, value string) error) error {
	var root map[string]any
	if err := toml.NewDecoder(r).Decode(&root); err != nil {
		return errors.Errorf("the settings file is not TOML: %s: correct the line", describeDecodeError(err))
	}
	found := make(map[string]any)
	flatten("", root, found)
	var s Settings
	for _, k := range s.Keys() {
		value, ok := found[k.Name]
		if !ok {
			continue
		}
		delete(found, k.Name)
		text, err := k.format(value)
		if err != nil {
			return err
		}
		if err := set(k.Flag(), text); err != nil {
			return errors.Annotatef(err, "key %s", k.Name)
		}
	}
	return rejectUnknown(found)
}

// describeDecodeError adds the line and column, which the message of the TOML library lacks.
func describeDecodeError(err error) string {
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, column := decodeErr.Position()
		return fmt.Sprintf("line %d, column %d: %v", line, column, err)
	}
	return err.Error()
}

func flatten(prefix string, table map[string]any, into map[string]any) {
	for name, value := range table {
		if inner, ok := value.(map[string]any); ok {
			flatten(prefix+name+".", inner, into)
			continue
		}
		into[prefix+name] = value
	}
}

// format returns the value as text. It rejects a value of another type, such as a number in
// quotes.
func (k Key) format(value any) (string, error) {
	switch v := value.(type) {
	case string:
		if !k.number {
			return v, nil
		}
	case int64:
		if k.number {
			return fmt.Sprint(v), nil
		}
	}
	expected := "text in quotes"
	if k.number {
		expected = "a whole number"
	}
	return "", errors.Errorf("key %s: value %v has the wrong type: use %s (%s)", k.Name, value, expected, k.Unit)
}

func rejectUnknown(unknown map[string]any) error {
	if len(unknown) == 0 {
		return nil
	}
	names := make([]string, 0, len(unknown))
	for name := range unknown {
		names = append(names, name)
	}
	slices.Sort(names)
	return errors.Errorf("unknown key %s: remove it or correct its name; docs/settings.md lists all keys", names[0])
}
