package replica

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/bundlestore"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/event"
	"github.com/sequoiacart/sequoiacart/pkg/operator"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/platform"
	"github.com/sequoiacart/sequoiacart/pkg/standin"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// cluster is a stand-in platform, an operator and VMs that call each other directly.
type cluster struct {
	platform       *standin.Platform
	client         *platform.Client
	store          *bundlestore.Store
	operator       *operator.Operator
	clock          *clock.Manual
	pin            bundle.Digest
	signOff        operator.SignOff
	owners         []owner.Owner
	nodes          []*node
	nodesByAddress map[string]*node
	// seed seeds the random choices of VMs that are started.
	seed uint64
}

// node is a VM with its holder. A disconnected node neither reaches peers nor is reached.
type node struct {
	cluster      *cluster
	self         vm.VM
	replica      *Replica
	holder       *bundle.Holder
	log          *bytes.Buffer
	disconnected bool
}

// OfferBundle implements Control.
func (n *node) OfferBundle(_ context.Context, c bundle.Candidate) (bundle.Verdict, error) {
	return n.holder.Offer(c), nil
}

// RecordSignOffs implements Control.
func (n *node) RecordSignOffs(_ context.Context, signed []bundle.SignedVersion) error {
	n.holder.RecordSignOffs(signed)
	return nil
}

func (n *node) peerReplica(v vm.VM) (*Replica, error) {
	other, ok := n.cluster.nodesByAddress[v.PeerAddress]
	if !ok || n.disconnected || other.disconnected {
		return nil, errors.New("disconnected")
	}
	return other.replica, nil
}

// Announce implements Peers.
func (n *node) Announce(_ context.Context, to vm.VM, a bundle.Announcement) error {
	other, err := n.peerReplica(to)
	if err == nil {
		other.HandleAnnouncement(a)
	}
	return err
}

// FetchBundle implements Peers.
func (n *node) FetchBundle(_ context.Context, to vm.VM, digests []bundle.Digest) (bundle.Sections, error) {
	other, err := n.peerReplica(to)
	if err != nil {
		return nil, err
	}
	return other.FetchLocal(digests), nil
}

// BundleStatus implements Peers.
func (n *node) BundleStatus(_ context.Context, of vm.VM) (bundle.Status, error) {
	other, err := n.peerReplica(of)
	if err != nil {
		return bundle.Status{}, err
	}
	return other.LocalBundleStatus(), nil
}

// start starts or restarts the node without any state.
func (n *node) start(c clock.Clock) {
	logger := logrus.New()
	n.log = &bytes.Buffer{}
	logger.SetOutput(n.log)
	n.holder = &bundle.Holder{}
	n.replica = New(Deps{
		Self: n.self, Pin: n.cluster.pin, Store: n.cluster.store, Peers: n, Control: n, Clock: c, Log: event.NewLog(logger),
		PollInterval: clock.Second, PeerTimeout: 10 * clock.Second, PlatformTimeout: 10 * clock.Second, Random: rand.New(rand.NewPCG(n.cluster.seed, 1)),
		KnownPeers: func() []vm.VM {
			var peers []vm.VM
			for _, other := range n.cluster.nodes {
				if other != n {
					peers = append(peers, other.self)
				}
			}
			return peers
		},
	})
}

// handleAnnouncements handles the queued announcements.
func (n *node) handleAnnouncements() {
	n.replica.announceCalls.Wait()
	for len(n.replica.announcements) > 0 {
		n.replica.adoptAnnounced(context.Background(), <-n.replica.announcements)
	}
	n.replica.announceCalls.Wait()
}

func (n *node) poll() {
	n.replica.pollHead(context.Background())
	n.replica.maintain(context.Background())
	n.replica.announceCalls.Wait()
}

func (n *node) version() bundle.Version {
	c, _ := n.holder.InForce()
	return c.Head.Version
}

func (n *node) events(number event.Number) int {
	return strings.Count(n.log.String(), string(number))
}

// newCluster returns a cluster with version 1 in force at the platform, signed in November,
// and VMs that have not polled it yet.
func newCluster(t testing.TB, vms, owners int) *cluster {
	t.Helper()
	cl := &cluster{platform: standin.NewPlatform(), nodesByAddress: make(map[string]*node)}
	start, _ := time.Parse("2006-01-02 15", "2026-11-30 12")
	cl.clock = clock.NewManual(clock.Millis(start.UnixMilli()))
	server := httptest.NewServer(cl.platform.Handler())
	cl.client = platform.NewClient(platform.ClientConfig{
		Address: strings.TrimPrefix(server.URL, "http://"), AttemptTimeout: 10 * clock.Second,
		InitialBackoff: 1, MaxBackoff: 1, CallsPerSecond: 100000,
	})
	t.Cleanup(func() { cl.client.Close(); server.Close() })
	cl.store = bundlestore.New(cl.client.Table(), cl.client.Objects())
	cl.operator = operator.New(operator.Deps{Name: "ana", Store: cl.store, Clock: cl.clock})
	for i := range owners {
		cl.owners = append(cl.owners, owner.Owner{
			ID: owner.ID(fmt.Sprintf("owner%03d", i)), Share: 1,
			Classes: []owner.Class{{Name: "alert", Deadline: clock.Second}, {Name: "normal", Rank: 1, Deadline: clock.Minute}},
			Limits:  owner.Limits{TasksPerJob: 370, QueuedTasks: 10000},
			Tokens:  []owner.TokenDigest{owner.TokenDigest(bundle.DigestOf([]byte{byte(i)}))},
		})
	}
	var err error
	if cl.pin, cl.signOff, err = cl.operator.Bootstrap(context.Background(), cl.owners); err != nil {
		t.Fatal(err)
	}
	for i := range vms {
		n := &node{cluster: cl, self: vm.VM{Incarnation: vm.NewIncarnation(vm.ID(fmt.Sprintf("vm%d", i)), "a"), PeerAddress: fmt.Sprintf("vm%d:1", i)}}
		cl.nodes = append(cl.nodes, n)
		cl.nodesByAddress[n.self.PeerAddress] = n
		n.start(cl.clock)
	}
	return cl
}

// withShare returns the bundle in force with another share for the first owner.
func (cl *cluster) withShare(t testing.TB, s owner.Share) *bundle.Bundle {
	t.Helper()
	c, err := cl.operator.InForce(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	b := *c.Bundle
	b.Owners = append([]owner.Owner(nil), b.Owners...)
	b.Owners[0].Share = s
	return &b
}

// prepare prepares a candidate, and signs it if signed is true.
func (cl *cluster) prepare(t testing.TB, s owner.Share, signed bool) bundlestore.CandidateRow {
	t.Helper()
	row, err := cl.operator.Prepare(context.Background(), cl.withShare(t, s))
	if err == nil && signed {
		sign := cl.signOff
		sign.Candidate = row.ID
		row, err = cl.operator.Sign(context.Background(), sign)
	}
	if err != nil {
		t.Fatal(err)
	}
	return row
}

// publish prepares, signs and rolls a new version.
func (cl *cluster) publish(t testing.TB, s owner.Share) bundle.Ref {
	t.Helper()
	row := cl.prepare(t, s, true)
	if _, err := cl.operator.Roll(context.Background(), row.ID); err != nil {
		t.Fatal(err)
	}
	return row.Head
}

func (cl *cluster) setPlatformDown(down bool) {
	cl.platform.SetFaults(standin.TableService, standin.Faults{Down: down})
	cl.platform.SetFaults(standin.ObjectService, standin.Faults{Down: down})
}
