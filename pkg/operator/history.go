package operator

import (
	"context"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/platform"
)

// InForce returns the verified head and bundle in force.
func (o *Operator) InForce(ctx context.Context) (bundle.Candidate, error) {
	p, err := o.parent(ctx)
	if err != nil {
		return bundle.Candidate{}, errors.Trace(err)
	}
	if p.head == nil {
		return bundle.Candidate{}, errors.Annotate(platform.ErrNotFound, "no bundle has been rolled yet")
	}
	return o.verifyHead(ctx, p.head.Governance[0].Section, *p.head)
}

// Candidate returns the bundle of a prepared candidate, signed or not.
func (o *Operator) Candidate(ctx context.Context, id bundle.Digest) (*bundle.Bundle, error) {
	head, err := o.deps.Store.Head(ctx, id)
	if err != nil {
		return nil, errors.Trace(err)
	}
	sections, err := o.deps.Store.Sections(ctx, head)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return bundle.Assemble(head, sections)
}

// History returns up to count heads, from the one in force backwards.
func (o *Operator) History(ctx context.Context, count int) ([]bundle.Head, error) {
	p, err := o.parent(ctx)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var heads []bundle.Head
	for h := p.head; h != nil && len(heads) < count; {
		heads = append(heads, *h)
		if h.Parent == 0 {
			break
		}
		earlier, err := o.deps.Store.Head(ctx, h.ParentDigest)
		if err != nil {
			return heads, errors.Annotatef(err, "read parent of version %d", h.Version)
		}
		h = &earlier
	}
	return heads, nil
}
