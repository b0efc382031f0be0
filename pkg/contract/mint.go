package contract

import (
	"crypto/hmac"
	"crypto/sha256"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// MintConfig holds what a mint is made of.
type MintConfig struct {
	DataCentre datacentre.ID
	Issuer     vm.Incarnation
	// Key authenticates ids. It lives only as long as the incarnation.
	Key []byte
}

// Mint reserves submission ids for one issuer and recognises its own. A reserved id
// takes no memory: its code proves the reservation.
type Mint struct {
	config MintConfig
	next   Sequence
}

// NewMint returns a mint that has reserved nothing.
func NewMint(c MintConfig) *Mint {
	return &Mint{config: c}
}

// Reserve returns a new id for the owner.
func (m *Mint) Reserve(now clock.Millis, o owner.ID, witness vm.Incarnation) SubmissionID {
	m.next++
	id := SubmissionID{
		DataCentre: m.config.DataCentre,
		Issuer:     m.config.Issuer,
		Witness:    witness,
		IssuedAt:   now,
		Sequence:   m.next,
	}
	id.MAC = m.code(id, o)
	return id
}

// Reserved reports whether this mint reserved the id for the owner.
func (m *Mint) Reserved(id SubmissionID, o owner.ID) bool {
	code := m.code(id, o)
	return id.Issuer == m.config.Issuer && hmac.Equal(id.MAC[:], code[:])
}

func (m *Mint) code(id SubmissionID, o owner.ID) MAC {
	h := hmac.New(sha256.New, m.config.Key)
	h.Write([]byte(id.prefix()))
	h.Write([]byte{0})
	h.Write([]byte(o))
	var code MAC
	copy(code[:], h.Sum(nil))
	return code
}
