package bundle

import (
	"maps"
	"math/rand/v2"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/owner"
)

// threeVersions returns versions 1 and 2, signed by norte in November, and version 3, signed
// by sur in December.
func threeVersions() *history {
	h := &history{}
	b := testBundle(3)
	h.add(b, "norte", "2026-11")
	h.add(withShare(b, 2), "norte", "2026-11")
	h.add(withShare(b, 3), "sur", "2026-12")
	return h
}

// Guards against a bundle that comes into force without the sign-off of the owner of the
// month, with other bytes than were signed, or in place of a newer one.
func TestHolderRejects(t *testing.T) {
	base := testBundle(3)
	next := func(h *history) Head {
		head, sections := Compose(h.last(), withShare(base, 4))
		maps.Copy(h.sections, sections)
		return head
	}
	tests := []struct {
		name string
		// offer returns the head that is offered to a holder of version 3.
		offer func(h *history) Head
		want  Cause
	}{
		{"unsigned", next, Unsigned},
		{"signed by the owner of another month", func(h *history) Head {
			return next(h).Sign(keyOf("norte"), "norte", "2026-12")
		}, WrongOwner},
		{"signed with another owner's key", func(h *history) Head {
			return next(h).Sign(keyOf("norte"), "sur", "2026-12")
		}, WrongSignature},
		{"signed for a month before the one in force", func(h *history) Head {
			return next(h).Sign(keyOf("norte"), "norte", "2026-11")
		}, WrongMonth},
		{"signed for a month that the calendar does not cover", func(h *history) Head {
			return next(h).Sign(keyOf("sur"), "sur", "2028-01")
		}, WrongMonth},
		{"month changed after the signature", func(h *history) Head {
			head := next(h).Sign(keyOf("sur"), "sur", "2026-12")
			head.SignOff.Month = "2027-02"
			return head
		}, WrongSignature},
		{"section removed after the signature", func(h *history) Head {
			head := next(h).Sign(keyOf("sur"), "sur", "2026-12")
			head.Owners = head.Owners[:2]
			return head
		}, WrongSignature},
		{"section with changed bytes", func(h *history) Head {
			head := next(h).Sign(keyOf("sur"), "sur", "2026-12")
			h.sections[head.Owners[0].Section] = append([]byte(" "), h.sections[head.Owners[0].Section]...)
			return head
		}, ChangedBytes},
		{"missing section", func(h *history) Head {
			head := next(h).Sign(keyOf("sur"), "sur", "2026-12")
			delete(h.sections, head.Owners[0].Section)
			return head
		}, MissingSection},
		{"bad section, well signed", func(h *history) Head {
			head, sections := Compose(h.last(), withShare(base, -1))
			maps.Copy(h.sections, sections)
			return head.Sign(keyOf("sur"), "sur", "2026-12")
		}, Malformed},
		{"child of an older parent under a new number", func(h *history) Head {
			head, sections := Compose(&h.heads[1], withShare(base, 9))
			maps.Copy(h.sections, sections)
			head.Version, head.Parent = 4, 3
			return head.Sign(keyOf("sur"), "sur", "2026-12")
		}, OldParent},
		{"version that skips its parent", func(h *history) Head {
			head := next(h)
			head.Version = 9
			return head.Sign(keyOf("sur"), "sur", "2026-12")
		}, OldParent},
		{"older version", func(h *history) Head { return h.heads[1] }, OldVersion},
		{"the version in force again", func(h *history) Head { return h.heads[2] }, Replayed},
		{"other child of the same parent", func(h *history) Head {
			head, sections := Compose(&h.heads[1], withShare(base, 9))
			maps.Copy(h.sections, sections)
			return head.Sign(keyOf("sur"), "sur", "2026-12")
		}, OtherBytes},
		{"governance that starts elsewhere", func(h *history) Head {
			other := &history{sections: h.sections}
			for range 4 {
				other.add(withKeyOf(base, "extra", publicKeyOf("extra")), "norte", "2026-11")
			}
			return *other.last()
		}, OtherGovernance},
		{"governance signed with the key it introduces", func(h *history) Head {
			head, sections := Compose(h.last(), withKeyOf(base, "sur", publicKeyOf("thief")))
			maps.Copy(h.sections, sections)
			return head.Sign(keyOf("thief"), "sur", "2026-12")
		}, WrongSignature},
		{"governance added under a past version", func(h *history) Head {
			// norte, whose month has passed, assigns itself December.
			changed := withKeyOf(base, "norte", publicKeyOf("norte"))
			changed.Governance.Calendar = maps.Clone(changed.Governance.Calendar)
			changed.Governance.Calendar["2026-12"] = "norte"
			head, sections := Compose(h.last(), changed)
			maps.Copy(h.sections, sections)
			last := len(head.Governance) - 1
			head.Governance[last].Version = 2
			head.Governance[last].SignOff = SignOff{Month: "2026-11", Signer: "norte"}
			head.Governance[last].SignOff.Signature = sign(keyOf("norte"), head.linkMessage(last))
			return head.Sign(keyOf("norte"), "norte", "2026-12")
		}, OtherGovernance},
		{"governance before it left out of the chain", func(h *history) Head {
			h.add(withKeyOf(base, "extra", publicKeyOf("extra")), "sur", "2026-12")
			head := next(h)
			head.Governance = head.Governance[:1]
			signed := head.Sign(keyOf("sur"), "sur", "2026-12")
			return signed
		}, OtherGovernance},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := threeVersions()
			holder := &Holder{}
			for _, head := range h.heads {
				if v := verifyAndOffer(holder, h.pin(), head, h.sections); v != nil {
					if r, ok := v.(Rejected); ok {
						t.Fatalf("set-up: %v", r)
					}
				}
			}
			offered := tt.offer(h)
			for _, head := range h.heads[3:] {
				verifyAndOffer(holder, h.pin(), head, h.sections)
			}
			before, _ := holder.InForce()
			got, ok := verifyAndOffer(holder, h.pin(), offered, h.sections).(Rejected)
			if !ok || got.Cause != tt.want {
				t.Errorf("got %v, want cause %q", got, tt.want)
			}
			if after, _ := holder.InForce(); after.Digest != before.Digest {
				t.Errorf("in force: got version %d, want version %d", after.Head.Version, before.Head.Version)
			}
		})
	}
}

