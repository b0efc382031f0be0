package contract

import "github.com/sequoiacart/sequoiacart/pkg/vm"

// Pair identifies an issuer and one of its witnesses. It has at most one row on the
// platform, which decides which of the two answers for unsettled submissions.
type Pair struct {
	Issuer  vm.Incarnation
	Witness vm.Incarnation
}

// PairRow is the content of the row of a pair, if it has been read.
type PairRow int

// The contents of a pair row. The first writer decides; the row never changes afterwards.
const (
	// PairRowUnknown means that the row has not been read, or does not exist.
	PairRowUnknown PairRow = iota
	// PairFencedByWitness means that the witness answers.
	PairFencedByWitness
	// PairReleasedByIssuer means that the issuer continues without the witness.
	PairReleasedByIssuer
)

// BatchNumber numbers the batches that an issuer sends to one witness, from 1. A batch
// that is sent again gets a new number, so that the witness detects a delayed copy.
type BatchNumber uint64
