package bundle

import "fmt"

// Holder holds the candidate in force at a VM and decides which one replaces it. It uses no
// clock, so that a head that was accepted in the month it was signed for is valid at every
// VM regardless of the VM's clock. Months and versions never decrease.
type Holder struct {
	inForce  Candidate
	signOffs SignOffHistory
}

// InForce returns the candidate in force.
func (h *Holder) InForce() (Candidate, bool) {
	return h.inForce, h.inForce.Bundle != nil
}

// SignOffs returns the recorded sign-offs, the highest version first.
func (h *Holder) SignOffs() []SignedVersion { return h.signOffs.All() }

// RecordSignOffs records sign-offs of earlier versions that were read from the platform.
func (h *Holder) RecordSignOffs(signed []SignedVersion) { h.signOffs.Add(signed...) }

// Offer puts a verified candidate into force, or returns the reason for its rejection.
func (h *Holder) Offer(c Candidate) Verdict {
	if h.inForce.Bundle != nil {
		if cause, reason := h.rejection(c); cause != "" {
			return Rejected{Version: c.Head.Version, Cause: cause, Reason: reason}
		}
	}
	h.inForce = c
	h.signOffs.Add(c.SignedVersion())
	return InForce{Candidate: c}
}

// rejection returns why a candidate may not replace the one in force, or an empty cause.
func (h *Holder) rejection(c Candidate) (Cause, string) {
	current, offered := h.inForce.Head, c.Head
	switch {
	case c.Digest == h.inForce.Digest:
		return Replayed, "it is the version in force"
	case offered.Version < current.Version:
		return OldVersion, fmt.Sprintf("version %d is in force", current.Version)
	case offered.Version == current.Version:
		return OtherBytes, fmt.Sprintf("head %s is in force, %s was offered", h.inForce.Digest, c.Digest)
	case offered.Parent == current.Version && offered.ParentDigest != h.inForce.Digest:
		return OldParent, fmt.Sprintf("its parent is head %s, but %s is in force", offered.ParentDigest, h.inForce.Digest)
	case !offered.extends(current):
		return OtherGovernance, fmt.Sprintf("its chain does not continue the one of version %d", current.Version)
	case offered.SignOff.Month < current.SignOff.Month:
		return WrongMonth, fmt.Sprintf("signed for %s, but version %d was signed for %s", offered.SignOff.Month, current.Version, current.SignOff.Month)
	}
	return "", ""
}

// extends reports whether the governance chain of h starts with the chain of an earlier head
// and continues only with later links. A link with a past version, or signed for a past
// month, would let the owner of that month change who may sign now.
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
