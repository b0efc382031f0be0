package bundle

import (
	"bytes"
	"strings"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2"
)

type wireFile struct {
	Governance wireGovernance `toml:"governance"`
	Owners     []wireOwner    `toml:"owners"`
}

// DecodeFile decodes and checks the TOML file that operators edit. Errors name the file, the
// key and the reason. Unknown keys are errors.
func DecodeFile(name string, body []byte) (*Bundle, error) {
	var w wireFile
	decoder := toml.NewDecoder(bytes.NewReader(body)).DisallowUnknownFields()
	if err := decoder.Decode(&w); err != nil {
		return nil, errors.Annotatef(explainDecodeError(err), "read bundle file %s", name)
	}
	b := &Bundle{Governance: decodeGovernance(w.Governance)}
	for _, o := range w.Owners {
		b.Owners = append(b.Owners, decodeOwner(o))
	}
	return b, errors.Annotatef(b.Check(), "check bundle file %s", name)
}

// EncodeFile returns the TOML form of a bundle.
func EncodeFile(b *Bundle) ([]byte, error) {
	var w wireFile
	if err := decodeJSON(EncodeGovernance(b.Governance), &w.Governance); err != nil {
		return nil, errors.Trace(err)
	}
	for _, o := range b.Owners {
		w.Owners = append(w.Owners, encodeOwner(o))
	}
	return toml.Marshal(w)
}

// explainDecodeError adds the unknown keys or the position to a decoding error, since the
// messages of the library omit them.
func explainDecodeError(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		keys := make([]string, len(strict.Errors))
		for i, e := range strict.Errors {
			keys[i] = strings.Join(e.Key(), ".")
		}
		return errors.NotValidf("unknown key %s: key", strings.Join(keys, ", "))
	}
	var syntax *toml.DecodeError
	if errors.As(err, &syntax) {
		line, _ := syntax.Position()
		return errors.NotValidf("key %q, line %d: %s: TOML", strings.Join(syntax.Key(), "."), line, syntax.Error())
	}
	return err
}
