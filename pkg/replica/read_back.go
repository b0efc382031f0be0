package replica

import (
	"context"
	"maps"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/platform"
)

// lineage tells the parent of each head that was taken or read back; a parent of version 0
// ends it.
type lineage map[bundle.Digest]bundle.Ref

func parentOf(h bundle.Head) bundle.Ref {
	return bundle.Ref{Version: h.Parent, Digest: h.ParentDigest}
}

// gap returns the latest version before one in force of which the head is not known. It
// drops what lies beyond the versions that are remembered.
func (l lineage) gap(inForce bundle.Ref) (bundle.Ref, bool) {
	walked := make(lineage)
	at := inForce
	for range bundle.MaxSignOffs {
		parent, known := l[at.Digest]
		if !known {
			l.bound(walked)
			return at, at.Version != 0
		}
		walked[at.Digest] = parent
		at = parent
	}
	clear(l)
	maps.Copy(l, walked)
	return bundle.Ref{}, false
}

// bound gives up what lies behind a gap that stays open for long.
func (l lineage) bound(walked lineage) {
	if len(l) > 4*bundle.MaxSignOffs {
		clear(l)
		maps.Copy(l, walked)
	}
}

// readSignOff reads one head before the one in force and hands its sign-off to control: a
// VM that starts knows none of them, and one that was cut off missed some. It is trusted
// by its digest, which a head that was verified leads back to. One head a survey bounds
// the cost, since a head has 12 KB with 120 owners.
func (r *Replica) readSignOff(ctx context.Context) error {
	r.mu.Lock()
	missing, ok := r.parents.gap(r.current)
	r.mu.Unlock()
	if !ok {
		return nil
	}
	head, err := r.deps.Store.Head(ctx, missing.Digest)
	if errors.Is(err, platform.ErrUnavailable) || ctx.Err() != nil {
		return errors.Trace(err)
	}
	if err != nil {
		// An object that is gone or broken ends the lineage, or else every survey would ask
		// for it again.
		r.noteParent(missing, bundle.Ref{})
		return errors.Trace(err)
	}
	signed := bundle.SignedVersion{Ref: missing, Month: head.SignOff.Month, Signer: head.SignOff.Signer}
	if err := r.deps.Control.RecordSignOffs(ctx, []bundle.SignedVersion{signed}); err != nil {
		return errors.Trace(err)
	}
	r.noteParent(missing, parentOf(head))
	return nil
}

func (r *Replica) noteParent(of, parent bundle.Ref) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.parents[of.Digest] = parent
}
