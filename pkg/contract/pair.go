package contract

import "github.com/sequoiacart/sequoiacart/pkg/vm"

// Pair names an issuer and one of its witnesses. It has at most one row at the
// platform, which says which of the two answers for what was not settled.
type Pair struct {
	Issuer  vm.Incarnation
	Witness vm.Incarnation
}

// PairRow is the content of the row of a pair, as far as it is known.
type PairRow int

// The contents. The first writer decides; the row never changes afterwards.
const (
	// PairRowUnknown means that the row has not been read, or does not exist.
	PairRowUnknown PairRow = iota
	// PairFencedByWitness leaves the answers to the witness.
	PairFencedByWitness
	// PairReleasedByIssuer lets the issuer go on without the witness.
	PairReleasedByIssuer
)

// BatchNumber counts the batches that an issuer sends to one witness, from 1. A batch
// that is sent again gets a new number, so that a delayed copy is recognised.
type BatchNumber uint64
