package peer

import (
	"context"
	"net"
	"strings"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// fakeBundles returns the same sections to every request, also those whose bytes do not
// match their digest.
type fakeBundles struct {
	sections  bundle.Sections
	status    bundle.Status
	announced chan bundle.Announcement
}

func (f *fakeBundles) HandleAnnouncement(a bundle.Announcement)   { f.announced <- a }
func (f *fakeBundles) FetchLocal([]bundle.Digest) bundle.Sections { return f.sections }
func (f *fakeBundles) LocalBundleStatus() bundle.Status           { return f.status }

// Guards against announcements, sections and statuses of bundles that change in encoding,
// and against peers that send invalid digests or bytes that do not match their digest.
func TestBundleService(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	good, bad := bundle.DigestOf([]byte("good")), bundle.DigestOf([]byte("bad"))
	f := &fakeBundles{
		sections: bundle.Sections{good: []byte("good"), bad: []byte("other")},
		status: bundle.Status{InForce: bundle.Ref{Version: 7, Digest: good}, Prepared: []bundle.Readiness{
			{Candidate: bad, Version: 8, Reason: "why"}, {Candidate: good, Version: 8, Ready: true},
		}},
		announced: make(chan bundle.Announcement, 1),
	}
	server, err := NewServer(ServerConfig{Listener: listener, Bundles: f})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- server.Serve() }()
	client := NewClient(ClientConfig{Dialer: &net.Dialer{}})
	t.Cleanup(func() { client.Close(); server.Close(); <-done })
	ctx := context.Background()
	to := vm.VM{Incarnation: "b-1", PeerAddress: listener.Addr().String()}
	from := vm.VM{Incarnation: "a-1", PeerAddress: "a:1"}

	if err := client.Announce(ctx, to, bundle.Announcement{From: from, Ref: f.status.InForce, Body: []byte("good")}); err != nil {
		t.Fatal(err)
	}
	if got := <-f.announced; got.Ref != f.status.InForce || string(got.Body) != "good" || got.From.Incarnation != from.Incarnation || got.From.PeerAddress != from.PeerAddress {
		t.Errorf("announce: got %v, want %v from %v", got, f.status.InForce, from)
	}
	if err := client.Announce(ctx, to, bundle.Announcement{From: from, Ref: f.status.InForce, Body: []byte("other")}); err == nil {
		t.Error("announce with the bytes of another head: got no error, want one")
	}
	got, err := client.FetchBundle(ctx, to, []bundle.Digest{good, bad})
	if err != nil || len(got) != 1 || string(got[good]) != "good" {
		t.Errorf("fetch: got %v, %v, want the good section alone", got, err)
	}
	status, err := client.BundleStatus(ctx, to)
	if err != nil || status.InForce != f.status.InForce || len(status.Prepared) != 2 || status.Prepared[0] != f.status.Prepared[0] || status.Prepared[1] != f.status.Prepared[1] {
		t.Errorf("status: got %v, %v, want %v", status, err, f.status)
	}
	if err := client.Announce(ctx, to, bundle.Announcement{From: from, Ref: bundle.Ref{Version: 9, Digest: "no digest"}}); err == nil || !strings.Contains(err.Error(), "peer b-1") {
		t.Errorf("bad digest: got %v, want an error that names the peer", err)
	}
	oversized := FetchRequest{Digests: make([]string, MaxFetchDigests+1)}
	if err := client.call(ctx, to, "Bundle.Fetch", oversized, &FetchReply{}); err == nil || !strings.Contains(err.Error(), "more than 256") {
		t.Errorf("too many digests: got %v, want an error", err)
	}
}
