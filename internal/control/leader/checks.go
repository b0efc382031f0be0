package leader

import (
	"slices"
	"strconv"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// checkEndpoint checks the tasks at an endpoint and sends the watch or renewal that is due.
func (l *Leader) checkEndpoint(ep *endpointState) {
	for _, t := range ep.sortedTasks() {
		l.checkTask(t, ep)
	}
	ep.dropLost(l.now)
	if !ep.watching {
		l.sendHold(ep, Watch)
	}
	if ep.contacted && !ep.tokenAccepted() {
		l.sendHold(ep, Renewal)
	}
	if len(ep.tasks) > 0 && l.now-ep.leaseSentAt >= l.config.Timeouts.AttemptLease/renewalsPerLease && l.now-ep.renewalSentAt >= l.config.Timeouts.AttemptLease/renewalsPerLease {
		l.sendHold(ep, Renewal)
	}
}

// checkTask ends an attempt whose lease has certainly expired or whose stop has taken effect, and
// repeats a stop that is not acknowledged.
func (l *Leader) checkTask(t *task, ep *endpointState) {
	if l.checkSuspect(t, ep) {
		return
	}
	switch t.phase {
	case stopping:
		if t.stopAckedAt != 0 && l.now >= t.stopAckedAt+l.config.Timeouts.StopDuration+leaseMargin {
			l.endAttempt(t, EndStopDuration{})
			return
		}
		if l.attemptExpired(t, ep) {
			l.endAttempt(t, EndLeaseExpired{})
			return
		}
		if t.stopAckedAt == 0 && l.now >= t.stopSentAt+stopRetryInterval {
			l.sendStop(t)
		}
	case running:
		l.checkRunning(t, ep)
	case starting:
		if l.attemptExpired(t, ep) {
			l.logAttempt(AttemptLost, t, ep, ep.lossDetail("lease expired"))
			t.avoidEndpoint, t.lostThere = ep, true
			l.endAttempt(t, EndLeaseExpired{})
		}
	case waiting, done, ended:
	}
}

// stopRetryInterval is how long a stop may go unanswered; the answer takes a round trip.
const stopRetryInterval = clock.Millis(120)

// checkRunning handles an attempt that takes longer than expected or whose endpoint does not
// report.
func (l *Leader) checkRunning(t *task, ep *endpointState) {
	if l.attemptExpired(t, ep) {
		l.logAttempt(AttemptLost, t, ep, ep.lossDetail("lease expired"))
		t.avoidEndpoint, t.lostThere = ep, true
		l.endAttempt(t, EndLeaseExpired{})
		return
	}
	if l.now >= t.startedAt+t.expectedDuration+startOverhead && l.now-ep.lastReportAt >= endReportTimeout && l.now-ep.renewalSentAt >= endReportTimeout {
		// The attempt should have ended, and the answer that reports it may have been lost.
		l.sendHold(ep, Renewal)
	}
	if float64(l.now-t.startedAt) < overdueFactor*float64(t.expectedDuration)+float64(progressInterval) {
		return
	}
	if l.now-t.percentAt >= stallTimeout && ep.lastReportAt >= t.percentAt+stallTimeout {
		l.logAttempt(AttemptStalled, t, ep, strconv.Itoa(t.percent)+" % done, no progress for "+strconv.FormatInt(int64(l.now-t.percentAt), 10)+" ms")
		l.countEndpointFailure(t, ep)
		t.avoidEndpoint = ep
		l.stopAttempt(t)
		return
	}
	if l.now-ep.renewalSentAt >= progressInterval {
		l.sendHold(ep, Renewal)
	}
}

// stopOrphans stops the orphans whose adoption window has passed. It removes those that ended
// longer than historyRetention ago and stopped ones whose lease has expired.
func (l *Leader) stopOrphans() {
	for name, attempts := range l.orphans {
		for _, o := range slices.Clone(attempts) {
			if l.now < o.endpoint.adoptionEnd {
				continue
			}
			switch {
			case o.ended && l.now >= o.foundAt+historyRetention:
				l.orphans.remove(name, o.endpoint)
			case !o.ended && o.stopSentAt != 0 && l.orphanExpired(o):
				l.orphans.remove(name, o.endpoint)
				o.endpoint.recordLost(l.crashedOrphan(name, o), l.now)
				l.logOrphanEnd(name, o, EndLeaseExpired{})
			default:
				l.stopOrphan(name, o)
			}
		}
	}
}
