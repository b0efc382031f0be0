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
func (g *IDGenerator) Reserve(now clock.Millis, o owner.ID, witness vm.Incarnation) SubmissionID {
	g.next++
	id := SubmissionID{
		DataCentre: g.config.DataCentre,
		Issuer:     g.config.Issuer,
		Witness:    witness,
		IssuedAt:   now,
		Sequence:   g.next,
	}
	id.MAC = g.computeMAC(id, o)
	return id
}

// Reserved reports whether this generator reserved the id for the owner.
func (g *IDGenerator) Reserved(id SubmissionID, o owner.ID) bool {
	mac := g.computeMAC(id, o)
	return id.Issuer == g.config.Issuer && hmac.Equal(id.MAC[:], mac[:])
}

func (g *IDGenerator) computeMAC(id SubmissionID, o owner.ID) MAC {
	g.buffer = append(id.appendPrefix(g.buffer[:0]), 0)
	g.buffer = append(g.buffer, o...)
	g.hash.Reset()
	g.hash.Write(g.buffer)
	g.buffer = g.hash.Sum(g.buffer[:0])
	var mac MAC
	copy(mac[:], g.buffer)
	return mac
}
