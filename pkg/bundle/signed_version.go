package bundle

import "github.com/sequoiacart/sequoiacart/pkg/owner"

// SignedVersion says who signed off a version, and for which month.
type SignedVersion struct {
	Ref    Ref
	Month  Month
	Signer owner.ID
}

// SignedVersion returns the sign-off of the candidate's head.
func (c Candidate) SignedVersion() SignedVersion {
	return SignedVersion{Ref: c.Ref(), Month: c.Head.SignOff.Month, Signer: c.Head.SignOff.Signer}
}
