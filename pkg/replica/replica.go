// Package replica keeps a VM's copy of the bundle up to date. It polls the platform, receives
// announcements of new heads from peers, fetches missing objects from either, and reports
// its status.
package replica

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/sequoiacart/sequoiacart/pkg/bundle"
	"github.com/sequoiacart/sequoiacart/pkg/bundlestore"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/event"
	"github.com/sequoiacart/sequoiacart/pkg/platform"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// Peers calls other entry VMs about bundles.
type Peers interface {
	Announce(ctx context.Context, to vm.VM, a bundle.Announcement) error
	FetchBundle(ctx context.Context, to vm.VM, digests []bundle.Digest) (bundle.Sections, error)
	BundleStatus(ctx context.Context, of vm.VM) (bundle.Status, error)
}

// Control decides which verified candidate comes into force, and stores sign-offs.
type Control interface {
	OfferBundle(ctx context.Context, c bundle.Candidate) (bundle.Verdict, error)
	RecordSignOffs(ctx context.Context, signed []bundle.SignedVersion) error
}

// Deps holds the dependencies and settings of a replica.
type Deps struct {
	Self vm.VM
	// Pin is the digest of the first governance section.
	Pin     bundle.Digest
	Store   *bundlestore.Store
	Peers   Peers
	Control Control
	// KnownPeers returns the peers in this VM's roster, without itself.
	KnownPeers func() []vm.VM
	Clock      clock.Clock
	Log        *event.Log
	// PollInterval is the mean interval between polls.
	PollInterval clock.Millis
	// PeerTimeout bounds a call to a peer, and the read of the head row that confirms a
	// peer's announcement.
	PeerTimeout clock.Millis
	// PlatformTimeout bounds a read of the head row with its retries. Five times as much
	// bounds a call of maintain: the candidate checks, the report and the read of a sign-off.
	PlatformTimeout clock.Millis
	Random          *rand.Rand
}

// Replica is a VM's copy of the bundle. One goroutine polls the head and handles
// announcements, another checks candidates and reports. Peers read the local copy.
type Replica struct {
	deps          Deps
	announcements chan bundle.Announcement
	announceCalls sync.WaitGroup
	// inForce, rejected and outage belong to the goroutine that polls the head.
	inForce  bundle.Ref
	rejected map[bundle.Digest]bool
	outage   bool
	// reported belongs to the goroutine that checks candidates.
	reported *bundle.Status

	mu sync.Mutex
	// localBodies holds the head in force and its sections.
	localBodies bundle.Sections
	// prepared holds the check results by candidate.
	prepared map[bundle.Digest]preparedCandidate
	// sharedInForce is the copy of inForce for other goroutines.
	sharedInForce bundle.Ref
	parents       lineage
	random        *rand.Rand
}

const (
	// announcementQueueSize bounds the announcements that peers can queue. The next poll finds
	// the head of a dropped announcement.
	announcementQueueSize = 16
	// fanOut is the number of peers to which a VM announces a new head. Each of them
	// announces it to as many, so 8 reach a few hundred VMs in three steps.
	fanOut = 8
	// fallbackPeers bounds the peers that are asked when the platform fails or misses an object.
	fallbackPeers = 3
	// fallbackPeersAtStart bounds the peers that a VM without a bundle asks for their status.
	// It is higher, so that a VM that restarts during an outage does not get an old version.
	fallbackPeersAtStart = 16
	// maxRejected bounds the set of heads that were logged as rejected.
	maxRejected = 64
)

// New returns a replica without a bundle.
func New(d Deps) *Replica {
	return &Replica{
		deps:          d,
		announcements: make(chan bundle.Announcement, announcementQueueSize),
		rejected:      make(map[bundle.Digest]bool),
		localBodies:   make(bundle.Sections),
		prepared:      make(map[bundle.Digest]preparedCandidate),
		parents:       make(lineage),
		random:        d.Random,
	}
}

