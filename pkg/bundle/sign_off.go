package bundle

import "github.com/sequoiacart/sequoiacart/pkg/owner"

// Signature is a hex Ed25519 signature.
type Signature string

// SignOff is the consent of the owner whose month it is.
type SignOff struct {
	Month     Month
	Signer    owner.ID
	Signature Signature
}
