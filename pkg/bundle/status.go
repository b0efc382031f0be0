package bundle

// Status is what one VM says of bundles.
type Status struct {
	// InForce has version 0 at a VM without a bundle.
	InForce  Ref
	Prepared []Readiness
}

// Readiness says whether a VM has fetched and checked a prepared candidate.
type Readiness struct {
	// Candidate is the digest of the unsigned head.
	Candidate Digest
	Version   Version
	Ready     bool
	Reason    string
}
