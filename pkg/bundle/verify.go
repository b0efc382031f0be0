package bundle

import (
	"crypto/ed25519"
	"encoding/hex"
	"fmt"

	"github.com/sequoiacart/sequoiacart/pkg/owner"
)

// Verify checks a head on its own: its structure, its chain of governance sections from the
// pinned one, its sign-off and the bytes of its sections. It uses no clock and no earlier
// version, so the result is the same at every VM.
func Verify(pin Digest, h Head, s Sections) (Candidate, error) {
	b, governances, err := h.assemble(s)
	if err != nil {
		return Candidate{}, err
	}
	if err := h.checkChain(pin, governances); err != nil {
		return Candidate{}, err
	}
	if err := h.checkSignOff(governances[h.governingLink()], h.SignOff, h.message()); err != nil {
		return Candidate{}, err
	}
	if last := h.Governance[len(h.Governance)-1]; last.SignOff.Month > h.SignOff.Month {
		return Candidate{}, h.reject(WrongMonth, "governance of version %d was signed for %s, but the head for %s", last.Version, last.SignOff.Month, h.SignOff.Month)
	}
	return Candidate{Head: h, Digest: h.Digest(), Bundle: b}, nil
}

// checkChain checks that the chain of governance sections starts with the pinned one and that
// each later one is signed under the one before it.
func (h Head) checkChain(pin Digest, governances []Governance) error {
	if h.Governance[0].Section != pin {
		return h.reject(OtherGovernance, "the chain starts with %s, but the settings pin %q", h.Governance[0].Section, pin)
	}
	for i := 1; i < len(h.Governance); i++ {
		if err := h.checkSignOff(governances[i-1], h.Governance[i].SignOff, h.linkMessage(i)); err != nil {
			return err
		}
		if h.Governance[i].SignOff.Month < h.Governance[i-1].SignOff.Month {
			return h.reject(WrongMonth, "governance of version %d was signed for a month before its predecessor", h.Governance[i].Version)
		}
	}
	return nil
}

// Assemble checks the structure of a head and the bytes of its sections, and returns the
// bundle. It does not check sign-offs, so that an unsigned candidate can be checked too.
func Assemble(h Head, s Sections) (*Bundle, error) {
	b, _, err := h.assemble(s)
	return b, err
}

func (h Head) assemble(s Sections) (*Bundle, []Governance, error) {
	if err := h.checkStructure(); err != nil {
		return nil, nil, err
	}
	governances, err := h.governances(s)
	if err != nil {
		return nil, nil, err
	}
	b := &Bundle{Version: h.Version, Governance: governances[len(governances)-1]}
	for _, named := range h.Owners {
		o, err := h.ownerSection(s, named)
		if err != nil {
			return nil, nil, err
		}
		b.Owners = append(b.Owners, o)
	}
	if err := b.Check(); err != nil {
		return nil, nil, h.reject(Malformed, "%v", err)
	}
	return b, governances, nil
}

func (h Head) ownerSection(s Sections, named OwnerSection) (owner.Owner, error) {
	body, err := h.section(s, named.Section)
	if err != nil {
		return owner.Owner{}, err
	}
	o, err := DecodeOwner(body)
	if err != nil {
		return owner.Owner{}, h.reject(Malformed, "section of %s: %v", named.Owner, err)
	}
	if o.ID != named.Owner {
		return owner.Owner{}, h.reject(Malformed, "section of %s describes %s", named.Owner, o.ID)
	}
	return o, nil
}

func (h Head) checkStructure() error {
	if h.Version == 0 || h.Version != h.Parent+1 {
		return h.reject(OldParent, "version %d does not follow its parent %d", h.Version, h.Parent)
	}
	if (h.Parent == 0) != (h.ParentDigest == "") {
		return h.reject(OldParent, "parent digest %q does not match parent %d", h.ParentDigest, h.Parent)
	}
	if len(h.Governance) == 0 {
		return h.reject(OtherGovernance, "the head names no governance section")
	}
	for i, l := range h.Governance {
		if l.Version > h.Version || (i > 0 && l.Version <= h.Governance[i-1].Version) {
			return h.reject(OtherGovernance, "governance versions are out of order at %d", l.Version)
		}
	}
	for i := 1; i < len(h.Owners); i++ {
		if h.Owners[i].Owner <= h.Owners[i-1].Owner {
			return h.reject(Malformed, "owners are out of order at %s", h.Owners[i].Owner)
		}
	}
	return nil
}

