package shard

import (
	"cmp"
	"slices"

	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// Generation orders the processes of a VM by their rows in the platform's store: that of a process is higher than those
// of the processes whose rows it has replaced.
type Generation int64

// VM is an entry VM that can lead a shard.
type VM struct {
	Member
	DataCentre datacentre.ID
	// CPU is its processor share in thousandths of a core.
	CPU int
	// Generation is that of the VM's row, or 0 if its version of the program does not write one.
	Generation Generation
	// Revision is the version of the VM's row in the platform's store.
	Revision int64
}

// Candidates orders VMs by preference as leader of the shard: those of its data centre come
// first, and then those with more capacity. Every VM computes the same order.
func Candidates(id ID, vms []VM) []VM {
	sorted := slices.Clone(vms)
	slices.SortFunc(sorted, func(a, b VM) int {
		if near := a.DataCentre == id.DataCentre(); near != (b.DataCentre == id.DataCentre()) {
			if near {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.CPU, a.CPU), cmp.Compare(tieBreakHash(id, a), tieBreakHash(id, b)), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return sorted
}

// tieBreakHash varies the order of equal VMs from shard to shard, so that no VM is the second
// choice of every shard.
func tieBreakHash(id ID, v VM) uint32 {
	h := uint32(2166136261)
	for _, b := range []byte(string(id) + "/" + string(v.Incarnation.VM())) {
		h = (h ^ uint32(b)) * 16777619
	}
	return h
}
