// Package replica keeps a VM's copy of the bundle up to date: it polls the platform, hears
// of new heads from peers, fetches what it lacks from either, and reports.
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

// Control decides which verified candidate comes into force, and remembers sign-offs.
type Control interface {
	OfferBundle(ctx context.Context, c bundle.Candidate) (bundle.Verdict, error)
	NoteSignOffs(ctx context.Context, signed []bundle.SignedVersion) error
}

// Deps holds what a replica is made of.
type Deps struct {
	Self vm.VM
	// Pin is the digest of the first governance section.
	Pin     bundle.Digest
	Store   *bundlestore.Store
	Peers   Peers
	Control Control
	// Known returns the peers that this VM knows of, without itself.
	Known func() []vm.VM
	Clock clock.Clock
	Log   *event.Log
	// Every is the mean span between polls.
	Every clock.Millis
	// PeerTimeout bounds a call to a peer, and the look at the platform that confirms a
	// peer's announcement.
	PeerTimeout clock.Millis
	// PlatformTimeout bounds a read of the head row with its retries. Twice as much bounds
	// the checks and the report of one poll, so that announcements are not held up long.
	PlatformTimeout clock.Millis
	Random          *rand.Rand
}

// Replica is a VM's copy of the bundle. One goroutine follows the head, another checks
// candidates and reports; peers read what is at hand.
type Replica struct {
	deps      Deps
	announced chan bundle.Announcement
	announces sync.WaitGroup
	// inForce, rejected and outage belong to the goroutine that follows the head.
	inForce  bundle.Ref
	rejected map[bundle.Digest]bool
	outage   bool
	// reported belongs to the goroutine that checks candidates.
	reported *bundle.Status

	mu sync.Mutex
	// held is the head in force and its sections.
	held bundle.Sections
	// prepared is what was found of each candidate.
	prepared map[bundle.Digest]preparedCandidate
	current  bundle.Ref
	parents  lineage
	random   *rand.Rand
}

const (
	// pendingAnnouncements bounds what peers can queue; what is dropped comes with the next poll.
	pendingAnnouncements = 16
	// fanOut is the number of peers that a VM tells of a new head. Each of them tells as
	// many, so 8 reach a few hundred VMs in three steps.
	fanOut = 8
	// sources bounds the peers that are asked for what the platform does not give.
	sources = 3
	// firstSources is the same for a VM without a bundle.
	firstSources = 16
	// rememberedRejections bounds the memory of heads that were logged as rejected.
	rememberedRejections = 64
)

// New returns a replica without a bundle.
func New(d Deps) *Replica {
	return &Replica{
		deps:      d,
		announced: make(chan bundle.Announcement, pendingAnnouncements),
		rejected:  make(map[bundle.Digest]bool),
		held:      make(bundle.Sections),
		prepared:  make(map[bundle.Digest]preparedCandidate),
		parents:   make(lineage),
		random:    d.Random,
	}
}

// Run follows the head, checks candidates and reports until the context ends.
func (r *Replica) Run(ctx context.Context) error {
	defer r.announces.Wait()
	var survey sync.WaitGroup
	defer survey.Wait()
	survey.Go(func() { r.surveyAtIntervals(ctx) })
	r.follow(ctx)
	next := r.deps.Clock.After(r.jitter())
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case a := <-r.announced:
			r.heed(ctx, a)
		case <-next:
			r.follow(ctx)
			next = r.deps.Clock.After(r.jitter())
		}
	}
}

// surveyAtIntervals is apart from following the head, so that a slow platform that holds
// up checks and reports holds up no announcement.
func (r *Replica) surveyAtIntervals(ctx context.Context) {
	for {
		r.survey(ctx)
		select {
		case <-ctx.Done():
			return
		case <-r.deps.Clock.After(r.jitter()):
		}
	}
}

// jitter spreads the polls of VMs that started together over half to one and a half times
// the mean span.
func (r *Replica) jitter() clock.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.deps.Every/2 + clock.Millis(r.random.Int64N(int64(r.deps.Every)+1))
}

// follow looks for a new head at the platform, or at peers while the platform is out of
// reach.
func (r *Replica) follow(ctx context.Context) {
	row, err := r.headRow(ctx, r.deps.PlatformTimeout)
	switch {
	case err == nil:
		r.platformAnswers()
		r.adopt(ctx, bundle.Announcement{Ref: row.Head})
	case errors.Is(err, platform.ErrAbsent):
		r.platformAnswers()
	default:
		r.platformFails(err)
		r.askPeers(ctx)
	}
}

func (r *Replica) headRow(ctx context.Context, limit clock.Millis) (bundlestore.HeadRow, error) {
	ctx, cancel := context.WithTimeout(ctx, limit.Duration())
	defer cancel()
	row, _, err := r.deps.Store.HeadRow(ctx)
	return row, err
}

