package operator

import (
	"context"
	"crypto/ed25519"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/bundlestore"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/platform"
)

// SignOff is the input to Sign: an owner's approval of a candidate.
type SignOff struct {
	Candidate bundle.Digest
	Signer    owner.ID
	Key       ed25519.PrivateKey
	// Month is the month to sign for; empty means the current month.
	Month bundle.Month
}

// Sign writes the sign-off of an owner. It writes nothing unless VMs would accept it.
func (o *Operator) Sign(ctx context.Context, s SignOff) (bundlestore.CandidateRow, error) {
	if s.Month == "" {
		s.Month = o.validMonths()[0]
	}
	if err := o.checkMonth(s.Month); err != nil {
		return bundlestore.CandidateRow{}, errors.Trace(err)
	}
	row, revision, err := o.deps.Store.Candidate(ctx, s.Candidate)
	if errors.Is(err, platform.ErrNotFound) {
		return bundlestore.CandidateRow{}, o.missingCandidateError(ctx, s.Candidate)
	}
	if err != nil {
		return bundlestore.CandidateRow{}, errors.Trace(err)
	}
	head, err := o.deps.Store.Head(ctx, row.ID)
	if err != nil {
		return bundlestore.CandidateRow{}, errors.Trace(err)
	}
	signed := head.Sign(s.Key, s.Signer, s.Month)
	p, err := o.parent(ctx)
	if err != nil {
		return bundlestore.CandidateRow{}, errors.Trace(err)
	}
	if _, err := o.verify(ctx, p, signed); err != nil {
		return bundlestore.CandidateRow{}, errors.Annotate(err, "check sign-off")
	}
	if _, err := o.deps.Store.PutObject(ctx, bundle.EncodeHead(signed)); err != nil {
		return bundlestore.CandidateRow{}, errors.Annotate(err, "upload signed head")
	}
	next := bundlestore.CandidateRow{ID: row.ID, Head: bundle.Ref{Version: signed.Version, Digest: signed.Digest()}, Operator: o.deps.Name, Token: newToken()}
	written, err := o.deps.Store.WriteCandidate(ctx, revision, next)
	if errors.Is(err, platform.ErrNotFound) {
		return bundlestore.CandidateRow{}, o.missingCandidateError(ctx, s.Candidate)
	}
	if err != nil {
		return bundlestore.CandidateRow{}, errors.Trace(err)
	}
	if written.Head != next.Head {
		return written, errors.Annotatef(ErrConflict, "sign: %q has changed candidate %s meanwhile; sign again", written.Operator, row.ID)
	}
	return written, nil
}

// missingCandidateError returns the error for a candidate whose row no longer exists.
func (o *Operator) missingCandidateError(ctx context.Context, id bundle.Digest) error {
	row, err := o.findRolled(ctx, id)
	if err != nil {
		return errors.Annotate(err, "sign")
	}
	return errors.Annotatef(ErrConflict, "sign: candidate %s was rolled as version %d already", id, row.Head.Version)
}

// verify makes the same checks as a VM that has the parent in force.
func (o *Operator) verify(ctx context.Context, p parent, h bundle.Head) (bundle.Candidate, error) {
	if err := p.checkChild(h); err != nil {
		return bundle.Candidate{}, err
	}
	var holder bundle.Holder
	pin := h.Governance[0].Section
	if p.head != nil {
		pin = p.head.Governance[0].Section
		current, err := o.verifyHead(ctx, pin, *p.head)
		if err != nil {
			return bundle.Candidate{}, errors.Annotate(err, "head in force")
		}
		holder.Offer(current)
	}
	c, err := o.verifyHead(ctx, pin, h)
	if err != nil {
		return bundle.Candidate{}, errors.Trace(err)
	}
	if r, ok := holder.Offer(c).(bundle.Rejected); ok {
		return bundle.Candidate{}, r
	}
	return c, nil
}

func (o *Operator) verifyHead(ctx context.Context, pin bundle.Digest, h bundle.Head) (bundle.Candidate, error) {
	sections, err := o.deps.Store.Sections(ctx, h)
	if err != nil {
		return bundle.Candidate{}, errors.Trace(err)
	}
	return bundle.Verify(pin, h, sections)
}
