package node_test

import (
	"fmt"
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/control/leader"
)

// modelContact is how long a VM has to be undisturbed until the bound on draining endpoints holds for it.
const modelContact = 3 * second

// isInTouch reports whether the VM and the store have been undisturbed for modelContact.
func (v *modelVM) isInTouch() bool {
	w := v.world
	disturbed := max(v.startedAt, v.frozenUntil, v.slowUntil, v.terminatedAt, w.store.downUntil, w.store.slowUntil, w.store.refusedUntil[v.name], w.network.lossUntil)
	for _, l := range []*linkState{w.network.link(v.name, storeName), w.network.link(storeName, v.name)} {
		disturbed = max(disturbed, l.cutUntil, l.resetUntil)
	}
	return w.now >= disturbed+modelContact
}

// checkDrain checks that a VM in touch starts nothing at an endpoint that has announced long ago that it is
// leaving.
func (v *modelVM) checkDrain(s leader.Start) {
	e := v.world.endpoint(s.Endpoint.ID)
	if e == nil || e.drainingSince == 0 || v.world.violation != "" || !v.isInTouch() {
		return
	}
	if late := v.world.now - e.drainingSince; late > fromMillis(v.world.options.shape.drainNotice) {
		v.world.violation = fmt.Sprintf("%s starts %s at %s, which has been draining for %s", v.name, s.Task, e.id, formatTime(late))
		a := &modelAttempt{endpoint: e, life: e.life, task: s.Task, number: s.Attempt, token: s.Token, startedAt: v.world.now}
		v.world.trace.fail(a, a)
	}
}

// Guards against a new leader that starts tasks at an endpoint which reported that it is leaving before all
// members of the replica set were lost: the VMs that are left are in none, and have read the list of endpoints
// when they started.
func TestNewLeaderKnowsWhichEndpointsDrain(t *testing.T) {
	shape := usualShape()
	shape.vms, shape.moreVMs, shape.endpoints, shape.moreEndpoints = 6, 2, 2, 1
	takeovers := 0
	for seed := range uint64(20) {
		w := newWorld(seed, modelOptions{shape: shape})
		const drainAt = longWarmUp
		w.after(drainAt-second, func() { w.callers.submitJobs(drainAt + 3*second) })
		w.after(drainAt, func() {
			e := w.endpoints[0]
			e.draining = true
			w.store.endpointWrites(e.row())
		})
		w.after(drainAt+2200*ms, func() {
			takeovers -= w.stats.takeovers
			// The others claim the shards some 500 ms later.
			for i := range micros(400) {
				w.after((300+i)*ms, w.callers.submitNew)
			}
			for _, r := range w.store.all(tableReplicaSets) {
				for _, m := range replicaSetOf(r).Members {
					for _, v := range w.vms {
						if v.self.Incarnation == m.Incarnation {
							v.kill(false)
						}
					}
				}
			}
		})
		w.run(drainAt + 3500*ms)
		takeovers += w.stats.takeovers
		if w.violation != "" {
			t.Errorf("seed %d: got %s, want no start there", seed, w.violation)
		}
	}
	if takeovers < 20 {
		t.Errorf("got %d take-overs, want one or more in each world", takeovers)
	}
}
