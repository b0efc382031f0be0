package replica

import (
	"context"
	"maps"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/platform"
)

// lineage maps each head that was in force here or read from the platform to its parent. A
// parent of version 0 ends the chain.
type lineage map[bundle.Digest]bundle.Ref

func parentOf(h bundle.Head) bundle.Ref {
	return bundle.Ref{Version: h.Parent, Digest: h.ParentDigest}
}

// firstGap walks back from the version in force and returns the first head whose parent is
// unknown, if there is one among the latest MaxSignOffs versions. Otherwise it drops all
// older entries.
func (l lineage) firstGap(inForce bundle.Ref) (bundle.Ref, bool) {
	walked := make(lineage)
	at := inForce
	for range bundle.MaxSignOffs {
		parent, known := l[at.Digest]
		if !known {
			l.trim(walked)
			return at, at.Version != 0
		}
		walked[at.Digest] = parent
		at = parent
	}
	clear(l)
	maps.Copy(l, walked)
	return bundle.Ref{}, false
}

// trim drops the entries beyond the gap once the map grows too large, which happens when the
// head at the gap cannot be read for a long time.
func (l lineage) trim(walked lineage) {
	if len(l) > 4*bundle.MaxSignOffs {
		clear(l)
		maps.Copy(l, walked)
	}
}

// readSignOff reads one earlier head and passes its sign-off to control, since a VM has no
// earlier sign-offs after a start and misses some while it is disconnected. The head is
// trusted by its digest, which the chain of parents of a verified head contains. Reading one
// head per call bounds the cost, since a head has 12 KB with 120 owners.
func (r *Replica) readSignOff(ctx context.Context) error {
	r.mu.Lock()
	missing, ok := r.parents.firstGap(r.sharedInForce)
	r.mu.Unlock()
	if !ok {
		return nil
	}
	head, err := r.deps.Store.Head(ctx, missing.Digest)
	if errors.Is(err, platform.ErrUnavailable) || ctx.Err() != nil {
		return errors.Trace(err)
	}
	if err != nil {
		// An object that is missing or corrupt ends the chain; otherwise it would be
		// requested again each time.
		r.setParent(missing, bundle.Ref{})
		return errors.Trace(err)
	}
	signed := bundle.SignedVersion{Ref: missing, Month: head.SignOff.Month, Signer: head.SignOff.Signer}
	if err := r.deps.Control.RecordSignOffs(ctx, []bundle.SignedVersion{signed}); err != nil {
		return errors.Trace(err)
	}
	r.setParent(missing, parentOf(head))
	return nil
}

func (r *Replica) setParent(of, parent bundle.Ref) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.parents[of.Digest] = parent
}
