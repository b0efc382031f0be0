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

// world is a platform, an operator and VMs that call each other directly.
type world struct {
	platform *standin.Platform
	client   *platform.Client
	store    *bundlestore.Store
	operator *operator.Operator
	clock    *clock.Manual
	pin      bundle.Digest
	signOff  operator.SignOff
	owners   []owner.Owner
	nodes    []*node
	byAddr   map[string]*node
	// seed varies the random choices of the VMs that start.
	seed uint64
}

// node is a VM with its holder; a cut node reaches no peer and no peer reaches it.
type node struct {
	world   *world
	self    vm.VM
	replica *Replica
	holder  *bundle.Holder
	log     *bytes.Buffer
	cut     bool
}

// OfferBundle implements Control.
func (n *node) OfferBundle(_ context.Context, c bundle.Candidate) (bundle.Verdict, error) {
	return n.holder.Take(c), nil
}

// NoteSignOffs implements Control.
func (n *node) NoteSignOffs(_ context.Context, signed []bundle.SignedVersion) error {
	n.holder.NoteSignOffs(signed)
	return nil
}

func (n *node) reach(v vm.VM) (*Replica, error) {
	other, ok := n.world.byAddr[v.PeerAddress]
	if !ok || n.cut || other.cut {
		return nil, errors.New("cut")
	}
	return other.replica, nil
}

// Announce implements Peers.
func (n *node) Announce(_ context.Context, to vm.VM, a bundle.Announcement) error {
	other, err := n.reach(to)
	if err == nil {
		other.AnnounceHere(a)
	}
	return err
}

// FetchBundle implements Peers.
func (n *node) FetchBundle(_ context.Context, to vm.VM, digests []bundle.Digest) (bundle.Sections, error) {
	other, err := n.reach(to)
	if err != nil {
		return nil, err
	}
	return other.FetchHere(digests), nil
}

// BundleStatus implements Peers.
func (n *node) BundleStatus(_ context.Context, of vm.VM) (bundle.Status, error) {
	other, err := n.reach(of)
	if err != nil {
		return bundle.Status{}, err
	}
	return other.BundleStatusHere(), nil
}

// start gives the node a new life without any state.
func (n *node) start(c clock.Clock) {
	logger := logrus.New()
	n.log = &bytes.Buffer{}
	logger.SetOutput(n.log)
	n.holder = &bundle.Holder{}
	n.replica = New(Deps{
		Self: n.self, Pin: n.world.pin, Store: n.world.store, Peers: n, Control: n, Clock: c, Log: event.NewLog(logger),
		Every: clock.Second, PeerTimeout: 10 * clock.Second, PlatformTimeout: 10 * clock.Second, Random: rand.New(rand.NewPCG(n.world.seed, 1)),
		Known: func() []vm.VM {
			var known []vm.VM
			for _, other := range n.world.nodes {
				if other != n {
					known = append(known, other.self)
				}
			}
			return known
		},
	})
}

// heedAll handles the announcements that wait.
func (n *node) heedAll() {
	n.replica.announces.Wait()
	for len(n.replica.announced) > 0 {
		n.replica.heed(context.Background(), <-n.replica.announced)
	}
	n.replica.announces.Wait()
}

func (n *node) poll() {
	n.replica.follow(context.Background())
	n.replica.survey(context.Background())
	n.replica.announces.Wait()
}

func (n *node) version() bundle.Version {
	c, _ := n.holder.InForce()
	return c.Head.Version
}

func (n *node) events(number event.Number) int {
	return strings.Count(n.log.String(), string(number))
}

// newWorld has version 1 in force at the platform, signed in November, and the VMs not
// yet started on it.
func newWorld(t testing.TB, vms, owners int) *world {
	t.Helper()
	w := &world{platform: standin.NewPlatform(), byAddr: make(map[string]*node)}
	start, _ := time.Parse("2006-01-02 15", "2026-11-30 12")
	w.clock = clock.NewManual(clock.Millis(start.UnixMilli()))
	server := httptest.NewServer(w.platform.Handler())
	w.client = platform.NewClient(platform.ClientConfig{
		Address: strings.TrimPrefix(server.URL, "http://"), AttemptTimeout: 10 * clock.Second,
		InitialBackoff: 1, MaxBackoff: 1, CallsPerSecond: 100000,
	})
	t.Cleanup(func() { w.client.Close(); server.Close() })
	w.store = bundlestore.New(w.client.Table(), w.client.Objects())
	w.operator = operator.New(operator.Deps{Name: "ana", Store: w.store, Clock: w.clock})
	for i := range owners {
		w.owners = append(w.owners, owner.Owner{
			ID: owner.ID(fmt.Sprintf("owner%03d", i)), Share: 1,
			Classes: []owner.Class{{Name: "alert", Deadline: clock.Second}, {Name: "normal", Rank: 1, Deadline: clock.Minute}},
			Limits:  owner.Limits{TasksPerJob: 370, QueuedTasks: 10000},
			Tokens:  []owner.TokenDigest{owner.TokenDigest(bundle.DigestOf([]byte{byte(i)}))},
		})
	}
	var err error
	if w.pin, w.signOff, err = w.operator.Genesis(context.Background(), w.owners); err != nil {
		t.Fatal(err)
	}
	for i := range vms {
		n := &node{world: w, self: vm.VM{Incarnation: vm.NewIncarnation(vm.ID(fmt.Sprintf("vm%d", i)), "a"), PeerAddress: fmt.Sprintf("vm%d:1", i)}}
		w.nodes = append(w.nodes, n)
		w.byAddr[n.self.PeerAddress] = n
		n.start(w.clock)
	}
	return w
}

// changed returns the bundle in force with another share.
func (w *world) changed(t testing.TB, s owner.Share) *bundle.Bundle {
	t.Helper()
	c, err := w.operator.InForce(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	b := *c.Bundle
	b.Owners = append([]owner.Owner(nil), b.Owners...)
	b.Owners[0].Share = s
	return &b
}

// prepare returns a candidate that is signed or not.
func (w *world) prepare(t testing.TB, s owner.Share, signed bool) bundlestore.CandidateRow {
	t.Helper()
	row, err := w.operator.Prepare(context.Background(), w.changed(t, s))
	if err == nil && signed {
		sign := w.signOff
		sign.Candidate = row.ID
		row, err = w.operator.Sign(context.Background(), sign)
	}
	if err != nil {
		t.Fatal(err)
	}
	return row
}

// publish rolls a new version.
func (w *world) publish(t testing.TB, s owner.Share) bundle.Ref {
	t.Helper()
	row := w.prepare(t, s, true)
	if _, err := w.operator.Roll(context.Background(), row.ID); err != nil {
		t.Fatal(err)
	}
	return row.Head
}

func (w *world) platformDown(down bool) {
	w.platform.SetFaults(standin.TableService, standin.Faults{Down: down})
	w.platform.SetFaults(standin.ObjectService, standin.Faults{Down: down})
}
