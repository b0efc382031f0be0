package contract

import (
	"crypto/hmac"
	"crypto/sha256"
	"hash"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// IDGeneratorConfig holds what a mint is made of.
type IDGeneratorConfig struct {
	DataCentre datacentre.ID
	Issuer     vm.Incarnation
	// Key authenticates ids. It lives only as long as the incarnation.
	Key []byte
}

// IDGenerator reserves submission ids for one issuer and recognises its own. A reserved id
// takes no memory: its code proves the reservation.
type IDGenerator struct {
	config IDGeneratorConfig
	next   Sequence
	// hash and buffer are kept, since making an HMAC costs more than using it.
	hash   hash.Hash
	buffer []byte
}

// NewIDGenerator returns a mint that has reserved nothing.
func NewIDGenerator(c IDGeneratorConfig) *IDGenerator {
	return &IDGenerator{config: c, hash: hmac.New(sha256.New, c.Key)}
}

// Reserve returns a new id for the owner.
func (m *IDGenerator) Reserve(now clock.Millis, o owner.ID, witness vm.Incarnation) SubmissionID {
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
func (m *IDGenerator) Reserved(id SubmissionID, o owner.ID) bool {
	code := m.code(id, o)
	return id.Issuer == m.config.Issuer && hmac.Equal(id.MAC[:], code[:])
}

func (m *IDGenerator) code(id SubmissionID, o owner.ID) MAC {
	m.buffer = append(id.appendPrefix(m.buffer[:0]), 0)
	m.buffer = append(m.buffer, o...)
	m.hash.Reset()
	m.hash.Write(m.buffer)
	m.buffer = m.hash.Sum(m.buffer[:0])
	var code MAC
	copy(code[:], m.buffer)
	return code
}
