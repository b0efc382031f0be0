package bundle

import "github.com/sequoiacart/sequoiacart/pkg/owner"

// Signature is a hex Ed25519 signature.
type Signature string

// SignOff is the approval by the owner to whom the calendar assigns the month.
type SignOff struct {
	Month     Month
	Signer    owner.ID
	Signature Signature
}
