package bundle

// Candidate is a head whose sign-off and sections have been verified.
type Candidate struct {
	Head   Head
	Digest Digest
	Bundle *Bundle
}
