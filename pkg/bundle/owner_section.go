package bundle

import "github.com/sequoiacart/sequoiacart/pkg/owner"

// OwnerSection names the section of one owner.
type OwnerSection struct {
	Owner   owner.ID
	Section Digest
}
