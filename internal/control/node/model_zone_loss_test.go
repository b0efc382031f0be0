package node_test

import (
	"math/rand/v2"
	"testing"

	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

const (
	// faultZoneLoss takes away a data centre for good, with its VMs and endpoints.
	faultZoneLoss faultKind = "zoneLoss"
	// maxAckDelay is how long callers wait for the confirmation of a cancellation, with those that they send again.
	maxAckDelay = 4 * second
)

// injectZoneLoss takes away one data centre of a world at most.
func injectZoneLoss(w *world, random *rand.Rand) {
	dc, silent := pick(random, w.vms).dc, random.IntN(2) == 0
	for _, v := range w.vms {
		if v.gone {
			return
		}
	}
	w.loseDataCentre(dc, silent)
}

func (w *world) loseDataCentre(dc datacentre.ID, silent bool) {
	w.logFault(faultZoneLoss, "%s, silent %v", dc, silent)
	for _, v := range w.vms {
		if v.dc == dc {
			v.gone = true
			v.kill(silent)
		}
	}
	for _, e := range w.endpoints {
		if e.dc == dc {
			e.crash()
			e.gone = true
		}
	}
}

// Guards against cancellations that nobody confirms once a data centre has been lost with all its endpoints: their
// rows are gone after rowExpiry, and callers get a confirmation in time from 9.5 s after the loss on, also from VMs
// that are in no replica set.
func TestCancellationsAfterTheLossOfADataCentre(t *testing.T) {
	crowd := usualShape()
	crowd.vms = 5
	for name, shape := range map[string]modelShape{"usual": usualShape(), "VMs outside of replica sets": crowd} {
		requested, late := 0, 0
		for seed := range uint64(10) {
			w := newWorld(seed, modelOptions{kinds: []faultKind{faultCancel, faultRelay}, shape: shape})
			const lostAt, from = longWarmUp, longWarmUp + 9500*ms
			w.after(lostAt, func() { w.loseDataCentre(w.vms[len(w.vms)-1].dc, seed%2 == 0) })
			w.after(from, func() { w.callers.submitJobs(from + 6*second) })
			w.run(from + 6*second + maxCancelDelay + maxAckDelay)
			if w.violation != "" {
				t.Errorf("%s, seed %d: %s", name, seed, w.violation)
			}
			for id, at := range w.cancellations.requestedAt {
				requested++
				if confirmed := w.cancellations.confirmedAt[id]; confirmed == 0 || confirmed > at+maxAckDelay {
					late++
				}
			}
		}
		if requested == 0 || late > 0 {
			t.Errorf("%s: got %d of %d cancellations not confirmed within %s, want none", name, late, requested, formatTime(maxAckDelay))
		}
	}
}

// Guards against a leader that starts a job whose cancellation was confirmed without it during a long cut of its data
// centre, and that no other VM tells it of: those outside are lost at the end of the cut. A copy of the job may start
// between the end of the cut and the first list that the leader reads, when it is not in touch.
func TestCancellationsDuringALongCut(t *testing.T) {
	confirmed := 0
	for seed := range uint64(20) {
		w := newWorld(seed, modelOptions{kinds: []faultKind{faultCancel, faultRelay}, shape: usualShape()})
		w.cancellations.inTouchOnly = true
		const cutAt, cutFor = longWarmUp, 13 * second
		dc := w.vms[len(w.vms)-1].dc
		w.after(cutAt, func() { w.cutDataCentre(dc, cutFor, storeName, callerName) })
		w.after(cutAt+9500*ms, func() { w.callers.submitJobs(cutAt + cutFor - maxCancelDelay) })
		w.after(cutAt+cutFor-500*ms, func() {
			for _, v := range w.vms {
				if v.dc != dc {
					v.kill(true)
					w.after(5*second, v.start)
				}
			}
		})
		w.run(cutAt + cutFor + maxCopyDelay)
		confirmed += w.stats.cancelled
		if w.violation != "" {
			t.Errorf("seed %d: %s", seed, w.violation)
		}
	}
	if confirmed == 0 {
		t.Errorf("got no cancellation confirmed during a cut, want some")
	}
}
