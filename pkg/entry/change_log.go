package entry

import (
	"cmp"
	"slices"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// changeNumber is the sequence number of a change to a VM's state, as counted by this VM.
type changeNumber uint64

const (
	// maxReportsPerHeartbeat limits the size of a heartbeat; a large digest takes several.
	maxReportsPerHeartbeat = 32
	// resendAllInterval is how often a peer is sent all VMs again, in case another delegate has
	// reported a different state of a VM to it.
	resendAllInterval = clock.Minute
)

// changeLog holds the latest change of each VM and up to which change each peer has confirmed,
// so that heartbeats carry only changes.
type changeLog struct {
	last    changeNumber
	entries map[vm.Incarnation]changeEntry
	peers   map[vm.Incarnation]*peerProgress
}

type changeEntry struct {
	vm     vm.VM
	number changeNumber
}

// peerProgress is the position in the log that a peer has confirmed.
type peerProgress struct {
	confirmed   changeNumber
	resendAllAt clock.Millis
}

func newChangeLog() *changeLog {
	return &changeLog{entries: make(map[vm.Incarnation]changeEntry), peers: make(map[vm.Incarnation]*peerProgress)}
}

// update adds the changes between the last roster and the given one.
func (l *changeLog) update(r *vm.Roster) {
	for _, v := range r.VMs() {
		v.HasRow = false
		if old, ok := l.entries[v.Incarnation]; !ok || old.vm != v {
			l.last++
			l.entries[v.Incarnation] = changeEntry{vm: v, number: l.last}
		}
	}
	for i := range l.entries {
		if _, ok := r.Find(i); !ok {
			delete(l.entries, i)
			delete(l.peers, i)
		}
	}
}

// since returns the VMs in scope whose latest change the peer has not confirmed, the oldest
// change first, and the number of the last change that they cover.
func (l *changeLog) since(now clock.Millis, peer vm.Incarnation, inScope func(vm.VM) bool) ([]vm.VM, changeNumber) {
	p, ok := l.peers[peer]
	if !ok {
		p = &peerProgress{resendAllAt: now + resendAllInterval}
		l.peers[peer] = p
	}
	if now >= p.resendAllAt {
		p.confirmed, p.resendAllAt = 0, now+resendAllInterval
	}
	if p.confirmed == l.last {
		return nil, l.last
	}
	var changed []changeEntry
	for _, e := range l.entries {
		if e.number > p.confirmed && inScope(e.vm) {
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b changeEntry) int { return cmp.Compare(a.number, b.number) })
	upTo := l.last
	if len(changed) > maxReportsPerHeartbeat {
		changed = changed[:maxReportsPerHeartbeat]
		upTo = changed[maxReportsPerHeartbeat-1].number
	}
	reports := make([]vm.VM, len(changed))
	for i, e := range changed {
		reports[i] = e.vm
	}
	return reports, upTo
}

// confirm records the last change that a peer has confirmed.
func (l *changeLog) confirm(peer vm.Incarnation, upTo changeNumber) {
	if p, ok := l.peers[peer]; ok {
		p.confirmed = max(p.confirmed, upTo)
	}
}

// reset discards the progress of all peers. It is called when the scope has changed.
func (l *changeLog) reset() {
	clear(l.peers)
}
