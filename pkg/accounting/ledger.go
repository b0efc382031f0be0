package accounting

import (
	"cmp"
	"maps"
	"slices"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/dispatch"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

const (
	// MaxDigestOwners limits the owners in one digest, at 44 bytes each. With 16 owners, the
	// digests alone took 21 KB/s at 16 VMs.
	MaxDigestOwners = 4
	// DigestMinInterval is the shortest interval between two digests to one peer.
	DigestMinInterval = clock.Second
	// minIntervalPeers is the largest number of peers at which DigestMinInterval applies.
	minIntervalPeers = 8
)

// DigestInterval returns the interval between two digests to one peer. It grows with the number
// of peers, which limits the digests to all peers together to 3 KB/s sent and received.
func DigestInterval(peers int) clock.Millis {
	return DigestMinInterval * clock.Millis(max(peers, minIntervalPeers)) / minIntervalPeers
}

// Ledger keeps the latest figures reported by each VM. Figures other than the backlog only
// grow, so the latest report of a VM includes the earlier ones.
type Ledger struct {
	vms map[vm.Incarnation]map[owner.ID]figures
}

type figures struct {
	usage dispatch.OwnerUsage
	asOf  clock.Millis
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{vms: make(map[vm.Incarnation]map[owner.ID]figures)}
}

// Record stores a digest received from a VM.
func (l *Ledger) Record(now clock.Millis, incarnation vm.Incarnation, usage []dispatch.OwnerUsage) {
	if len(usage) == 0 {
		return
	}
	byOwner, ok := l.vms[incarnation]
	if !ok {
		byOwner = make(map[owner.ID]figures)
		l.vms[incarnation] = byOwner
	}
	for _, u := range usage {
		byOwner[u.Owner] = figures{usage: u, asOf: now}
	}
}

// Retain removes the figures of VMs for which isKnown returns false.
func (l *Ledger) Retain(isKnown func(vm.Incarnation) bool) {
	maps.DeleteFunc(l.vms, func(i vm.Incarnation, _ map[owner.ID]figures) bool { return !isKnown(i) })
}

// Report returns the figures of each VM and their sums for the given owners.
func (l *Ledger) Report(now clock.Millis, owners []owner.Owner) Report {
	var r Report
	for _, i := range slices.Sorted(maps.Keys(l.vms)) {
		r.VMs = append(r.VMs, vmReport(now, i, l.vms[i]))
	}
	for _, o := range owners {
		sum := OwnerReport{Owner: o.ID, Share: o.Share, Usage: dispatch.OwnerUsage{Owner: o.ID}}
		for _, byOwner := range l.vms {
			sum.Usage = add(sum.Usage, byOwner[o.ID].usage)
		}
		r.Owners = append(r.Owners, sum)
	}
	slices.SortFunc(r.Owners, func(a, b OwnerReport) int { return cmp.Compare(a.Owner, b.Owner) })
	return r
}

// Sum adds up the figures of an owner at the given VMs. If one of the VMs hasn't reported any for
// the owner, it returns complete as false and no sum.
func (l *Ledger) Sum(now clock.Millis, o owner.ID, vms []vm.Incarnation) (sum DataCentreUsage, complete bool) {
	sum.Usage.Owner = o
	for _, i := range vms {
		f, ok := l.vms[i][o]
		if !ok {
			return DataCentreUsage{}, false
		}
		sum.Usage = add(sum.Usage, f.usage)
		sum.Age = max(sum.Age, now-f.asOf)
	}
	return sum, true
}

func vmReport(now clock.Millis, i vm.Incarnation, byOwner map[owner.ID]figures) VMReport {
	r := VMReport{VM: i}
	for _, o := range slices.Sorted(maps.Keys(byOwner)) {
		r.Usage = append(r.Usage, byOwner[o].usage)
		r.Age = max(r.Age, now-byOwner[o].asOf)
	}
	return r
}

func add(a, b dispatch.OwnerUsage) dispatch.OwnerUsage {
	a.SlotTime += b.SlotTime
	a.Charged += b.Charged
	a.Backlog += b.Backlog
	a.Started += b.Started
	a.Refused += b.Refused
	a.Waited += b.Waited
	a.LongestWait = max(a.LongestWait, b.LongestWait)
	return a
}
