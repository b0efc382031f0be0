package peer

import (
	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// BundleHandler serves the calls of peers about bundles.
type BundleHandler interface {
	// AnnounceHere hears that a head has come into force elsewhere. It does not wait.
	AnnounceHere(a bundle.Announcement)
	// FetchHere returns what is at hand of the heads and sections asked for.
	FetchHere(digests []bundle.Digest) bundle.Sections
	BundleStatusHere() bundle.Status
}

// MaxFetch bounds the digests of one call.
const MaxFetch = 256

// bundleService pushes heads between VMs and hands out sections.
type bundleService struct {
	handler BundleHandler
}

// Announce takes the news of a head.
func (b *bundleService) Announce(request AnnounceRequest, _ *Empty) error {
	r := bundle.Ref{Version: bundle.Version(request.Version), Digest: bundle.Digest(request.Head)}
	if !r.Digest.Valid() {
		return errors.NotValidf("announce bundle: head %q: digest", request.Head)
	}
	if request.Body != nil && bundle.DigestOf(request.Body) != r.Digest {
		return errors.NotValidf("announce bundle: body of head %s: digest", r.Digest)
	}
	b.handler.AnnounceHere(bundle.Announcement{
		From: vm.VM{Incarnation: vm.Incarnation(request.Incarnation), PeerAddress: request.PeerAddress},
		Ref:  r,
		Body: request.Body,
	})
	return nil
}

// Fetch hands out heads and sections.
func (b *bundleService) Fetch(request FetchRequest, reply *FetchReply) error {
	if len(request.Digests) > MaxFetch {
		return errors.NotValidf("fetch bundle: %d digests, more than %d: request", len(request.Digests), MaxFetch)
	}
	digests := make([]bundle.Digest, len(request.Digests))
	for i, d := range request.Digests {
		digests[i] = bundle.Digest(d)
	}
	reply.Bodies = make(map[string][]byte)
	for d, body := range b.handler.FetchHere(digests) {
		reply.Bodies[string(d)] = body
	}
	return nil
}

// Status tells the version in force and the candidates that were checked.
func (b *bundleService) Status(_ Empty, reply *StatusReply) error {
	s := b.handler.BundleStatusHere()
	*reply = StatusReply{Version: uint64(s.InForce.Version), Head: string(s.InForce.Digest)}
	for _, p := range s.Prepared {
		reply.Prepared = append(reply.Prepared, WireReadiness{Candidate: string(p.Candidate), Version: uint64(p.Version), Ready: p.Ready, Reason: p.Reason})
	}
	return nil
}
