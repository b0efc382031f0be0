package node_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/sequoiacart/sequoiacart/internal/control/leader"
	"github.com/sequoiacart/sequoiacart/internal/control/node"
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/evacuation"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

const (
	evacuationPrefix = "evacuate/"
	// maxEvacuation leaves room for starts after the longest notice.
	maxEvacuation = 12 * second
	// lateOrder is how long after it was sent an order is carried out at the earliest that counts as late.
	lateOrder = 2 * second
)

// evacuationRow is the value of a request to evacuate a data centre.
type evacuationRow struct{}

// evacuate writes the operator's request and takes it back later, unless there has been another one since. The operator
// waits while the store is down.
func (s *modelStore) evacuate(dc datacentre.ID, lasts micros) {
	if s.world.now < s.downUntil {
		s.world.after(s.downUntil-s.world.now, func() { s.evacuate(dc, lasts) })
		return
	}
	if _, ok := s.evacuatedSince[dc]; !ok {
		s.evacuatedSince[dc] = s.world.now
		s.world.stats.evacuations++
	}
	version, _ := s.put(tableOperator, evacuationPrefix+string(dc), evacuationRow{}, -1)
	s.world.after(lasts, func() { s.takeBack(dc, version) })
}

func (s *modelStore) takeBack(dc datacentre.ID, version int64) {
	key := evacuationPrefix + string(dc)
	switch {
	case s.world.now < s.downUntil:
		s.world.after(s.downUntil-s.world.now, func() { s.takeBack(dc, version) })
	case s.rows[tableOperator][key].version == version:
		delete(s.evacuatedSince, dc)
		s.remove(tableOperator, key)
	}
}

// injectEvacuate evacuates a data centre for a while, and at times asks again right after it has taken that back.
func injectEvacuate(w *world, random *rand.Rand) {
	dc, lasts := pick(random, w.vms).dc, duration(random, maxEvacuation)
	w.logFault(faultEvacuate, "%s for %s", dc, formatTime(lasts))
	w.store.evacuate(dc, lasts)
	if random.IntN(3) == 0 {
		w.after(lasts+duration(random, 50*ms), func() { w.store.evacuate(dc, duration(random, maxEvacuation)) })
	}
}

// operatorFeedWait is how long the store may hold a request for changes of the operator's table.
func (v *modelVM) operatorFeedWait(t leader.Timeouts) micros {
	if t.EvacuationNotice == 0 {
		return desiredFeedWait
	}
	return min(desiredFeedWait, fromMillis(t.MaxEvacuationAge())*3/10)
}

// evacuationsRead posts the evacuations to the control state.
func (f *modelFollower) evacuationsRead(version int64) {
	s := evacuation.State{Version: evacuation.Revision(version), Since: make(map[datacentre.ID]evacuation.Revision)}
	for key, r := range f.rows {
		if dc, ok := strings.CutPrefix(key, evacuationPrefix); ok {
			s.Since[datacentre.ID(dc)] = evacuation.Revision(r.version)
		}
	}
	f.vm.post(f.vm.life, node.EvacuationsLoaded{State: s, ReadAt: f.sentAt})
}

// checkEvacuation checks that no task starts in a data centre that has been evacuated for longer than the notice, by
// a VM that is in touch, or that the store turns away and that hears from one in touch, or that the store answers
// though it has just woken up.
func (v *modelVM) checkEvacuation(e *modelEndpoint, s leader.Start, result endpoint.StartResult, sentAt micros) {
	w := v.world
	since, evacuated := w.store.evacuatedSince[e.dc]
	if _, started := result.(endpoint.Started); !started || !evacuated || w.now >= sentAt+lateOrder {
		return
	}
	late := w.now - since
	if late <= fromMillis(w.options.shape.evacuationNotice) {
		w.stats.evacuatedStarts++
		return
	}
	if w.violation == "" && (v.isInTouch() || v.hearsFromVMInTouch() || v.isStoreAnswering()) {
		w.violation = fmt.Sprintf("%s starts %s at %s, whose data centre was evacuated %s ago", v.name, s.Task, e.id, formatTime(late))
		w.trace.text = w.violation
	}
}

// isStoreAnswering reports whether the store has answered each read of the list of endpoints since before a start
// that takes effect now was issued. The leader holds its starts then until it knows the evacuations.
func (v *modelVM) isStoreAnswering() bool {
	return !v.storeLost && v.world.now > v.storeFoundAt+startDelay
}

// startDelay is how long after it was issued a start takes effect at the latest.
const startDelay = 500 * ms

// hearsFromVMInTouch reports whether the VM, the store and the links to another VM that is in touch have been
// undisturbed for modelContact, but for the store turning the VM away.
func (v *modelVM) hearsFromVMInTouch() bool {
	w := v.world
	for _, o := range w.vms {
		disturbed := max(v.startedAt, v.frozenUntil, v.slowUntil, v.terminatedAt)
		for _, l := range []*linkState{w.network.link(v.name, o.name), w.network.link(o.name, v.name)} {
			disturbed = max(disturbed, l.cutUntil, l.resetUntil)
		}
		if o != v && o.up && o.isInTouch() && w.now >= disturbed+modelContact {
			return true
		}
	}
	return false
}

// Guards against a start in a data centre that was evacuated long ago, whoever leads and whoever was paused, cut off
// or turned away meanwhile, with each kind of fault that can keep the request from a leader.
func TestEvacuationsUnderFaults(t *testing.T) {
	shape := usualShape()
	shape.evacuationNotice = 900
	var total modelStats
	for seed, kinds := range []string{
		"evacuate", "evacuate,storeRefuses", "evacuate,coreCut", "evacuate,freeze,slow", "evacuate,kill,roll", "evacuate,power", "evacuate,storeDown", "evacuate,storeSlow,storeLate", "evacuate,cut,zoneCut,loss",
	} {
		w := runModelOf(shape, uint64(seed+1), parseKinds(kinds))
		total.add(w.stats)
		if w.violation != "" {
			t.Errorf("faults %s: got %s, want no such start", kinds, w.violation)
		}
	}
	if total.evacuatedStarts == 0 || total.completed == 0 {
		t.Errorf("got %+v, want evacuations and jobs that run nevertheless", total)
	}
}

// Guards against a leader that starts tasks by what it knew of the evacuations long ago, in a world in which that is
// wrong.
func TestOldEvacuationsStartNothing(t *testing.T) {
	shape := modelShape{longestLease: 400, stop: 200, resend: 1300, drainNotice: 3000, evacuationNotice: 3000, vms: 2, moreVMs: 2, endpoints: 3, moreEndpoints: 3}
	w := runModelOf(shape, 9034, parseKinds("evacuate,storeRefuses,coreCut,freeze,slow,kill,zoneCut,cut,loss,roll"))
	if w.violation != "" {
		t.Errorf("seed 9034: got %s, want no violation", w.violation)
	}
}
