package entry

import (
	"cmp"
	"slices"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// change is the sequence number of a change to a VM's state, as counted by this VM.
type change uint64

const (
	// reportsPerHeartbeat limits the size of a heartbeat; a large digest takes several.
	reportsPerHeartbeat = 32
	// retellEvery is how often a peer is sent all VMs again, in case another delegate has
	// reported a different state of a VM to it.
	retellEvery = clock.Minute
)

// journal holds the latest change of each VM and up to which change each peer has confirmed,
// so that heartbeats carry only changes.
type journal struct {
	last  change
	news  map[vm.Incarnation]newsItem
	peers map[vm.Incarnation]*reader
}

type newsItem struct {
	vm     vm.VM
	change change
}

// reader is the progress of a peer.
type reader struct {
	confirmed change
	retellAt  clock.Millis
}

func newJournal() *journal {
	return &journal{news: make(map[vm.Incarnation]newsItem), peers: make(map[vm.Incarnation]*reader)}
}

// update adds the changes between the last roster and the given one.
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

// since returns the VMs in scope whose latest change the peer has not confirmed, the oldest
// change first, and the number of the last change that they cover.
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

// confirmed records the last change that a peer has confirmed.
func (j *journal) confirmed(peer vm.Incarnation, upTo change) {
	if p, ok := j.peers[peer]; ok {
		p.confirmed = max(p.confirmed, upTo)
	}
}

// forget resets the progress of all peers, because the scope has changed.
func (j *journal) forget() {
	clear(j.peers)
}
