package bundle

import (
	"crypto/ed25519"
	"encoding/hex"
	"fmt"
	"maps"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
)

// keyOf returns a private key derived from the owner's name.
func keyOf(o owner.ID) ed25519.PrivateKey {
	seed := make([]byte, ed25519.SeedSize)
	copy(seed, o)
	return ed25519.NewKeyFromSeed(seed)
}

func publicKeyOf(o owner.ID) PublicKey {
	return PublicKey(hex.EncodeToString(keyOf(o).Public().(ed25519.PublicKey)))
}

// testBundle returns a bundle with the given number of owners. The first two, norte and sur,
// alternate in the calendar.
func testBundle(owners int) *Bundle {
	b := &Bundle{Governance: Governance{
		Calendar: Calendar{"2026-11": "norte", "2026-12": "sur", "2027-01": "norte", "2027-02": "sur"},
		Keys:     map[owner.ID]PublicKey{"norte": publicKeyOf("norte"), "sur": publicKeyOf("sur")},
	}}
	for i := range owners {
		id := owner.ID(fmt.Sprintf("owner%03d", i))
		switch i {
		case 0:
			id = "norte"
		case 1:
			id = "sur"
		}
		b.Owners = append(b.Owners, owner.Owner{
			ID:      id,
			Share:   1,
			Classes: []owner.Class{{Name: "alert", Rank: 0, Deadline: clock.Second}, {Name: "normal", Rank: 1, Deadline: clock.Minute}},
			Limits:  owner.Limits{TasksPerJob: 370, QueuedTasks: 10000},
			Tokens:  []owner.TokenDigest{owner.TokenDigest(DigestOf([]byte(id)))},
		})
	}
	return b
}

// withShare returns a bundle that differs in one owner's share.
func withShare(b *Bundle, s owner.Share) *Bundle {
	changed := *b
	changed.Owners = append([]owner.Owner(nil), b.Owners...)
	changed.Owners[0].Share = s
	return &changed
}

// withKeyOf returns a bundle whose governance gives an owner another key.
func withKeyOf(b *Bundle, o owner.ID, k PublicKey) *Bundle {
	changed := *b
	changed.Governance.Keys = maps.Clone(b.Governance.Keys)
	changed.Governance.Keys[o] = k
	return &changed
}

// history is a sequence of signed heads, each the parent of the next, with all sections.
type history struct {
	heads    []Head
	sections Sections
}

func (h *history) last() *Head {
	if len(h.heads) == 0 {
		return nil
	}
	return &h.heads[len(h.heads)-1]
}

func (h *history) add(b *Bundle, signer owner.ID, m Month) Head {
	next, sections := Compose(h.last(), b)
	if h.sections == nil {
		h.sections = make(Sections)
	}
	maps.Copy(h.sections, sections)
	next = next.Sign(keyOf(signer), signer, m)
	h.heads = append(h.heads, next)
	return next
}

func (h *history) pin() Digest {
	return h.heads[0].Governance[0].Section
}

// verifyAndOffer verifies a head with its sections and offers it to the holder.
func verifyAndOffer(holder *Holder, pin Digest, h Head, s Sections) Verdict {
	c, err := Verify(pin, h, s)
	if err != nil {
		return err.(Rejected)
	}
	return holder.Offer(c)
}
