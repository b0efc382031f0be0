package replica

import (
	"context"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// fetchHead returns a head and all its sections. Objects that are not available locally
// come from the peer that announced the head, the platform or other peers.
func (r *Replica) fetchHead(ctx context.Context, a bundle.Announcement) (bundle.Head, bundle.Sections, error) {
	var from *vm.VM
	if a.FromPeer() {
		from = &a.From
	}
	body := a.Body
	if body == nil {
		got, err := r.fetchObjects(ctx, []bundle.Digest{a.Ref.Digest}, from)
		if err != nil {
			return bundle.Head{}, nil, errors.Annotate(err, "fetch head")
		}
		body = got[a.Ref.Digest]
	}
	head, err := bundle.DecodeHead(body)
	if err != nil {
		return bundle.Head{}, nil, errors.Trace(err)
	}
	sections, err := r.fetchObjects(ctx, head.SectionDigests(), from)
	return head, sections, errors.Annotate(err, "fetch sections")
}

// fetchObjects returns the bytes of all digests or an error. The announcing peer is asked
// first, since it has them. A VM that misses many objects also asks a peer first: one call to
// a peer replaces many reads of the platform, which all VMs share.
func (r *Replica) fetchObjects(ctx context.Context, digests []bundle.Digest, from *vm.VM) (bundle.Sections, error) {
	found := r.FetchLocal(digests)
	switch {
	case from != nil:
		r.fetchFromPeer(ctx, *from, digests, found)
	case len(missingDigests(digests, found)) > peerFirstThreshold:
		for _, p := range r.randomPeers(1) {
			r.fetchFromPeer(ctx, p, digests, found)
		}
	}
	err := r.fetchFromStore(ctx, digests, found)
	for _, p := range r.randomPeers(fallbackPeers) {
		r.fetchFromPeer(ctx, p, digests, found)
	}
	if missing := missingDigests(digests, found); len(missing) > 0 {
		return nil, errors.Annotatef(err, "%d of %d objects, first %s, found neither at the platform nor at peers", len(missing), len(digests), missing[0])
	}
	return found, nil
}

const (
	// peerFirstThreshold is the number of missing objects above which a peer is asked first.
	peerFirstThreshold = 16
	// maxConcurrentReads bounds the concurrent reads of objects.
	maxConcurrentReads = 8
)

// fetchFromStore adds the objects that the platform has. It stops at the first failure.
func (r *Replica) fetchFromStore(ctx context.Context, digests []bundle.Digest, found bundle.Sections) error {
	missing := missingDigests(digests, found)
	bodies := make([][]byte, len(missing))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxConcurrentReads)
	for i, d := range missing {
		g.Go(func() error {
			body, err := r.deps.Store.Object(ctx, d)
			bodies[i] = body
			return errors.Trace(err)
		})
	}
	err := g.Wait()
	for i, d := range missing {
		if bodies[i] != nil {
			found[d] = bodies[i]
		}
	}
	return err
}

func (r *Replica) fetchFromPeer(ctx context.Context, p vm.VM, digests []bundle.Digest, found bundle.Sections) {
	missing := missingDigests(digests, found)
	if len(missing) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, r.deps.PeerTimeout.Duration())
	defer cancel()
	bodies, err := r.deps.Peers.FetchBundle(ctx, p, missing)
	if err != nil {
		return
	}
	for _, d := range missing {
		if body, ok := bodies[d]; ok && bundle.DigestOf(body) == d {
			found[d] = body
		}
	}
}

func missingDigests(digests []bundle.Digest, found bundle.Sections) []bundle.Digest {
	var missing []bundle.Digest
	for _, d := range digests {
		if _, ok := found[d]; !ok {
			missing = append(missing, d)
		}
	}
	return missing
}
