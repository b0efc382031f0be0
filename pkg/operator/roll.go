package operator

import (
	"context"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/bundlestore"
	"github.com/sequoiacart/sequoiacart/pkg/platform"
)

// Roll puts a signed candidate into force by one compare-and-set of the head row. It returns
// the head row after that, which another operator may have written, also for a later version
// on top of the candidate. If the candidate's row no longer exists because it was rolled, only
// Head is set.
func (o *Operator) Roll(ctx context.Context, id bundle.Digest) (bundlestore.HeadRow, error) {
	row, _, err := o.deps.Store.Candidate(ctx, id)
	if errors.Is(err, platform.ErrNotFound) {
		return o.findRolled(ctx, id)
	}
	if err != nil {
		return bundlestore.HeadRow{}, errors.Trace(err)
	}
	head, err := o.deps.Store.Head(ctx, row.Head.Digest)
	if err != nil {
		return bundlestore.HeadRow{}, errors.Trace(err)
	}
	p, err := o.parent(ctx)
	if err != nil {
		return bundlestore.HeadRow{}, errors.Trace(err)
	}
	if p.row.Head.Version >= head.Version {
		return p.row, errors.Trace(o.checkRolled(ctx, head, p.row))
	}
	if _, err := o.verify(ctx, p, head); err != nil {
		return bundlestore.HeadRow{}, errors.Annotate(err, "check candidate")
	}
	if err := o.checkMonth(head.SignOff.Month); err != nil {
		return bundlestore.HeadRow{}, errors.Trace(err)
	}
	next := bundlestore.HeadRow{Head: row.Head, Operator: o.deps.Name, Token: newToken()}
	written, err := o.deps.Store.WriteHeadRow(ctx, p.revision, next)
	if err != nil {
		return bundlestore.HeadRow{}, errors.Annotatef(err, "roll version %d: cannot tell whether it took effect; run status, then roll again", head.Version)
	}
	if err := o.checkRolled(ctx, head, written); err != nil {
		return written, errors.Trace(err)
	}
	o.removeCandidates(ctx, head.Version)
	return written, nil
}

// Announcement returns the announcement of a head that was rolled.
func (o *Operator) Announcement(ctx context.Context, r bundle.Ref) (bundle.Announcement, error) {
	body, err := o.deps.Store.Object(ctx, r.Digest)
	return bundle.Announcement{Ref: r, Body: body}, errors.Trace(err)
}

// findRolled handles a candidate whose row no longer exists. Either the candidate was
// rolled, or its row was deleted because another one was rolled with the same version.
func (o *Operator) findRolled(ctx context.Context, id bundle.Digest) (bundlestore.HeadRow, error) {
	prepared, err := o.deps.Store.Head(ctx, id)
	if err != nil {
		return bundlestore.HeadRow{}, errors.Annotatef(err, "no candidate %s is prepared", id)
	}
	heads, err := o.History(ctx, maxSearchedVersions)
	if err != nil {
		return bundlestore.HeadRow{}, errors.Trace(err)
	}
	for _, h := range heads {
		if h.Unsigned().Digest() == id {
			return bundlestore.HeadRow{Head: bundle.Ref{Version: h.Version, Digest: h.Digest()}}, nil
		}
	}
	p, err := o.parent(ctx)
	if err != nil {
		return bundlestore.HeadRow{}, errors.Trace(err)
	}
	return p.row, conflictError(p.row, prepared)
}

// maxSearchedVersions bounds the search for a candidate that was rolled earlier.
const maxSearchedVersions = 50

// checkRolled checks, given the current head row, that the head is or was in force. Later
// versions on top of it do not count against it.
func (o *Operator) checkRolled(ctx context.Context, h bundle.Head, written bundlestore.HeadRow) error {
	ancestor := written.Head
	for ancestor.Version > h.Version {
		later, err := o.deps.Store.Head(ctx, ancestor.Digest)
		if err != nil {
			return errors.Annotatef(err, "find version %d among the ancestors of version %d", h.Version, ancestor.Version)
		}
		ancestor = bundle.Ref{Version: later.Parent, Digest: later.ParentDigest}
	}
	if ancestor.Digest == h.Digest() {
		return nil
	}
	return conflictError(written, h)
}

// removeCandidates deletes candidates that can no longer be rolled. It ignores failures, since
// nothing depends on the deletion and the next roll repeats it.
func (o *Operator) removeCandidates(ctx context.Context, rolled bundle.Version) {
	candidates, err := o.deps.Store.Candidates(ctx)
	if err != nil {
		return
	}
	for _, c := range candidates {
		if c.Head.Version <= rolled {
			_ = o.deps.Store.DeleteCandidate(ctx, c.ID)
		}
	}
}
