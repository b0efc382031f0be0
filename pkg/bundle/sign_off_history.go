package bundle

import (
	"cmp"
	"slices"
)

// MaxSignOffs bounds the versions of which a VM knows the sign-off.
const MaxSignOffs = 32

// SignOffHistory holds the latest sign-offs, the highest version first. Two heads of one
// version stay side by side, so that a platform restored from an older state shows.
type SignOffHistory struct {
	signed []SignedVersion
}

// Add adds sign-offs that are not yet known and drops the lowest versions over the bound.
func (h *SignOffHistory) Add(signed ...SignedVersion) {
	for _, s := range signed {
		known := slices.ContainsFunc(h.signed, func(k SignedVersion) bool { return k.Ref == s.Ref })
		if known {
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