// Guards against an accepted bundle that some VMs reject. A VM without a bundle, one that
// missed versions, and one that has every version must all accept it, also across months and
// changes of governance.
func TestHolderAcceptsValidVersions(t *testing.T) {
	b := testBundle(3)
	h := &history{}
	h.add(b, "norte", "2026-11")
	h.add(withShare(b, 2), "norte", "2026-11")
	rekeyed := withKeyOf(b, "sur", publicKeyOf("sur2"))
	h.add(rekeyed, "sur", "2026-12") // Signed with the key that it replaces.
	next, sections := Compose(h.last(), withShare(rekeyed, 7))
	maps.Copy(h.sections, sections)
	h.heads = append(h.heads, next.Sign(keyOf("sur2"), "sur", "2026-12"))
	h.add(withShare(rekeyed, 8), "norte", "2027-01")
	for start := range h.heads {
		for step := 1; step <= len(h.heads); step++ {
			holder := &Holder{}
			for i := start; i < len(h.heads); i += step {
				if v, rejected := verifyAndOffer(holder, h.pin(), h.heads[i], h.sections).(Rejected); rejected {
					t.Errorf("from %d in steps of %d: got %v, want version %d in force", start+1, step, v, i+1)
				}
			}
		}
	}
}

// Guards against a holder that goes back to a lower version or applies one without a valid
// sign-off, under random orders of offers: signed and unsigned heads, other children of the
// same parent, old and new versions, at several VMs.
func TestHolderRandomOffers(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		h := &history{}
		b := testBundle(2)
		var offers []Head
		signed := make(map[Digest]bool)
		for v := range 8 {
			m, signer := Month("2026-11"), owner.ID("norte")
			if v >= 4 {
				m, signer = "2026-12", "sur"
			}
			if v > 0 {
				rival, sections := Compose(h.last(), withShare(b, 50))
				maps.Copy(h.sections, sections)
				offers = append(offers, rival, rival.Sign(keyOf("thief"), signer, m))
			}
			head := h.add(withShare(b, owner.Share(v+1)), signer, m)
			signed[head.Digest()] = true
			offers = append(offers, head, head.Unsigned())
		}
		// Verify is stateless, so each offer is verified once for all VMs.
		var candidates []Candidate
		for _, o := range offers {
			if c, err := Verify(h.pin(), o, h.sections); err == nil {
				candidates = append(candidates, c)
			}
		}
		if got, want := len(candidates), len(h.heads); got != want {
			t.Fatalf("seed %d: got %d offers with a valid sign-off, want %d", seed, got, want)
		}
		holders := make([]Holder, 4)
		for step := range 100 {
			holder := &holders[random.IntN(len(holders))]
			before, _ := holder.InForce()
			holder.Offer(candidates[random.IntN(len(candidates))])
			after, ok := holder.InForce()
			if after.Head.Version < before.Head.Version {
				t.Fatalf("seed %d step %d: got version %d, want at least %d", seed, step, after.Head.Version, before.Head.Version)
			}
			if ok && !signed[after.Digest] {
				t.Fatalf("seed %d step %d: version %d is in force without a valid sign-off", seed, step, after.Head.Version)
			}
		}
	}
}
