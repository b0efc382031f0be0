package replica

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/event"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/platform"
	"github.com/sequoiacart/sequoiacart/pkg/standin"
)

// Guards against a VM that loses its bundle, goes back to a lower version, or applies a
// version before it was accepted, while the platform, peers or clocks fail. Each case starts
// with version 2 in force at all VMs.
func TestReplicaUnderFaults(t *testing.T) {
	tests := []struct {
		name string
		act  func(t *testing.T, cl *cluster, n *node)
		want bundle.Version
		// logged is the expected number of log lines of the event.
		event  event.Number
		logged int
	}{
		{"restarted while the platform is down, with a peer", func(_ *testing.T, cl *cluster, n *node) {
			cl.setPlatformDown(true)
			n.start(cl.clock)
			n.poll()
		}, 2, event.BundleInForce, 1},
		{"restarted while the platform is down, without a peer", func(_ *testing.T, cl *cluster, n *node) {
			cl.setPlatformDown(true)
			n.disconnected = true
			n.start(cl.clock)
			n.poll()
		}, 0, event.PlatformUnreachable, 1},
		{"restarted in an outage next to a peer that is behind and one that is not", func(t *testing.T, cl *cluster, n *node) {
			cl.nodes[1].disconnected = true
			cl.publish(t, 9)
			cl.nodes[2].poll()
			cl.setPlatformDown(true)
			cl.nodes[1].disconnected = false
			for cl.seed = range uint64(8) {
				n.start(cl.clock)
				n.poll()
				if got := n.events(event.BundleInForce); got != 1 {
					t.Errorf("seed %d: got %d versions in force one after the other, want 1", cl.seed, got)
				}
			}
		}, 3, event.BundleInForce, 1},
		{"restarted next to an old peer, platform up", func(t *testing.T, cl *cluster, n *node) {
			cl.publish(t, 9)
			n.start(cl.clock)
			n.replica.HandleAnnouncement(bundle.Announcement{From: cl.nodes[1].self, Ref: cl.nodes[1].replica.inForce})
			n.handleAnnouncements()
		}, 3, event.BundleInForce, 1},
		{"old peer announces an old version", func(t *testing.T, cl *cluster, n *node) {
			cl.publish(t, 9)
			n.poll()
			n.replica.HandleAnnouncement(bundle.Announcement{From: cl.nodes[1].self, Ref: cl.nodes[1].replica.inForce})
			n.handleAnnouncements()
		}, 3, event.BundleRejected, 0},
		{"old peer announces an old version in an outage", func(t *testing.T, cl *cluster, n *node) {
			cl.publish(t, 9)
			cl.nodes[1].disconnected = true
			n.poll()
			cl.setPlatformDown(true)
			cl.nodes[1].disconnected = false
			n.replica.HandleAnnouncement(bundle.Announcement{From: cl.nodes[1].self, Ref: cl.nodes[1].replica.inForce})
			n.handleAnnouncements()
			n.poll()
		}, 3, event.BundleRejected, 0},
		{"new head announced by a peer, platform down since", func(t *testing.T, cl *cluster, n *node) {
			cl.publish(t, 9)
			cl.nodes[1].poll()
			cl.setPlatformDown(true)
			n.handleAnnouncements()
		}, 3, event.BundleInForce, 2},
		{"signed but not rolled, announced by an operator", func(t *testing.T, cl *cluster, n *node) {
			n.replica.HandleAnnouncement(bundle.Announcement{Ref: cl.prepare(t, 9, true).Head})
			n.handleAnnouncements()
		}, 2, event.BundleRejected, 0},
		{"signed but not rolled, announced by a peer", func(t *testing.T, cl *cluster, n *node) {
			n.replica.HandleAnnouncement(bundle.Announcement{From: cl.nodes[1].self, Ref: cl.prepare(t, 9, true).Head})
			n.handleAnnouncements()
		}, 2, event.BundleRejected, 0},
		{"signed but not rolled, announced by an operator in an outage", func(t *testing.T, cl *cluster, n *node) {
			ref := cl.prepare(t, 9, true).Head
			n.poll()
			cl.setPlatformDown(true)
			n.replica.HandleAnnouncement(bundle.Announcement{Ref: ref})
			n.handleAnnouncements()
		}, 2, event.BundleRejected, 0},
		{"unsigned, announced by a peer in an outage", func(t *testing.T, cl *cluster, n *node) {
			row := cl.prepare(t, 9, false)
			head, err := cl.store.Head(context.Background(), row.ID)
			if err != nil {
				t.Fatal(err)
			}
			cl.nodes[1].poll()
			cl.nodes[1].replica.localBodies[row.ID] = bundle.EncodeHead(head)
			cl.setPlatformDown(true)
			n.replica.HandleAnnouncement(bundle.Announcement{From: cl.nodes[1].self, Ref: row.Head})
			n.handleAnnouncements()
		}, 2, event.BundleRejected, 1},
		{"head row names an unsigned head, polled twice", func(t *testing.T, cl *cluster, n *node) {
			row := cl.prepare(t, 9, false)
			forged, revision, err := cl.store.HeadRow(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			forged.Head, forged.Token = row.Head, "forged"
			if _, err := cl.store.WriteHeadRow(context.Background(), revision, forged); err != nil {
				t.Fatal(err)
			}
			n.poll()
			n.poll()
		}, 2, event.BundleRejected, 1},
		{"platform restored from an older state, polled twice", func(t *testing.T, cl *cluster, n *node) {
			older, _, err := cl.store.HeadRow(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			cl.publish(t, 9)
			n.poll()
			_, revision, err := cl.store.HeadRow(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			older.Token = "restored"
			if _, err := cl.store.WriteHeadRow(context.Background(), revision, older); err != nil {
				t.Fatal(err)
			}
			n.poll()
			n.poll()
		}, 3, event.BundleRejected, 1},
		{"another governance is pinned", func(_ *testing.T, cl *cluster, n *node) {
			cl.pin = bundle.DigestOf(nil)
			n.start(cl.clock)
			n.poll()
		}, 0, event.BundleRejected, 1},
		{"section with changed bytes at the platform, a peer has it", func(t *testing.T, cl *cluster, n *node) {
			cl.publish(t, 9)
			cl.nodes[1].poll()
			c, _ := cl.nodes[1].holder.InForce()
			name := platform.ObjectName("bundle-" + c.Head.Owners[0].Section)
			if err := cl.client.Objects().Put(context.Background(), name, []byte("{}")); err != nil {
				t.Fatal(err)
			}
			n.poll()
		}, 3, event.BundleInForce, 2},
		{"object store down, table up, a peer has it", func(t *testing.T, cl *cluster, n *node) {
			cl.publish(t, 9)
			cl.nodes[1].poll()
			cl.platform.SetFaults(standin.ObjectService, standin.Faults{Down: true})
			n.poll()
		}, 3, event.BundleInForce, 2},
		{"started after the governance changed twice, from a peer in an outage", func(t *testing.T, cl *cluster, n *node) {
			for i := range 2 {
				b := cl.withShare(t, owner.Share(8+i))
				b.Governance.Keys = maps.Clone(b.Governance.Keys)
				b.Governance.Keys[owner.ID(fmt.Sprintf("extra%d", i))] = b.Governance.Keys["owner000"]
				if _, err := cl.operator.Publish(context.Background(), b, cl.signOff); err != nil {
					t.Fatal(err)
				}
			}
			cl.nodes[1].poll()
			cl.setPlatformDown(true)
			n.start(cl.clock)
			n.poll()
		}, 4, event.BundleInForce, 1},
		{"three polls in one outage", func(_ *testing.T, cl *cluster, n *node) {
			cl.setPlatformDown(true)
			n.poll()
			n.poll()
			n.poll()
		}, 2, event.PlatformUnreachable, 1},
		{"clock a day behind when the month begins", func(t *testing.T, cl *cluster, n *node) {
			cl.clock.Advance(13 * clock.Hour) // It is December at the operator.
			cl.publish(t, 9)
			n.start(clock.NewManual(cl.clock.Now() - 24*clock.Hour))
			n.poll()
		}, 3, event.BundleAheadOfClock, 0},
		{"clock two months behind", func(_ *testing.T, cl *cluster, n *node) {
			n.start(clock.NewManual(cl.clock.Now() - 60*24*clock.Hour))
			n.poll()
		}, 2, event.BundleAheadOfClock, 1},
		{"clock two months ahead", func(_ *testing.T, cl *cluster, n *node) {
			n.start(clock.NewManual(cl.clock.Now() + 60*24*clock.Hour))
			n.poll()
		}, 2, event.BundleRejected, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cl := newCluster(t, 3, 2)
			cl.publish(t, 2)
			for _, n := range cl.nodes {
				n.poll()
			}
			for _, n := range cl.nodes {
				n.handleAnnouncements()
			}
			n := cl.nodes[0]
			tt.act(t, cl, n)
			if got := n.version(); got != tt.want {
				t.Errorf("in force: got version %d, want %d; log:\n%s", got, tt.want, n.log)
			}
			if got := n.events(tt.event); got != tt.logged {
				t.Errorf("%s: got %d lines, want %d; log:\n%s", tt.event, got, tt.logged, n.log)
			}
		})
	}
}

// Guards against a report that shows a candidate as ready although the VM could not fetch
// or decode it, on which an operator would roll it.
func TestReplicaReportsCandidates(t *testing.T) {
	cl := newCluster(t, 1, 2)
	good := cl.prepare(t, 2, false)
	bad := cl.prepare(t, 3, false)
	head, err := cl.store.Head(context.Background(), bad.ID)
	if err != nil {
		t.Fatal(err)
	}
	name := platform.ObjectName("bundle-" + head.Owners[0].Section)
	if err := cl.client.Objects().Put(context.Background(), name, []byte("{}")); err != nil {
		t.Fatal(err)
	}
	cl.nodes[0].poll()
	reports, err := cl.store.Reports(context.Background())
	if err != nil || len(reports) != 1 {
		t.Fatalf("got %d reports, %v, want 1", len(reports), err)
	}
	if got := reports[0].Status.InForce.Version; got != 1 {
		t.Errorf("got version %d in force, want 1", got)
	}
	for _, r := range reports[0].Status.Prepared {
		want := r.Candidate == good.ID
		if r.Ready != want || (!want && !strings.Contains(r.Reason, "another digest")) {
			t.Errorf("candidate %s: got ready %t, reason %q, want ready %t", r.Candidate, r.Ready, r.Reason, want)
		}
	}
	if got := len(reports[0].Status.Prepared); got != 2 {
		t.Errorf("got %d candidates, want 2", got)
	}
}

// Guards against a VM that goes back to a lower version or applies a version that was not
// accepted, under random orders of rolls with lost answers, outages, disconnections,
// restarts, clock jumps, announcements of prepared, unsigned and old heads, and polls. At the
// end, all VMs must have the same version.
func TestReplicaRandomSchedule(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 7))
		cl := newCluster(t, 4, 2)
		rolled := make(map[bundle.Digest]bool)
		var heads []bundle.Ref
		share := owner.Share(1)
		down := false
		highest := make([]bundle.Version, len(cl.nodes))
		for step := range 150 {
			i := random.IntN(len(cl.nodes))
			n := cl.nodes[i]
			switch random.IntN(10) {
			case 0:
				if down {
					break
				}
				share++
				row := cl.prepare(t, share, true)
				heads = append(heads, bundle.Ref{Version: row.Head.Version, Digest: row.ID})
				if random.IntN(3) == 0 {
					heads = append(heads, row.Head)
					break
				}
				cl.platform.SetFaults(standin.TableService, standin.Faults{LoseNext: random.IntN(3)})
				if _, err := cl.operator.Roll(context.Background(), row.ID); err != nil {
					t.Fatalf("seed %d step %d: roll: %v", seed, step, err)
				}
				cl.platform.SetFaults(standin.TableService, standin.Faults{})
				heads = append(heads, row.Head)
				rolled[row.Head.Digest] = true
			case 1:
				down = !down
				cl.setPlatformDown(down)
			case 2:
				n.disconnected = random.IntN(4) == 0
			case 3:
				n.start(clock.NewManual(cl.clock.Now() + clock.Millis(random.IntN(97)-48)*clock.Hour))
				highest[i] = 0
			case 4:
				// An operator may announce any head, also one that was never rolled.
				if len(heads) > 0 {
					n.replica.HandleAnnouncement(bundle.Announcement{Ref: heads[random.IntN(len(heads))]})
				}
			case 5:
				peer := cl.nodes[random.IntN(len(cl.nodes))]
				n.replica.HandleAnnouncement(bundle.Announcement{From: peer.self, Ref: peer.replica.inForce})
			case 6, 7:
				n.handleAnnouncements()
			default:
				n.poll()
			}
			for j, n := range cl.nodes {
				c, ok := n.holder.InForce()
				if c.Head.Version < highest[j] {
					t.Fatalf("seed %d step %d: VM %d: got version %d, want at least %d", seed, step, j, c.Head.Version, highest[j])
				}
				highest[j] = c.Head.Version
				if ok && c.Head.Version > 1 && !rolled[c.Digest] {
					t.Fatalf("seed %d step %d: VM %d: version %d is in force, but was not accepted", seed, step, j, c.Head.Version)
				}
			}
		}
		cl.setPlatformDown(false)
		row, _, err := cl.store.HeadRow(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		for j, n := range cl.nodes {
			n.poll()
			if got := n.replica.inForce; got != row.Head {
				t.Errorf("seed %d: VM %d: got %v, want %v", seed, j, got, row.Head)
			}
		}
	}
}
