package peer

import (
	"context"

	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// Announce announces to a VM a head that came into force at another VM or the platform.
func (c *Client) Announce(ctx context.Context, to vm.VM, a bundle.Announcement) error {
	request := AnnounceRequest{
		Incarnation: string(a.From.Incarnation),
		PeerAddress: a.From.PeerAddress,
		Version:     uint64(a.Ref.Version),
		Head:        string(a.Ref.Digest),
		Body:        a.Body,
	}
	return c.call(ctx, to, "Bundle.Announce", request, &Empty{})
}

// FetchBundle fetches heads and sections from a VM. Bytes that do not match their digest
// are left out.
func (c *Client) FetchBundle(ctx context.Context, to vm.VM, digests []bundle.Digest) (bundle.Sections, error) {
	found := make(bundle.Sections)
	for len(digests) > 0 {
		count := min(len(digests), MaxFetchDigests)
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

// BundleStatus returns a VM's version in force and the candidates that it checked.
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
