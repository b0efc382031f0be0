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
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

const (
	evacuationPrefix = "evacuate/"
	// maxEvacuation leaves room for starts after the longest notice.
	maxEvacuation = 12 * second
	// startDelay is how long after it was issued a start takes effect at the latest, unless its endpoint is late.
	startDelay = 500 * ms
)

// evacuationRow is the value of a request to evacuate a data centre.
type evacuationRow struct{}

// evacuate writes the operator's request and takes it back later, unless there has been another one since.
func (s *modelStore) evacuate(dc datacentre.ID, lasts micros) {
	if _, ok := s.evacuatedSince[dc]; !ok {
		s.evacuatedSince[dc] = s.world.now
	}
	key := evacuationPrefix + string(dc)
	version, _ := s.put(tableOperator, key, evacuationRow{}, -1)
	s.world.after(lasts, func() {
		if s.rows[tableOperator][key].version == version {
			delete(s.evacuatedSince, dc)
			s.remove(tableOperator, key)
		}
	})
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
// a VM that is in touch, or that the store answers since before it issued the start.
func (v *modelVM) checkEvacuation(e *modelEndpoint, s leader.Start, result endpoint.StartResult, sentAt micros) {
	w := v.world
	since, evacuated := w.store.evacuatedSince[e.dc]
	if _, started := result.(endpoint.Started); !started || !evacuated || w.now >= sentAt+startDelay {
		return
	}
	w.stats.evacuatedStarts++
	late, answering := w.now-since, !v.storeLost && w.now > v.storeFoundAt+startDelay
	if late > fromMillis(w.options.shape.evacuationNotice) && w.violation == "" && (v.isInTouch() || answering) {
		w.violation = fmt.Sprintf("%s starts %s at %s, whose data centre was evacuated %s ago", v.name, s.Task, e.id, formatTime(late))
		w.trace.text = w.violation
	}
}

// Guards against a start in a data centre that was evacuated long ago, whoever leads and whoever was paused, cut off
// or turned away meanwhile, with each kind of fault that can keep the request from a leader.
func TestEvacuationsUnderFaults(t *testing.T) {
	var total modelStats
	for _, tt := range []struct {
		seed   uint64
		notice clock.Millis
		kinds  string
	}{
		{1, 900, "evacuate"},
		{4, 900, "evacuate,freeze,slow"},
		{9034, 3000, "evacuate,storeRefuses,coreCut,freeze,slow,kill,zoneCut,cut,loss,roll"},
	} {
		shape := modelShape{longestLease: 400, stop: 200, resend: 1300, drainNotice: 3000, evacuationNotice: tt.notice, vms: 2, moreVMs: 2, endpoints: 3, moreEndpoints: 3}
		w := runModelOf(shape, tt.seed, parseKinds(tt.kinds))
		total.add(w.stats)
		if w.violation != "" {
			t.Errorf("seed %d, faults %s: got %s, want no such start", tt.seed, tt.kinds, w.violation)
		}
	}
	if total.evacuatedStarts == 0 || total.completed == 0 {
		t.Errorf("got %+v, want evacuations and jobs that run nevertheless", total)
	}
}
