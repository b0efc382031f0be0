package operator

import (
	"context"
	"slices"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/bundlestore"
)

// Prepare uploads a bundle as the child of the head in force. VMs fetch and check it.
func (o *Operator) Prepare(ctx context.Context, b *bundle.Bundle) (bundlestore.CandidateRow, error) {
	if err := b.Check(); err != nil {
		return bundlestore.CandidateRow{}, errors.Annotate(err, "check bundle")
	}
	if err := b.Governance.CheckCoverage(o.validMonths()[0]); err != nil {
		return bundlestore.CandidateRow{}, errors.Annotate(err, "check bundle")
	}
	p, err := o.parent(ctx)
	if err != nil {
		return bundlestore.CandidateRow{}, errors.Trace(err)
	}
	head, sections := bundle.Compose(p.head, b)
	if p.head != nil && slices.Equal(head.Owners, p.head.Owners) && slices.Equal(head.Governance, p.head.Governance) {
		return bundlestore.CandidateRow{}, errors.NotValidf("prepare bundle: nothing differs from version %d, which is in force: bundle", p.head.Version)
	}
	if err := o.upload(ctx, p, head, sections); err != nil {
		return bundlestore.CandidateRow{}, errors.Trace(err)
	}
	id := head.Digest()
	row := bundlestore.CandidateRow{ID: id, Head: bundle.Ref{Version: head.Version, Digest: id}, Operator: o.deps.Name, Token: newToken()}
	// An existing row names the same content and is returned, whichever operator wrote it.
	return o.deps.Store.WriteCandidate(ctx, 0, row)
}

// upload writes the head and the sections that the parent does not have. Rows that name them
// are written only afterwards.
func (o *Operator) upload(ctx context.Context, p parent, h bundle.Head, sections bundle.Sections) error {
	var present []bundle.Digest
	if p.head != nil {
		present = p.head.SectionDigests()
	}
	for d, body := range sections {
		if slices.Contains(present, d) {
			continue
		}
		if _, err := o.deps.Store.PutObject(ctx, body); err != nil {
			return errors.Annotate(err, "upload section")
		}
	}
	_, err := o.deps.Store.PutObject(ctx, bundle.EncodeHead(h))
	return errors.Annotate(err, "upload head")
}
