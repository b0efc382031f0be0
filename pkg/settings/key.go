package settings

import (
	"flag"
	"strconv"
	"strings"
	"unicode"

	"github.com/juju/errors"
)

// Key is one setting. Its name is its path in the settings file; the names of the flag and of
// the environment variable are derived from it.
type Key struct {
	Name string
	// Unit is the unit of a number or the format of a text.
	Unit        string
	Description string
	// Required keys have no default.
	Required bool

	value  flag.Value
	number bool
}

// EnvPrefix is the prefix of the names of all environment variables.
const EnvPrefix = "SEQUOIACART"

// Flag returns the name of the flag: "limits.bodyBytes" becomes "limits-body-bytes".
func (k Key) Flag() string {
	var b strings.Builder
	for _, r := range k.Name {
		switch {
		case r == '.':
			b.WriteByte('-')
		case unicode.IsUpper(r):
			b.WriteByte('-')
			b.WriteRune(unicode.ToLower(r))
		default:
			b.WriteRune(r)
		}
	}
	return b.String()
}

// EnvVar returns the name of the environment variable.
func (k Key) EnvVar() string {
	return EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(k.Flag(), "-", "_"))
}

// Value returns the current value as text.
func (k Key) Value() string { return k.value.String() }

type textValue[T ~string] struct{ target *T }

func (t textValue[T]) String() string {
	if t.target == nil {
		return ""
	}
	return string(*t.target)
}

func (t textValue[T]) Set(text string) error {
	*t.target = T(text)
	return nil
}

type numberValue[T ~int | ~int64] struct{ target *T }

func (n numberValue[T]) String() string {
	if n.target == nil {
		return ""
	}
	return strconv.FormatInt(int64(*n.target), 10)
}

func (n numberValue[T]) Set(text string) error {
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return errors.Errorf("%q is not a whole number", text)
	}
	if int64(T(number)) != number {
		return errors.Errorf("%s is too large", text)
	}
	*n.target = T(number)
	return nil
}

func text[T ~string](name, unit, description string, target *T) Key {
	return Key{Name: name, Unit: unit, Description: description, value: textValue[T]{target}}
}

func number[T ~int | ~int64](name, unit, description string, target *T) Key {
	return Key{Name: name, Unit: unit, Description: description, value: numberValue[T]{target}, number: true}
}

func required(k Key) Key {
	k.Required = true
	return k
}
