package leader

import "github.com/sequoiacart/sequoiacart/pkg/clock"

// maxPause is how long a leader may handle no event and still rely on what it knows. It is shorter
// than the time for which a lease lasts without a renewal: a successor may have taken over during a
// longer pause and extended the leases of attempts that count as expired here.
const maxPause = clock.Millis(300)

// resume asks all endpoints for a report after a pause of the VM. One that has accepted the token of
// a successor ends this leadership.
func (l *Leader) resume() {
	l.resumedSeq, l.resuming = l.sequence, true
	for _, ep := range l.sortedEndpoints {
		l.requestReport(ep)
	}
}

// checkResumed ends the wait after a pause once a request that was sent since then has been answered
// by every listed endpoint, or has failed there. Jobs whose leases expired during the pause have been
// abandoned by then.
func (l *Leader) checkResumed() {
	for _, ep := range l.sortedEndpoints {
		if ep.resolvedSeq < l.resumedSeq && !ep.unlisted {
			return
		}
	}
	l.resuming = false
}
