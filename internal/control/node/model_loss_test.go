package node_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/world/shard"
)

// shardsWithoutLeader are the shards with an endpoint that is up of which some VM knows no leader.
func (w *world) shardsWithoutLeader() []shard.ID {
	var missing []shard.ID
	for _, e := range w.endpoints {
		id := shard.ForDataCentre(e.dc)
		if !e.up || slices.Contains(missing, id) {
			continue
		}
		for _, v := range w.vms {
			if _, led := v.control.Leader(id, v.clock()); v.up && !led {
				missing = append(missing, id)
				break
			}
		}
	}
	return missing
}

// Guards against a shard that stays without a leader once the VMs of its data centre are lost for good, whether those refuse
// connections or are silent, and whatever the faults before.
func TestModelLossOfADataCentreAfterFaults(t *testing.T) {
	const calm, failover = 12 * second, 8 * second
	for seed := range uint64(max(*modelSeeds/10, 12)) {
		kinds := chooseKinds([]faultKind{faultKill, faultPower, faultStoreDown, faultStoreLate}, rand.New(rand.NewPCG(*modelSeed+seed, 0)))
		w := runModel(*modelSeed+seed, append(kinds, faultVMRows))
		w.run(w.now + calm)
		lost := pick(w.random("lost"), w.vms).dc
		for _, v := range w.vms {
			if v.dc == lost {
				v.kill(seed%2 == 0)
			}
		}
		w.run(w.now + failover)
		if missing := w.shardsWithoutLeader(); len(missing) > 0 || w.violation != "" {
			t.Errorf("seed %d: got shards %v without a leader after the loss of %s, violation %q, want none", *modelSeed+seed, missing, lost, w.violation)
		}
	}
}
