package bundle

import (
	"crypto/ed25519"
	"encoding/hex"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/owner"
)

// Calendar maps each month to the owner who signs off versions in it.
type Calendar map[Month]owner.ID

// PublicKey is an owner's hex Ed25519 public key.
type PublicKey string

// Governance is the section that defines who may sign off versions, and with which keys.
type Governance struct {
	Calendar Calendar
	Keys     map[owner.ID]PublicKey
}

func (k PublicKey) decode() (ed25519.PublicKey, error) {
	raw, err := hex.DecodeString(string(k))
	if err != nil || len(raw) != ed25519.PublicKeySize {
		return nil, errors.NotValidf("public key %q; use the %d hex digits that keygen prints: key", k, 2*ed25519.PublicKeySize)
	}
	return raw, nil
}