func (h Head) governances(s Sections) ([]Governance, error) {
	governances := make([]Governance, len(h.Governance))
	for i, l := range h.Governance {
		body, err := h.section(s, l.Section)
		if err != nil {
			return nil, err
		}
		g, err := DecodeGovernance(body)
		if err == nil {
			err = g.Check()
		}
		if err != nil {
			return nil, h.reject(Malformed, "governance section of version %d: %v", l.Version, err)
		}
		governances[i] = g
	}
	return governances, nil
}

func (h Head) section(s Sections, d Digest) ([]byte, error) {
	body, ok := s[d]
	if !ok {
		return nil, h.reject(MissingSection, "section %s is missing", d)
	}
	if DigestOf(body) != d {
		return nil, h.reject(ChangedBytes, "the bytes of section %s have another digest", d)
	}
	return body, nil
}

// checkSignOff checks a sign-off against the governance that was in force before it.
func (h Head) checkSignOff(g Governance, s SignOff, message []byte) error {
	if s.Signature == "" {
		return h.reject(Unsigned, "no sign-off; the owner of the month has to sign it")
	}
	required, ok := g.Calendar[s.Month]
	if !ok {
		return h.reject(WrongMonth, "the calendar does not cover the signed month %q", s.Month)
	}
	if s.Signer != required {
		return h.reject(WrongOwner, "signed by %s, but %s belongs to %s", s.Signer, s.Month, required)
	}
	key, err := g.Keys[required].decode()
	if err != nil {
		return h.reject(Malformed, "%v", err)
	}
	signature, err := hex.DecodeString(string(s.Signature))
	canonical := Signature(hex.EncodeToString(signature)) == s.Signature
	if err != nil || !canonical || !ed25519.Verify(key, message, signature) {
		return h.reject(WrongSignature, "the signature of %s does not match the signed bytes", s.Signer)
	}
	return nil
}

func (h Head) reject(c Cause, format string, args ...any) error {
	return Rejected{Version: h.Version, Cause: c, Reason: fmt.Sprintf(format, args...)}
}

// message returns the bytes that the sign-off of a head covers: the digest of the unsigned
// head, the parent version, the month and the signer.
func (h Head) message() []byte {
	return fmt.Appendf(nil, "sequoiacart bundle\n%s\n%d\n%s\n%s", h.Unsigned().Digest(), h.Parent, h.SignOff.Month, h.SignOff.Signer)
}

// linkMessage returns the bytes that the sign-off of a governance section covers.
func (h Head) linkMessage(i int) []byte {
	l := h.Governance[i]
	return fmt.Appendf(nil, "sequoiacart governance\n%s\n%s\n%d\n%s\n%s", l.Section, h.Governance[i-1].Section, l.Version, l.SignOff.Month, l.SignOff.Signer)
}

// Sign returns the head with an owner's sign-off for a month, which covers the head and a
// governance section that it introduces.
func (h Head) Sign(key ed25519.PrivateKey, signer owner.ID, m Month) Head {
	h = h.Unsigned()
	if h.changesGovernance() {
		last := len(h.Governance) - 1
		h.Governance[last].SignOff = SignOff{Month: m, Signer: signer}
		h.Governance[last].SignOff.Signature = sign(key, h.linkMessage(last))
	}
	h.SignOff = SignOff{Month: m, Signer: signer}
	h.SignOff.Signature = sign(key, h.message())
	return h
}

func sign(key ed25519.PrivateKey, message []byte) Signature {
	return Signature(hex.EncodeToString(ed25519.Sign(key, message)))
}
