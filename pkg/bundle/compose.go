package bundle

import (
	"slices"
	"strings"

	"github.com/sequoiacart/sequoiacart/pkg/owner"
)

// Compose returns the unsigned head that follows a parent, and the sections that it names.
// With a nil parent it returns version 1.
func Compose(parent *Head, b *Bundle) (Head, Sections) {
	sections := make(Sections)
	h := Head{Version: 1}
	if parent != nil {
		h = Head{Version: parent.Version + 1, Parent: parent.Version, ParentDigest: parent.Digest(), Governance: slices.Clone(parent.Governance)}
	}
	governance := sections.add(EncodeGovernance(b.Governance))
	if last := len(h.Governance) - 1; last < 0 || h.Governance[last].Section != governance {
		h.Governance = append(h.Governance, GovernanceLink{Version: h.Version, Section: governance})
	}
	owners := slices.Clone(b.Owners)
	slices.SortFunc(owners, func(x, y owner.Owner) int { return strings.Compare(string(x.ID), string(y.ID)) })
	for _, o := range owners {
		h.Owners = append(h.Owners, OwnerSection{Owner: o.ID, Section: sections.add(EncodeOwner(o))})
	}
	return h, sections
}

func (s Sections) add(body []byte) Digest {
	d := DigestOf(body)
	s[d] = body
	return d
}
