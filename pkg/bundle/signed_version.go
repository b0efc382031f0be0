package bundle

import "github.com/sequoiacart/sequoiacart/pkg/owner"

// SignedVersion is a version with the signer and the month of its sign-off.
type SignedVersion struct {
	Ref    Ref
	Month  Month
	Signer owner.ID
}

// SignedVersion returns the sign-off of the candidate's head.
func (c Candidate) SignedVersion() SignedVersion {
	return SignedVersion{Ref: c.Ref(), Month: c.Head.SignOff.Month, Signer: c.Head.SignOff.Signer}
}
