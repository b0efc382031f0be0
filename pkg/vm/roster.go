package vm

import (
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// RosterVersion counts the changes of a roster at the VM that maintains it.
type RosterVersion uint64

// Roster is an immutable list of the entry VMs known to one VM.
type Roster struct {
	Version      RosterVersion
	Self         Incarnation
	vms          []VM
	index        map[Incarnation]int
	dataCentres  []datacentre.ID
	byDataCentre map[datacentre.ID][]VM
}

// RosterConfig holds the contents of a roster.
type RosterConfig struct {
	Version RosterVersion
	Self    Incarnation
	VMs     []VM
}

// NewRoster copies the list and orders it by incarnation.
func NewRoster(c RosterConfig) *Roster {
	vms := slices.Clone(c.VMs)
	slices.SortFunc(vms, func(a, b VM) int {
		return strings.Compare(string(a.Incarnation), string(b.Incarnation))
	})
	index := make(map[Incarnation]int, len(vms))
	byDataCentre := make(map[datacentre.ID][]VM)
	for i, v := range vms {
		index[v.Incarnation] = i
		byDataCentre[v.DataCentre] = append(byDataCentre[v.DataCentre], v)
	}
	dataCentres := slices.Sorted(maps.Keys(byDataCentre))
	return &Roster{Version: c.Version, Self: c.Self, vms: vms, index: index, dataCentres: dataCentres, byDataCentre: byDataCentre}
}

// VMs returns all VMs in order of their incarnations. The caller must not change the slice.
func (r *Roster) VMs() []VM {
	return r.vms
}

// DataCentres returns the data centres of the known VMs in order. The caller must not
// change the slice.
func (r *Roster) DataCentres() []datacentre.ID {
	return r.dataCentres
}

// SameIn reports whether another roster has the same entries for the VMs of a data centre.
func (r *Roster) SameIn(dc datacentre.ID, other *Roster) bool {
	return other != nil && slices.Equal(r.byDataCentre[dc], other.byDataCentre[dc])
}

// Find returns the VM of an incarnation.
func (r *Roster) Find(i Incarnation) (VM, bool) {
	n, ok := r.index[i]
	if !ok {
		return VM{}, false
	}
	return r.vms[n], true
}

// Home returns the VM that owns the slots of an endpoint: the highest score by
// rendezvous hashing, weighted by size, among the VMs of the endpoint's data centre
// that are neither leaving nor removed. Where all are leaving, one of them stays home VM
// until it has finished its work.
func (r *Roster) Home(e datacentre.EndpointID, dc datacentre.ID) (VM, bool) {
	if v, ok := pick(r.byDataCentre[dc], string(e), VM.usable); ok {
		return v, true
	}
	return pick(r.byDataCentre[dc], string(e), func(v VM) bool { return v.Status != Removed })
}

// Witness returns the peer that keeps the records of self: one of the same data centre
// where there is one, else of another. A suspected peer is taken only where no other is
// left, since its acknowledgements would delay every start.
func (r *Roster) Witness() Incarnation {
	self, ok := r.Find(r.Self)
	if !ok {
		return None
	}
	peer := func(v VM) bool { return v.Incarnation != r.Self && v.usable() }
	alive := func(v VM) bool { return peer(v) && v.Status == Alive }
	local := func(v VM) bool { return alive(v) && v.DataCentre == self.DataCentre }
	for _, eligible := range []func(VM) bool{local, alive, peer} {
		if v, ok := pick(r.vms, string(r.Self), eligible); ok {
			return v.Incarnation
		}
	}
	return None
}

func pick(vms []VM, key string, eligible func(VM) bool) (VM, bool) {
	best, bestScore, found := VM{}, math.Inf(-1), false
	for _, v := range vms {
		if !eligible(v) {
			continue
		}
		score := rendezvousScore(key, v)
		if !found || score > bestScore {
			best, bestScore, found = v, score, true
		}
	}
	return best, found
}

// rendezvousScore weights the hash so that a VM wins in proportion to its size.
func rendezvousScore(key string, v VM) float64 {
	hash := xxhash.Sum64String(key + "/" + string(v.Incarnation))
	unit := (float64(hash>>11) + 0.5) / (1 << 53)
	return -float64(max(v.Size, 1)) / math.Log(unit)
}
