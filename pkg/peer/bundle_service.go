package peer

import (
	"context"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// BundleHandler serves the calls of peers about bundles.
type BundleHandler interface {
	// AnnounceHere hears that a head has come into force elsewhere. It does not wait.
	AnnounceHere(from vm.VM, r bundle.Ref)
	// FetchHere returns what is at hand of the heads and sections asked for.
	FetchHere(digests []bundle.Digest) bundle.Sections
	BundleStatusHere() bundle.Status
}

// AnnounceRequest names a head that has come into force at a peer. An operator's
// announcement names no peer.
type AnnounceRequest struct {
	Incarnation string
	PeerAddress string
	Version     uint64
	Head        string
}

// FetchRequest asks for heads and sections by digest.
type FetchRequest struct{ Digests []string }

// FetchReply carries what the peer has.
type FetchReply struct{ Bodies map[string][]byte }

// StatusReply carries what a VM says of bundles.
type StatusReply struct {
	Version  uint64
	Head     string
	Prepared []WireReadiness
}

// WireReadiness is a candidate's readiness on the wire.
type WireReadiness struct {
	Candidate string
	Version   uint64
	Ready     bool
	Reason    string
}

// Empty is a request or reply without content.
type Empty struct{}

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
	b.handler.AnnounceHere(vm.VM{Incarnation: vm.Incarnation(request.Incarnation), PeerAddress: request.PeerAddress}, r)
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

// Announce tells a VM of a head that came into force at another, or at the platform.
func (c *Client) Announce(ctx context.Context, to, from vm.VM, r bundle.Ref) error {
	request := AnnounceRequest{Incarnation: string(from.Incarnation), PeerAddress: from.PeerAddress, Version: uint64(r.Version), Head: string(r.Digest)}
	return c.call(ctx, to, "Bundle.Announce", request, &Empty{})
}

// FetchBundle asks a VM for heads and sections. Bytes that do not fit their digest are
// left out.
func (c *Client) FetchBundle(ctx context.Context, to vm.VM, digests []bundle.Digest) (bundle.Sections, error) {
	found := make(bundle.Sections)
	for len(digests) > 0 {
		count := min(len(digests), MaxFetch)
		var request FetchRequest
		for _, d := range digests[:count] {
			request.Digests = append(request.Digests, string(d))
		}
		var reply FetchReply
		if err := c.call(ctx, to, "Bundle.Fetch", request, &reply); err != nil {
			return nil, errors.Trace(err)
		}
		for _, d := range digests[:count] {
			if body, ok := reply.Bodies[string(d)]; ok && bundle.DigestOf(body) == d {
				found[d] = body
			}
		}
		digests = digests[count:]
	}
	return found, nil
}

// BundleStatus asks a VM for its version in force and the candidates that it checked.
func (c *Client) BundleStatus(ctx context.Context, of vm.VM) (bundle.Status, error) {
	var reply StatusReply
	if err := c.call(ctx, of, "Bundle.Status", Empty{}, &reply); err != nil {
		return bundle.Status{}, errors.Trace(err)
	}
	s := bundle.Status{InForce: bundle.Ref{Version: bundle.Version(reply.Version), Digest: bundle.Digest(reply.Head)}}
	for _, p := range reply.Prepared {
		s.Prepared = append(s.Prepared, bundle.Readiness{Candidate: bundle.Digest(p.Candidate), Version: bundle.Version(p.Version), Ready: p.Ready, Reason: p.Reason})
	}
	return s, nil
}
