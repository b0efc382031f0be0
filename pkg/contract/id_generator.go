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

// IDGeneratorConfig configures an IDGenerator.
type IDGeneratorConfig struct {
	DataCentre datacentre.ID
	Issuer     vm.Incarnation
	// Key authenticates ids. It is valid only for one incarnation of the VM.
	Key []byte
}

// IDGenerator reserves submission ids for one issuer and verifies that an id is its own. A
// reserved id takes no memory, since its MAC proves the reservation.
type IDGenerator struct {
	config IDGeneratorConfig
	next   Sequence
	// hash and buffer are reused, since creating an HMAC costs more than computing one.
	hash   hash.Hash
	buffer []byte
}

// NewIDGenerator returns an IDGenerator without reservations.
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

// Reserved reports whether this generator reserved the id for the owner.
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
