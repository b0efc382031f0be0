package bundle

// Status is the bundle status of a VM.
type Status struct {
	// InForce has version 0 at a VM without a bundle.
	InForce  Ref
	Prepared []Readiness
}

// Readiness is the result of a VM's check of a prepared candidate.
type Readiness struct {
	// Candidate is the digest of the unsigned head.
	Candidate Digest
	Version   Version
	Ready     bool
	Reason    string
}
