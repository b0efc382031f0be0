package leader

import (
	"slices"
	"strconv"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// tend does what is due at a place.
func (h *Leader) tend(p *place) {
	for _, t := range p.sorted() {
		h.tendTask(t, p)
	}
	if !p.watching {
		h.hold(p, Watch)
	}
	if len(p.tasks) > 0 && h.now-p.leasedAt >= h.config.Times.Lease/renewEvery && h.now-p.renewedAt >= h.config.Times.Lease/renewEvery {
		h.hold(p, Renewal)
	}
}

func (h *Leader) tendTask(t *task, p *place) {
	switch t.state {
	case stopping:
		gone := t.stopAcknowledged != 0 && h.now >= t.stopAcknowledged+h.config.Times.StopTakes+leaseMargin
		if gone || h.now >= p.leasedAt+h.config.Times.leaseLapse() {
			h.release(t)
			return
		}
		if t.stopAcknowledged == 0 && h.now >= t.stopSent+stopAgainAfter {
			h.sendStop(t)
		}
	case running:
		h.tendRunning(t, p)
	case starting:
		if h.now >= p.leasedAt+h.config.Times.leaseLapse() {
			h.note(RunLost, t, p, "lease lapsed")
			h.release(t)
		}
	case waiting, done, ended:
	}
}

// stopAgainAfter is how long a stop may go unanswered; the answer takes a round trip.
const stopAgainAfter = clock.Millis(120)

// tendRunning looks after a run that takes longer than expected or whose endpoint is silent.
func (h *Leader) tendRunning(t *task, p *place) {
	if h.now >= p.leasedAt+h.config.Times.leaseLapse() {
		h.note(RunLost, t, p, "lease lapsed")
		t.avoid = p
		h.release(t)
		return
	}
	if h.now >= t.startedAt+t.expected+lateStart && h.now-p.heardAt >= endUnheardFor && h.now-p.renewedAt >= endUnheardFor {
		// It should have ended, and the answer that tells so may have been lost.
		h.hold(p, Renewal)
	}
	if float64(h.now-t.startedAt) < overdue*float64(t.expected)+float64(lookEvery) {
		return
	}
	if h.now-t.percentAt >= stallAfter && p.heardAt >= t.percentAt+stallAfter {
		h.note(RunStalled, t, p, strconv.Itoa(t.percent)+" % since "+strconv.FormatInt(int64(h.now-t.percentAt), 10)+" ms")
		h.blame(t, p)
		t.avoid = p
		h.stop(t)
		return
	}
	if h.now-p.renewedAt >= lookEvery {
		h.hold(p, Renewal)
	}
}

// stopUnclaimed ends the time in which runs of an earlier home may be claimed.
func (h *Leader) stopUnclaimed() {
	for name, runs := range h.found {
		for _, f := range slices.Clone(runs) {
			if h.now < f.place.claimUntil {
				continue
			}
			lapsed := h.now >= max(f.at, f.place.leasedAt)+h.config.Times.leaseLapse()
			switch {
			case f.ended && h.now >= f.at+rememberFor, !f.ended && f.stoppedAt != 0 && lapsed:
				h.found.forget(name, f.place)
			default:
				h.stopUnclaimedRun(name, f)
			}
		}
	}
}