// heed follows an announcement. The head row says whether the head was accepted; while it
// cannot be read, a peer that has the head in force is believed, and an operator is not.
func (r *Replica) heed(ctx context.Context, a bundle.Announcement) {
	if a.Ref.Version <= r.inForce.Version {
		return
	}
	limit := r.deps.PeerTimeout
	if !a.FromPeer() {
		// Nobody else can confirm it, so a slow platform is waited for.
		limit = r.deps.PlatformTimeout
	}
	row, err := r.headRow(ctx, limit)
	switch {
	case err == nil && row.Head == a.Ref:
		r.adopt(ctx, a)
	case err == nil:
		r.adopt(ctx, bundle.Announcement{From: a.From, Ref: row.Head})
	case errors.Is(err, platform.ErrAbsent):
	case a.FromPeer():
		r.adopt(ctx, a)
	}
}

// askPeers looks for a newer head at a few peers. A VM without a bundle asks more of them
// and begins with the highest version, so that a restart does not bring back an old one.
func (r *Replica) askPeers(ctx context.Context) {
	count := sources
	if r.inForce.Version == 0 {
		count = firstSources
	}
	var heads []bundle.Announcement
	for _, p := range r.somePeers(count) {
		s, err := r.statusOf(ctx, p)
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

func (r *Replica) statusOf(ctx context.Context, p vm.VM) (bundle.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, r.deps.PeerTimeout.Duration())
	defer cancel()
	return r.deps.Peers.BundleStatus(ctx, p)
}

// somePeers returns up to count peers in random order.
func (r *Replica) somePeers(count int) []vm.VM {
	known := append([]vm.VM(nil), r.deps.Known()...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.random.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	return known[:min(count, len(known))]
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
		// The mailbox was full or the daemon stops; the next poll offers it again.
		return
	}
	switch v := verdict.(type) {
	case bundle.InForce:
		r.tookForce(ctx, v.Candidate, sections)
	case bundle.Rejected:
		r.reject(ref, v)
	}
}

// reject logs a head once.
func (r *Replica) reject(ref bundle.Ref, err error) {
	if r.rejected[ref.Digest] {
		return
	}
	if len(r.rejected) >= rememberedRejections {
		clear(r.rejected)
	}
	r.rejected[ref.Digest] = true
	r.deps.Log.Warn(event.BundleRejected, "bundle rejected", logrus.Fields{"version": ref.Version, "head": ref.Digest, "error": err})
}

func (r *Replica) tookForce(ctx context.Context, c bundle.Candidate, sections bundle.Sections) {
	r.inForce = c.Ref()
	r.deps.Log.Info(event.BundleInForce, "bundle in force", logrus.Fields{"version": c.Head.Version, "head": c.Digest, "month": c.Head.SignOff.Month, "signer": c.Head.SignOff.Signer})
	if latest := bundle.MonthOf(r.deps.Clock.Now() + clockSlack); c.Head.SignOff.Month > latest {
		r.deps.Log.Warn(event.BundleAheadOfClock, "bundle is signed for a month ahead of this VM's clock", logrus.Fields{"month": c.Head.SignOff.Month})
	}
	held := bundle.Sections{c.Digest: bundle.EncodeHead(c.Head)}
	for _, d := range c.Head.Sections() {
		held[d] = sections[d]
	}
	r.mu.Lock()
	r.held, r.current = held, r.inForce
	r.parents[c.Digest] = parentOf(c.Head)
	r.mu.Unlock()
	r.announce(ctx, held[c.Digest])
}

// clockSlack is how far the clock may be behind before a warning.
const clockSlack = 36 * clock.Hour

// announce tells peers of the head in force, each on a goroutine of its own, so that a
// peer that hangs holds up nobody.
func (r *Replica) announce(ctx context.Context, head []byte) {
	news := bundle.Announcement{From: r.deps.Self, Ref: r.inForce, Body: head}
	for _, p := range r.somePeers(fanOut) {
		r.announces.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, r.deps.PeerTimeout.Duration())
			defer cancel()
			// A peer that misses it polls, so a failure needs no answer.
			_ = r.deps.Peers.Announce(ctx, p, news)
		})
	}
}

func (r *Replica) platformAnswers() {
	if r.outage {
		r.outage = false
		r.deps.Log.Info(event.PlatformRecovered, "platform answers again", logrus.Fields{})
	}
}

func (r *Replica) platformFails(err error) {
	if r.outage || errors.Is(err, context.Canceled) {
		return
	}
	r.outage = true
	r.deps.Log.Warn(event.PlatformUnreachable, "platform out of reach; the bundle in force stays", logrus.Fields{"version": r.inForce.Version, "error": err})
}
