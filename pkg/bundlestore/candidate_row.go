package bundlestore

import "github.com/sequoiacart/sequoiacart/pkg/bundle"

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
