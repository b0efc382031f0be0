package vm

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

const (
	// DelegatesPerDataCentre is two, so that the loss of one leaves the other in place
	// while the next is chosen.
	DelegatesPerDataCentre = 2
	// delegateRotation is how long the same VMs of a silent data centre are tried.
	delegateRotation = 5 * clock.Second
)

// Delegates returns the VMs that speak for a data centre: the highest scores by
// rendezvous hashing among those alive. Where too few are known to be alive, listed ones
// are tried in turns, since any of them may have come back.
func (r *Roster) Delegates(now clock.Millis, dc datacentre.ID) []VM {
	chosen := r.top("delegate", func(v VM) bool { return v.DataCentre == dc && v.usable() && v.Status == Alive })
	if len(chosen) >= DelegatesPerDataCentre {
		return chosen[:DelegatesPerDataCentre]
	}
	turn := "delegate" + strconv.FormatInt(int64(now/delegateRotation), 10)
	silent := r.top(turn, func(v VM) bool { return v.DataCentre == dc && v.Listed && v.Status != Alive })
	chosen = append(chosen, silent...)
	return chosen[:min(len(chosen), DelegatesPerDataCentre)]
}

// IsDelegate reports whether this VM speaks for its data centre.
func (r *Roster) IsDelegate(now clock.Millis) bool {
	self, ok := r.Find(r.Self)
	if !ok {
		return false
	}
	return r.delegateRank(now, self) >= 0
}

// HeartbeatTargets returns whom this VM sends heartbeats: every listed or live VM of its
// data centre, and as a delegate one delegate of each other data centre. Delegates of
// equal rank pair up, which halves the traffic against all pairs.
func (r *Roster) HeartbeatTargets(now clock.Millis) []VM {
	self, ok := r.Find(r.Self)
	if !ok {
		return nil
	}
	var targets []VM
	for _, v := range r.vms {
		if v.DataCentre == self.DataCentre && v.Incarnation != r.Self && (v.Listed || v.Status != Removed) {
			targets = append(targets, v)
		}
	}
	rank := r.delegateRank(now, self)
	if rank < 0 {
		return targets
	}
	for _, dc := range r.DataCentres() {
		if dc == self.DataCentre {
			continue
		}
		if delegates := r.Delegates(now, dc); len(delegates) > 0 {
			targets = append(targets, delegates[rank%len(delegates)])
		}
	}
	return targets
}

// DataCentres returns the data centres of the known VMs in order.
func (r *Roster) DataCentres() []datacentre.ID {
	var all []datacentre.ID
	for _, v := range r.vms {
		all = append(all, v.DataCentre)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

func (r *Roster) delegateRank(now clock.Millis, self VM) int {
	return slices.IndexFunc(r.Delegates(now, self.DataCentre), func(v VM) bool { return v.Incarnation == self.Incarnation })
}

func (r *Roster) top(key string, eligible func(VM) bool) []VM {
	var chosen []VM
	for _, v := range r.vms {
		if eligible(v) {
			chosen = append(chosen, v)
		}
	}
	slices.SortFunc(chosen, func(a, b VM) int {
		return cmp.Compare(rendezvousScore(key, b), rendezvousScore(key, a))
	})
	return chosen
}
