package vm

import (
	"regexp"
	"strings"
)

// ID names an entry VM. It stays the same over restarts.
type ID string

// Incarnation names one run of an entry VM process: "<vm>-<nonce>".
type Incarnation string

// None stands for the absent witness of a VM that has no peer.
const None Incarnation = "none"

var incarnationFormat = regexp.MustCompile(`^[a-z0-9]+-[a-z0-9]+$`)

// NewIncarnation joins a VM id and a nonce; both are [a-z0-9]+.
func NewIncarnation(id ID, nonce string) Incarnation {
	return Incarnation(string(id) + "-" + nonce)
}

// VM returns the VM that the incarnation belongs to. Names of VMs may hold hyphens; nonces
// do not.
func (i Incarnation) VM() ID {
	end := strings.LastIndexByte(string(i), '-')
	if end < 0 {
		return ID(i)
	}
	return ID(i[:end])
}

// Valid reports whether the text has the form of an incarnation.
func (i Incarnation) Valid() bool {
	return incarnationFormat.MatchString(string(i))
}
