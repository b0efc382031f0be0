package bundle

import (
	"cmp"
	"slices"
)

// MaxSignOffs bounds the sign-offs that a VM keeps.
const MaxSignOffs = 32

// SignOffHistory holds the latest sign-offs, the highest version first. It keeps two heads of
// the same version side by side, which shows that the platform was restored from an older
// state.
type SignOffHistory struct {
	signed []SignedVersion
}

// Add adds sign-offs that are not recorded yet, and drops the lowest versions beyond
// MaxSignOffs.
func (h *SignOffHistory) Add(signed ...SignedVersion) {
	for _, s := range signed {
		recorded := slices.ContainsFunc(h.signed, func(k SignedVersion) bool { return k.Ref == s.Ref })
		if recorded {
			continue
		}
		h.signed = append(h.signed, s)
	}
	slices.SortStableFunc(h.signed, func(a, b SignedVersion) int { return cmp.Compare(b.Ref.Version, a.Ref.Version) })
	h.signed = h.signed[:min(len(h.signed), MaxSignOffs)]
}

// All returns a copy of the sign-offs.
func (h *SignOffHistory) All() []SignedVersion {
	return slices.Clone(h.signed)
}
