package bundle

// Ref names a head by its version and digest.
type Ref struct {
	Version Version
	Digest  Digest
}

// Ref returns the reference to the candidate's head.
func (c Candidate) Ref() Ref {
	return Ref{Version: c.Head.Version, Digest: c.Digest}
}
