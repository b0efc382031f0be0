package entry

import (
	"cmp"
	"slices"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// change numbers the news of VMs at this VM.
type change uint64

const (
	// reportsPerHeartbeat spreads a large digest over several heartbeats.
	reportsPerHeartbeat = 32
	// retellEvery is how often a peer is told everything again, in case that it took
	// other news of a VM from another delegate.
	retellEvery = clock.Minute
)

// journal remembers the news of each VM and how much of it each peer has confirmed, so
// that heartbeats carry nothing but changes.
type journal struct {
	last  change
	news  map[vm.Incarnation]newsItem
	peers map[vm.Incarnation]*reader
}

type newsItem struct {
	vm     vm.VM
	change change
}

// reader is how far a peer has read.
type reader struct {
	confirmed change
	retellAt  clock.Millis
}

func newJournal() *journal {
	return &journal{news: make(map[vm.Incarnation]newsItem), peers: make(map[vm.Incarnation]*reader)}
}

// update takes over a roster.
func (j *journal) update(r *vm.Roster) {
	for _, v := range r.VMs() {
		v.Listed = false
		if old, ok := j.news[v.Incarnation]; !ok || old.vm != v {
			j.last++
			j.news[v.Incarnation] = newsItem{vm: v, change: j.last}
		}
	}
	for i := range j.news {
		if _, ok := r.Find(i); !ok {
			delete(j.news, i)
			delete(j.peers, i)
		}
	}
}

// since returns the news in scope that a peer has not confirmed, the oldest first, and
// the change up to which they go.
func (j *journal) since(now clock.Millis, peer vm.Incarnation, inScope func(vm.VM) bool) ([]vm.VM, change) {
	p, ok := j.peers[peer]
	if !ok {
		p = &reader{retellAt: now + retellEvery}
		j.peers[peer] = p
	}
	if now >= p.retellAt {
		p.confirmed, p.retellAt = 0, now+retellEvery
	}
	if p.confirmed == j.last {
		return nil, j.last
	}
	var items []newsItem
	for _, n := range j.news {
		if n.change > p.confirmed && inScope(n.vm) {
			items = append(items, n)
		}
	}
	slices.SortFunc(items, func(a, b newsItem) int { return cmp.Compare(a.change, b.change) })
	upTo := j.last
	if len(items) > reportsPerHeartbeat {
		items = items[:reportsPerHeartbeat]
		upTo = items[reportsPerHeartbeat-1].change
	}
	reports := make([]vm.VM, len(items))
	for i, n := range items {
		reports[i] = n.vm
	}
	return reports, upTo
}

// confirmed notes how far a peer has read.
func (j *journal) confirmed(peer vm.Incarnation, upTo change) {
	if p, ok := j.peers[peer]; ok {
		p.confirmed = max(p.confirmed, upTo)
	}
}

// forget starts again with a peer whose scope has changed.
func (j *journal) forget() {
	clear(j.peers)
}
