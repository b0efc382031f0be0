package bundlestore

import "github.com/sequoiacart/sequoiacart/pkg/bundle"

// HeadRow names the head in force. It is small, since every VM polls it. The head itself is
// stored as an object.
type HeadRow struct {
	Head     bundle.Ref
	Operator OperatorName
	Token    WriterToken
}
