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
	// DelegateRotation is how long the same VMs of an unresponsive data centre are tried.
	DelegateRotation = 5 * clock.Second
)

// Delegates returns the VMs of a data centre that represent it toward another one: the
// highest scores by rendezvous hashing among those alive, so that the other data centres
// are spread over all VMs. Where too few are alive, others that have a row in the platform's
// table are tried in rotation, since any of them may have come back.
func (r *Roster) Delegates(now clock.Millis, dc, toward datacentre.ID) []VM {
	key := "delegate/" + string(toward)
	chosen := rankByScore(r.byDataCentre[dc], key, func(v VM) bool { return v.usable() && v.Status == Alive })
	if len(chosen) >= DelegatesPerDataCentre {
		return chosen[:DelegatesPerDataCentre]
	}
	rotationKey := key + "/" + strconv.FormatInt(int64(now/DelegateRotation), 10)
	others := rankByScore(r.byDataCentre[dc], rotationKey, func(v VM) bool { return v.HasRow && v.Status != Alive })
	chosen = append(chosen, others...)
	return chosen[:min(len(chosen), DelegatesPerDataCentre)]
}

// HeartbeatTargets returns the VMs to which this VM sends heartbeats: each VM of its data
// centre that has a row or is not removed, and one VM of each data centre toward which it is a
// delegate. Delegates of equal rank pair up, which halves the traffic against all pairs.
func (r *Roster) HeartbeatTargets(now clock.Millis) []VM {
	self, ok := r.Find(r.Self)
	if !ok {
		return nil
	}
	var targets []VM
	for _, v := range r.byDataCentre[self.DataCentre] {
		if v.Incarnation != r.Self && (v.HasRow || v.Status != Removed) {
			targets = append(targets, v)
		}
	}
	for _, dc := range r.DataCentres() {
		if dc == self.DataCentre {
			continue
		}
		rank := slices.IndexFunc(r.Delegates(now, self.DataCentre, dc), func(v VM) bool { return v.Incarnation == r.Self })
		others := r.Delegates(now, dc, self.DataCentre)
		if rank >= 0 && len(others) > 0 {
			targets = append(targets, others[rank%len(others)])
		}
	}
	return targets
}

func rankByScore(vms []VM, key string, eligible func(VM) bool) []VM {
	var chosen []VM
	for _, v := range vms {
		if eligible(v) {
			chosen = append(chosen, v)
		}
	}
	slices.SortFunc(chosen, func(a, b VM) int {
		return cmp.Compare(rendezvousScore(key, b), rendezvousScore(key, a))
	})
	return chosen
}
