package leader

import (
	"slices"
	"strconv"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// tend does what is due at a place.
func (l *Leader) tend(p *place) {
	for _, t := range p.sorted() {
		l.tendTask(t, p)
	}
	if !p.watching {
		l.hold(p, Watch)
	}
	if len(p.tasks) > 0 && l.now-p.leasedAt >= l.config.Timeouts.AttemptLease/renewEvery && l.now-p.renewedAt >= l.config.Timeouts.AttemptLease/renewEvery {
		l.hold(p, Renewal)
	}
}

func (l *Leader) tendTask(t *task, p *place) {
	switch t.state {
	case stopping:
		gone := t.stopAcknowledged != 0 && l.now >= t.stopAcknowledged+l.config.Timeouts.StopDuration+leaseMargin
		if gone || l.now >= p.leasedAt+l.config.Timeouts.leaseLapse() {
			l.release(t)
			return
		}
		if t.stopAcknowledged == 0 && l.now >= t.stopSent+stopAgainAfter {
			l.sendStop(t)
		}
	case running:
		l.tendRunning(t, p)
	case starting:
		if l.now >= p.leasedAt+l.config.Timeouts.leaseLapse() {
			l.note(AttemptLost, t, p, "lease lapsed")
			l.release(t)
		}
	case waiting, done, ended:
	}
}

// stopAgainAfter is how long a stop may go unanswered; the answer takes a round trip.
const stopAgainAfter = clock.Millis(120)

// tendRunning looks after a run that takes longer than expected or whose endpoint is silent.
func (l *Leader) tendRunning(t *task, p *place) {
	if l.now >= p.leasedAt+l.config.Timeouts.leaseLapse() {
		l.note(AttemptLost, t, p, "lease lapsed")
		t.avoid = p
		l.release(t)
		return
	}
	if l.now >= t.startedAt+t.expected+lateStart && l.now-p.heardAt >= endUnheardFor && l.now-p.renewedAt >= endUnheardFor {
		// It should have ended, and the answer that tells so may have been lost.
		l.hold(p, Renewal)
	}
	if float64(l.now-t.startedAt) < overdue*float64(t.expected)+float64(lookEvery) {
		return
	}
	if l.now-t.percentAt >= stallAfter && p.heardAt >= t.percentAt+stallAfter {
		l.note(AttemptStalled, t, p, strconv.Itoa(t.percent)+" % since "+strconv.FormatInt(int64(l.now-t.percentAt), 10)+" ms")
		l.blame(t, p)
		t.avoid = p
		l.stop(t)
		return
	}
	if l.now-p.renewedAt >= lookEvery {
		l.hold(p, Renewal)
	}
}

// stopUnclaimed ends the time in which runs of an earlier home may be claimed.
func (l *Leader) stopUnclaimed() {
	for name, runs := range l.found {
		for _, f := range slices.Clone(runs) {
			if l.now < f.place.claimUntil {
				continue
			}
			lapsed := l.now >= max(f.at, f.place.leasedAt)+l.config.Timeouts.leaseLapse()
			switch {
			case f.ended && l.now >= f.at+rememberFor, !f.ended && f.stoppedAt != 0 && lapsed:
				l.found.forget(name, f.place)
			default:
				l.stopUnclaimedRun(name, f)
			}
		}
	}
}
