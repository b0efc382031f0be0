package bundlestore

import (
	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// OperatorName names the person or program that runs a bundle command.
type OperatorName string

// WriterToken recognises one write of one operator.
type WriterToken string

// HeadRow names the head in force. It is small, since every VM polls it; the head itself
// is an object.
type HeadRow struct {
	Head     bundle.Ref
	Operator OperatorName
	Token    WriterToken
}

// CandidateRow names a prepared head.
type CandidateRow struct {
	// ID is the digest of the unsigned head.
	ID bundle.Digest
	// Head is the unsigned head, or the signed one once there is a sign-off.
	Head     bundle.Ref
	Operator OperatorName
	Token    WriterToken
}

// Signed reports whether the candidate has a sign-off.
func (c CandidateRow) Signed() bool {
	return c.Head.Digest != c.ID
}

// Report is what a VM says of itself in its row.
type Report struct {
	VM     vm.VM
	Status bundle.Status
}
