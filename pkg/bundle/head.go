package bundle

import "slices"

// Head names all sections of a version. Owners are sorted by id.
type Head struct {
	Version      Version
	Parent       Version
	ParentDigest Digest
	Governance   []GovernanceLink
	Owners       []OwnerSection
	SignOff      SignOff
}

// Digest returns the digest of the head's canonical bytes.
func (h Head) Digest() Digest {
	return DigestOf(EncodeHead(h))
}

// Unsigned returns the head without the sign-offs of its version, as it was prepared.
func (h Head) Unsigned() Head {
	h.SignOff = SignOff{}
	if h.changesGovernance() {
		h.Governance = slices.Clone(h.Governance)
		h.Governance[len(h.Governance)-1].SignOff = SignOff{}
	}
	return h
}

// SectionDigests returns the digests of all sections that are needed to verify the head.
func (h Head) SectionDigests() []Digest {
	digests := make([]Digest, 0, len(h.Governance)+len(h.Owners))
	for _, l := range h.Governance {
		digests = append(digests, l.Section)
	}
	for _, o := range h.Owners {
		digests = append(digests, o.Section)
	}
	return digests
}

// changesGovernance reports whether this version replaces the governance section of its
// parent.
func (h Head) changesGovernance() bool {
	last := len(h.Governance) - 1
	return last > 0 && h.Governance[last].Version == h.Version
}

// governingLink returns the index of the governance link under which the head is signed,
// which is the one in force before this version.
func (h Head) governingLink() int {
	if h.changesGovernance() {
		return len(h.Governance) - 2
	}
	return len(h.Governance) - 1
}
