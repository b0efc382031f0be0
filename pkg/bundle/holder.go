package bundle

import "fmt"

// Holder decides which candidate comes into force at a VM. It knows no clock: a head that
// was accepted under the month it was signed for holds at every VM, whatever its clock
// says. Months only move forward, as versions do.
type Holder struct {
	held     Candidate
	signOffs SignOffHistory
}

// InForce returns the candidate in force.
func (h *Holder) InForce() (Candidate, bool) {
	return h.held, h.held.Bundle != nil
}

// SignOffs returns the sign-offs that this VM knows, the highest version first.
func (h *Holder) SignOffs() []SignedVersion { return h.signOffs.All() }

// RecordSignOffs takes the sign-offs of versions that were read back from the platform.
func (h *Holder) RecordSignOffs(signed []SignedVersion) { h.signOffs.Add(signed...) }

// Offer puts a verified candidate into force or says why not.
func (h *Holder) Offer(c Candidate) Verdict {
	if h.held.Bundle != nil {
		if cause, reason := h.refusal(c); cause != "" {
			return Rejected{Version: c.Head.Version, Cause: cause, Reason: reason}
		}
	}
	h.held = c
	h.signOffs.Add(c.SignedVersion())
	return InForce{Candidate: c}
}

// refusal says why a candidate does not follow the one in force.
func (h *Holder) refusal(c Candidate) (Cause, string) {
	held, offered := h.held.Head, c.Head
	switch {
	case c.Digest == h.held.Digest:
		return Replayed, "it is the version in force"
	case offered.Version < held.Version:
		return OldVersion, fmt.Sprintf("version %d is in force", held.Version)
	case offered.Version == held.Version:
		return OtherBytes, fmt.Sprintf("head %s is in force, %s was offered", h.held.Digest, c.Digest)
	case offered.Parent == held.Version && offered.ParentDigest != h.held.Digest:
		return OldParent, fmt.Sprintf("its parent is head %s, but %s is in force", offered.ParentDigest, h.held.Digest)
	case !offered.extends(held):
		return OtherGovernance, fmt.Sprintf("its chain does not continue the one of version %d", held.Version)
	case offered.SignOff.Month < held.SignOff.Month:
		return WrongMonth, fmt.Sprintf("signed for %s, but version %d was signed for %s", offered.SignOff.Month, held.Version, held.SignOff.Month)
	}
	return "", ""
}

// extends reports whether the governance chain of h begins with that of an earlier head
// and goes on with links that came after it. A link under a past version, or signed for a
// past month, would let the owner of that month change who has the say now.
func (h Head) extends(earlier Head) bool {
	if len(h.Governance) < len(earlier.Governance) {
		return false
	}
	for i, l := range earlier.Governance {
		if h.Governance[i] != l {
			return false
		}
	}
	for _, l := range h.Governance[len(earlier.Governance):] {
		if l.Version <= earlier.Version || l.SignOff.Month < earlier.SignOff.Month {
			return false
		}
	}
	return true
}
