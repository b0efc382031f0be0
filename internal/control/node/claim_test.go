package node

import (
	"fmt"
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// Guards against a shard without a leader for as long as the deployment has had VMs: rows of VMs that were
// replaced stay in the store, and each of them counted as a better candidate that may still claim the shard.
func TestRowsOfFormerVMsDoNotDelayAClaim(t *testing.T) {
	const former, limit = 1000, 2 * clock.Second
	for _, dc := range []datacentre.ID{"centro", "norte"} {
		h := newHarness(t)
		h.reachable = true
		vms := []shard.VM{newVM("centro", "me-1")}
		for i := range former {
			v := newVM(dc, fmt.Sprintf("former-%d-1", i))
			v.CPU = 800
			vms = append(vms, v)
		}
		h.handle(VMsLoaded{VMs: vms})
		h.handle(ReplicaSetsLoaded{ReplicaSets: []shard.ReplicaSet{replicaSet("centro", 5, "former-1-1", "former-2-1")}})
		started := h.now
		for countActions[WriteReplicaSet](h) == 0 && h.now < started+clock.Minute {
			h.advance(10)
		}
		if got := h.now - started; got > limit {
			t.Errorf("%d former VMs in %s: got a claim after %d ms, want it within %d ms", former, dc, got, limit)
		}
	}
}

// Guards against claims at the same time by all VMs that are left: they go first by strength, and those that
// come late are spread.
func TestClaimsAreSpread(t *testing.T) {
	delays := make(map[clock.Millis]int)
	for rank := range 40 {
		delays[claimDelayOf(rank)]++
		if got, limit := claimDelayOf(rank), clock.Second; got > limit {
			t.Errorf("rank %d: got a delay of %d ms, want %d ms at most", rank, got, limit)
		}
	}
	for delay, n := range delays {
		if n > 4 {
			t.Errorf("got %d of 40 claims after %d ms, want 4 at most", n, delay)
		}
	}
}