// Run polls the head, checks candidates and reports until the context ends.
func (r *Replica) Run(ctx context.Context) error {
	defer r.announceCalls.Wait()
	var maintenance sync.WaitGroup
	defer maintenance.Wait()
	maintenance.Go(func() { r.maintainPeriodically(ctx) })
	r.pollHead(ctx)
	next := r.deps.Clock.After(r.randomInterval())
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case a := <-r.announcements:
			r.adoptAnnounced(ctx, a)
		case <-next:
			r.pollHead(ctx)
			next = r.deps.Clock.After(r.randomInterval())
		}
	}
}

// maintainPeriodically runs on a goroutine of its own, so that a slow platform that delays
// checks and reports does not delay announcements.
func (r *Replica) maintainPeriodically(ctx context.Context) {
	for {
		r.maintain(ctx)
		select {
		case <-ctx.Done():
			return
		case <-r.deps.Clock.After(r.randomInterval()):
		}
	}
}

// randomInterval returns a random poll interval between 0.5 and 1.5 times the mean, which
// spreads the polls of VMs that started together.
func (r *Replica) randomInterval() clock.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.deps.PollInterval/2 + clock.Millis(r.random.Int64N(int64(r.deps.PollInterval)+1))
}

// pollHead polls the platform for a new head, or peers while the platform is unavailable.
func (r *Replica) pollHead(ctx context.Context) {
	row, err := r.readHeadRow(ctx, r.deps.PlatformTimeout)
	switch {
	case err == nil:
		r.recordPlatformSuccess()
		r.adopt(ctx, bundle.Announcement{Ref: row.Head})
	case errors.Is(err, platform.ErrNotFound):
		r.recordPlatformSuccess()
	default:
		r.recordPlatformFailure(err)
		r.pollPeers(ctx)
	}
}

func (r *Replica) readHeadRow(ctx context.Context, limit clock.Millis) (bundlestore.HeadRow, error) {
	ctx, cancel := context.WithTimeout(ctx, limit.Duration())
	defer cancel()
	row, _, err := r.deps.Store.HeadRow(ctx)
	return row, err
}

// adoptAnnounced adopts an announced head if the head row confirms that it was accepted. If
// the row names another head, that one is adopted instead. While the row cannot be read, the
// announcement of a peer that has the head in force is trusted, and an operator's is not.
func (r *Replica) adoptAnnounced(ctx context.Context, a bundle.Announcement) {
	if a.Ref.Version <= r.inForce.Version {
		return
	}
	limit := r.deps.PeerTimeout
	if !a.FromPeer() {
		// Only the platform can confirm it, so allow for a slow one.
		limit = r.deps.PlatformTimeout
	}
	row, err := r.readHeadRow(ctx, limit)
	switch {
	case err == nil && row.Head == a.Ref:
		r.adopt(ctx, a)
	case err == nil:
		r.adopt(ctx, bundle.Announcement{From: a.From, Ref: row.Head})
	case errors.Is(err, platform.ErrNotFound):
	case a.FromPeer():
		r.adopt(ctx, a)
	}
}

// pollPeers looks for a newer head at a few peers. A VM without a bundle asks more of them,
// and the highest version is tried first, so that a restart does not bring an old version into
// force.
func (r *Replica) pollPeers(ctx context.Context) {
	count := fallbackPeers
	if r.inForce.Version == 0 {
		count = fallbackPeersAtStart
	}
	var heads []bundle.Announcement
	for _, p := range r.randomPeers(count) {
		s, err := r.peerStatus(ctx, p)
		if err == nil && s.InForce.Version > r.inForce.Version {
			heads = append(heads, bundle.Announcement{From: p, Ref: s.InForce})
		}
	}
	slices.SortFunc(heads, func(a, b bundle.Announcement) int { return cmp.Compare(b.Ref.Version, a.Ref.Version) })
	for _, a := range heads {
		if a.Ref.Version > r.inForce.Version {
			r.adopt(ctx, a)
		}
	}
}

func (r *Replica) peerStatus(ctx context.Context, p vm.VM) (bundle.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, r.deps.PeerTimeout.Duration())
	defer cancel()
	return r.deps.Peers.BundleStatus(ctx, p)
}

// randomPeers returns up to count peers in random order.
func (r *Replica) randomPeers(count int) []vm.VM {
	peers := append([]vm.VM(nil), r.deps.KnownPeers()...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(count, len(peers))]
}

