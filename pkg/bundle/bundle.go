// Package bundle defines the versioned configuration that owners sign off: its sections,
// the head that names them, the sign-off, and the rules by which a head comes into force.
package bundle

import (
	"strconv"

	"github.com/sequoiacart/sequoiacart/pkg/owner"
)

// Version orders bundles; a higher one replaces a lower one.
type Version uint64

// String returns the version in decimal.
func (v Version) String() string {
	return strconv.FormatUint(uint64(v), 10)
}

// Bundle is a version of the configuration. It is immutable.
type Bundle struct {
	Version    Version
	Governance Governance
	Owners     []owner.Owner
}

// OwnerOf returns the owner whose callers may use the token.
func (b *Bundle) OwnerOf(token string) (owner.Owner, bool) {
	digest := owner.TokenDigest(DigestOf([]byte(token)))
	for _, o := range b.Owners {
		for _, t := range o.Tokens {
			if t == digest {
				return o, true
			}
		}
	}
	return owner.Owner{}, false
}
