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
	// MaxDigestOwners bounds one digest, of 44 bytes for each owner. With 16 of them, the
	// digests alone took 21 KB/s at 16 VMs.
	MaxDigestOwners = 4
	// DigestMinInterval is the least span between two digests to one peer.
	DigestMinInterval = clock.Second
	// digestPeers is the number of peers that DigestEvery is meant for.
	digestPeers = 8
)

// DigestInterval returns the span between two digests to one peer, so that the digests to all
// peers together stay bounded: 3 KB/s sent and received.
func DigestInterval(peers int) clock.Millis {
	return DigestMinInterval * clock.Millis(max(peers, digestPeers)) / digestPeers
}

// Ledger keeps the figures that VMs have told. Figures only grow, except for backlogs, so
// the latest of a VM stand for the earlier ones.
type Ledger struct {
	vms map[vm.Incarnation]map[owner.ID]figures
}

type figures struct {
	usage dispatch.OwnerUsage
	at    clock.Millis
}

// NewLedger returns a ledger without figures.
func NewLedger() *Ledger {
	return &Ledger{vms: make(map[vm.Incarnation]map[owner.ID]figures)}
}

// Record takes a digest of a VM.
func (l *Ledger) Record(now clock.Millis, from vm.Incarnation, usage []dispatch.OwnerUsage) {
	if len(usage) == 0 {
		return
	}
	known, ok := l.vms[from]
	if !ok {
		known = make(map[owner.ID]figures)
		l.vms[from] = known
	}
	for _, u := range usage {
		known[u.Owner] = figures{usage: u, at: now}
	}
}

// Retain drops the figures of VMs that are no longer known.
func (l *Ledger) Retain(known func(vm.Incarnation) bool) {
	maps.DeleteFunc(l.vms, func(i vm.Incarnation, _ map[owner.ID]figures) bool { return !known(i) })
}

// Report sums up the figures for the owners of a bundle.
func (l *Ledger) Report(now clock.Millis, owners []owner.Owner) Report {
	var r Report
	for _, i := range slices.Sorted(maps.Keys(l.vms)) {
		r.VMs = append(r.VMs, vmReport(now, i, l.vms[i]))
	}
	for _, o := range owners {
		sum := OwnerReport{Owner: o.ID, Share: o.Share, Usage: dispatch.OwnerUsage{Owner: o.ID}}
		for _, known := range l.vms {
			sum.Usage = add(sum.Usage, known[o.ID].usage)
		}
		r.Owners = append(r.Owners, sum)
	}
	slices.SortFunc(r.Owners, func(a, b OwnerReport) int { return cmp.Compare(a.Owner, b.Owner) })
	return r
}

// Sum adds up the figures of an owner at some VMs. It is not complete when one of them has
// not told any.
func (l *Ledger) Sum(now clock.Millis, o owner.ID, vms []vm.Incarnation) (sum DataCentreUsage, complete bool) {
	sum.Usage.Owner = o
	for _, i := range vms {
		f, ok := l.vms[i][o]
		if !ok {
			return DataCentreUsage{}, false
		}
		sum.Usage = add(sum.Usage, f.usage)
		sum.Age = max(sum.Age, now-f.at)
	}
	return sum, true
}

func vmReport(now clock.Millis, i vm.Incarnation, known map[owner.ID]figures) VMReport {
	r := VMReport{VM: i}
	for _, o := range slices.Sorted(maps.Keys(known)) {
		r.Usage = append(r.Usage, known[o].usage)
		r.Age = max(r.Age, now-known[o].at)
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
