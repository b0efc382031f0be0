package peer

import (
	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// BundleHandler serves the calls of peers about bundles.
type BundleHandler interface {
	// HandleAnnouncement receives the announcement of a head in force elsewhere. It does not
	// block.
	HandleAnnouncement(a bundle.Announcement)
	// FetchLocal returns the requested heads and sections that are available locally.
	FetchLocal(digests []bundle.Digest) bundle.Sections
	// LocalBundleStatus returns the version in force and the checked candidates.
	LocalBundleStatus() bundle.Status
}

// MaxFetchDigests bounds the digests of one Fetch call.
const MaxFetchDigests = 256

// bundleService receives announcements of heads and serves heads and sections.
type bundleService struct {
	handler BundleHandler
}

// Announce receives the announcement of a head.
func (b *bundleService) Announce(request AnnounceRequest, _ *Empty) error {
	r := bundle.Ref{Version: bundle.Version(request.Version), Digest: bundle.Digest(request.Head)}
	if !r.Digest.Valid() {
		return errors.NotValidf("announce bundle: head %q: digest", request.Head)
	}
	if request.Body != nil && bundle.DigestOf(request.Body) != r.Digest {
		return errors.NotValidf("announce bundle: body of head %s: digest", r.Digest)
	}
	b.handler.HandleAnnouncement(bundle.Announcement{
		From: vm.VM{Incarnation: vm.Incarnation(request.Incarnation), PeerAddress: request.PeerAddress},
		Ref:  r,
		Body: request.Body,
	})
	return nil
}

// Fetch returns the requested heads and sections.
func (b *bundleService) Fetch(request FetchRequest, reply *FetchReply) error {
	if len(request.Digests) > MaxFetchDigests {
		return errors.NotValidf("fetch bundle: %d digests, more than %d: request", len(request.Digests), MaxFetchDigests)
	}
	digests := make([]bundle.Digest, len(request.Digests))
	for i, d := range request.Digests {
		digests[i] = bundle.Digest(d)
	}
	reply.Bodies = make(map[string][]byte)
	for d, body := range b.handler.FetchLocal(digests) {
		reply.Bodies[string(d)] = body
	}
	return nil
}

// Status returns the version in force and the candidates that were checked.
func (b *bundleService) Status(_ Empty, reply *StatusReply) error {
	s := b.handler.LocalBundleStatus()
	*reply = StatusReply{Version: uint64(s.InForce.Version), Head: string(s.InForce.Digest)}
	for _, p := range s.Prepared {
		reply.Prepared = append(reply.Prepared, WireReadiness{Candidate: string(p.Candidate), Version: uint64(p.Version), Ready: p.Ready, Reason: p.Reason})
	}
	return nil
}
