// Package bundle holds the versioned configuration that owners sign off.
package bundle

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/sequoiacart/sequoiacart/pkg/owner"
)

// Version orders bundles; a higher one replaces a lower one.
type Version uint64

// Digest is the hex SHA-256 digest of a bundle's bytes.
type Digest string

// DigestOf returns the digest of bytes.
func DigestOf(body []byte) Digest {
	sum := sha256.Sum256(body)
	return Digest(hex.EncodeToString(sum[:]))
}

// Bundle is a version of the configuration. It is immutable.
type Bundle struct {
	Version Version
	Owners  []owner.Owner
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