// adopt fetches and verifies a head and offers it to control.
func (r *Replica) adopt(ctx context.Context, a bundle.Announcement) {
	ref := a.Ref
	if ref == r.inForce || r.rejected[ref.Digest] {
		return
	}
	if ref.Version <= r.inForce.Version {
		r.reject(ref, bundle.Rejected{Version: ref.Version, Cause: bundle.OldVersion, Reason: "version " + r.inForce.Version.String() + " is in force"})
		return
	}
	head, sections, err := r.fetchHead(ctx, a)
	if err != nil {
		r.deps.Log.Warn(event.BundleIncomplete, "bundle cannot be fetched yet", logrus.Fields{"version": ref.Version, "head": ref.Digest, "error": err})
		return
	}
	c, err := bundle.Verify(r.deps.Pin, head, sections)
	if err != nil {
		r.reject(ref, err)
		return
	}
	verdict, err := r.deps.Control.OfferBundle(ctx, c)
	if err != nil {
		// The mailbox is full or the daemon is stopping; the next poll offers it again.
		return
	}
	switch v := verdict.(type) {
	case bundle.InForce:
		r.recordInForce(ctx, v.Candidate, sections)
	case bundle.Rejected:
		r.reject(ref, v)
	}
}

// reject logs a rejected head once.
func (r *Replica) reject(ref bundle.Ref, err error) {
	if r.rejected[ref.Digest] {
		return
	}
	if len(r.rejected) >= maxRejected {
		clear(r.rejected)
	}
	r.rejected[ref.Digest] = true
	r.deps.Log.Warn(event.BundleRejected, "bundle rejected", logrus.Fields{"version": ref.Version, "head": ref.Digest, "error": err})
}

func (r *Replica) recordInForce(ctx context.Context, c bundle.Candidate, sections bundle.Sections) {
	r.inForce = c.Ref()
	r.deps.Log.Info(event.BundleInForce, "bundle in force", logrus.Fields{"version": c.Head.Version, "head": c.Digest, "month": c.Head.SignOff.Month, "signer": c.Head.SignOff.Signer})
	if latest := bundle.MonthOf(r.deps.Clock.Now() + clockTolerance); c.Head.SignOff.Month > latest {
		r.deps.Log.Warn(event.BundleAheadOfClock, "bundle is signed for a month ahead of this VM's clock", logrus.Fields{"month": c.Head.SignOff.Month})
	}
	bodies := bundle.Sections{c.Digest: bundle.EncodeHead(c.Head)}
	for _, d := range c.Head.SectionDigests() {
		bodies[d] = sections[d]
	}
	r.mu.Lock()
	r.localBodies, r.sharedInForce = bodies, r.inForce
	r.parents[c.Digest] = parentOf(c.Head)
	r.mu.Unlock()
	r.announce(ctx, bodies[c.Digest])
}

// clockTolerance is how far this VM's clock may be behind before a head that is signed for a
// later month is logged as a warning.
const clockTolerance = 36 * clock.Hour

// announce announces the head in force to peers, each on a goroutine of its own, so that a
// peer that hangs delays no other.
func (r *Replica) announce(ctx context.Context, head []byte) {
	announcement := bundle.Announcement{From: r.deps.Self, Ref: r.inForce, Body: head}
	for _, p := range r.randomPeers(fanOut) {
		r.announceCalls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, r.deps.PeerTimeout.Duration())
			defer cancel()
			// A peer that misses the announcement finds the head by polling.
			_ = r.deps.Peers.Announce(ctx, p, announcement)
		})
	}
}

func (r *Replica) recordPlatformSuccess() {
	if r.outage {
		r.outage = false
		r.deps.Log.Info(event.PlatformRecovered, "platform answers again", logrus.Fields{})
	}
}

func (r *Replica) recordPlatformFailure(err error) {
	if r.outage || errors.Is(err, context.Canceled) {
		return
	}
	r.outage = true
	r.deps.Log.Warn(event.PlatformUnreachable, "platform out of reach; the bundle in force stays", logrus.Fields{"version": r.inForce.Version, "error": err})
}
