package bundle

// Holder decides which candidate comes into force at a VM. It knows no clock.
type Holder struct {
	held Candidate
}

// InForce returns the candidate in force.
func (h *Holder) InForce() (Candidate, bool) {
	return h.held, h.held.Bundle != nil
}

// Take puts a verified candidate into force or says why not.
func (h *Holder) Take(c Candidate) Verdict {
	if c.Head.Version < h.held.Head.Version {
		return Rejected{Version: c.Head.Version, Cause: OldVersion}
	}
	h.held = c
	return InForce{Candidate: c}
}
