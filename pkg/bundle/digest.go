package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"regexp"
)

// Digest is the hex SHA-256 digest of the bytes of a section or a head.
type Digest string

var digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// DigestOf returns the digest of the bytes.
func DigestOf(body []byte) Digest {
	sum := sha256.Sum256(body)
	return Digest(hex.EncodeToString(sum[:]))
}

// Valid reports whether the digest is well-formed.
func (d Digest) Valid() bool {
	return digestPattern.MatchString(string(d))
}
