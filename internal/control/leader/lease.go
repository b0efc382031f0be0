package leader

import (
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// earliestClock is a lower bound of the endpoint's clock now, so that a lease computed from it
// never lasts longer than intended.
func (ep *endpointState) earliestClock(now clock.Millis) endpoint.Clock {
	return ep.clockReading + endpoint.Clock(float64(now-ep.clockReadAt)*(1-clockDrift))
}

// setClock records a reading of the clock of an endpoint's incarnation; 0 is no reading, or an
// unknown incarnation.
func (ep *endpointState) setClock(c endpoint.Clock, incarnation endpoint.Incarnation, now clock.Millis, event SequenceNumber) {
	if c == 0 {
		return
	}
	// A reading is stale by the time its answer took. The latest one always replaces the one
	// before, since the drift of the endpoint's clock makes an older reading unsafe.
	ep.clockReading, ep.clockReadAt, ep.clockReadIn, ep.clockReadSeq = c, now, incarnation, event
}

// clockBegan reports whether the clock in the answer to a hold has begun anew: the hold was sent after a later
// reading. Two incarnations may have the same name, which is a time of day.
func (ep *endpointState) clockBegan(e HoldEnded) bool {
	return e.Report.Clock != 0 && e.Sequence >= ep.clockReadSeq && e.Report.Clock < ep.clockReading
}

// clockWentBack reports whether a reading is of a later incarnation than the one that the leader
// knows: it is further behind than an answer can be late.
func (ep *endpointState) clockWentBack(c endpoint.Clock) bool {
	return c != 0 && c+endpoint.Clock(RequestLifetime) < ep.clockReading
}

const (
	// orphanLease is how long after the adoption window the attempts at an endpoint with orphans may
	// go on; a stop takes 50 ms. The time after which callers resend the jobs may end them earlier (see
	// OrphansEndBy).
	orphanLease = clock.Millis(150)
	// lateOrderLimit is how long after it was sent a request may be carried out. The platform names no
	// bound but seconds; the description of its faults says up to 12 s.
	lateOrderLimit = 15 * clock.Second
	// stopAckTimeout is how long the acknowledgement of a stop may take; a round trip takes 2 ms.
	stopAckTimeout = clock.Millis(50)
)

// leaseUntil returns the end of the lease that a request to an endpoint may grant now. A request
// extends the lease of everything that runs there, so it reports false while an attempt has to end
// that the endpoint may not have been told to stop, and after a pause, until it is known which have
// to.
func (l *Leader) leaseUntil(ep *endpointState) (endpoint.Clock, bool) {
	lease := l.config.Timeouts.AttemptLease
	if ep.activeOrphans > 0 {
		lease = min(lease, ep.orphanLeaseEnd-l.now)
	}
	if l.resuming || ep.clockReading == 0 || ep.mayHaveRestarted() || lease <= 0 || ep.hasOverdueStop(l.now) {
		return 0, false
	}
	return ep.earliestClock(l.now) + endpoint.Clock(lease), true
}

// hasOverdueStop reports whether the stop of an attempt whose job has ended is not acknowledged.
func (ep *endpointState) hasOverdueStop(now clock.Millis) bool {
	for _, t := range ep.tasks {
		if t.phase == stopping && t.job.answered && t.stopAckedAt == 0 && now >= t.stopBegunAt+stopAckTimeout {
			return true
		}
	}
	return false
}

// attemptExpired reports whether the lease of an attempt has certainly expired.
func (l *Leader) attemptExpired(t *task, ep *endpointState) bool {
	timeouts := l.config.Timeouts
	expiry := max(ep.leaseSentAt+timeouts.attemptLeaseExpiry(), ep.cappedLeaseEnd)
	if t.confirmedAt == 0 || t.confirmedIn != ep.Born {
		// An incarnation that the leader does not know of may have carried out the start.
		expiry = max(expiry, t.startedAt+timeouts.cappedLeaseExpiry())
	}
	if t.confirmedAt == 0 && (ep.mayHaveRestarted() || t.sentTo != ep.Born && !ep.contacted) {
		// The present incarnation may have received the start, and carries it out late unless it has
		// accepted a higher token.
		expiry = max(expiry, t.startedAt+lateOrderLimit)
	}
	return l.now >= expiry
}

// orphanExpired reports whether the lease of an attempt of an earlier leader has certainly expired.
func (l *Leader) orphanExpired(o orphan) bool {
	timeouts := l.config.Timeouts
	ep := o.endpoint
	return l.now >= max(o.foundAt+timeouts.cappedLeaseExpiry(), ep.leaseSentAt+timeouts.attemptLeaseExpiry(), ep.cappedLeaseEnd)
}

// tokenFor returns the fencing token of requests to an endpoint.
func (l *Leader) tokenFor(ep *endpointState) shard.Token { return l.config.Token.InEpoch(ep.epoch) }

// raiseToken gives an endpoint that has restarted a higher token. The requests that were meant for
// the earlier incarnation have no effect in the new one once it has accepted the higher token, and
// the leases that they may have extended before expire at cappedLeaseEnd.
func (l *Leader) raiseToken(ep *endpointState) {
	ep.epoch++
	// A request of this event may have been sent under the former token.
	l.sequence++
	ep.contacted, ep.tokenSeq = false, l.sequence
	ep.clockReading = 0
	ep.cappedLeaseEnd = l.now + l.config.Timeouts.cappedLeaseExpiry()
	l.requestReport(ep)
}

// fenceNextIncarnation raises the token of an endpoint whose process seems to have ended, and reports
// whether it did. The first request that reaches the next incarnation then fences the orders that are
// still in transit. Nothing else changes, since the same incarnation may answer.
func (l *Leader) fenceNextIncarnation(ep *endpointState) bool {
	if !ep.contacted || ep.acceptedSeq < ep.tokenSeq || ep.epoch >= maxFencingEpoch {
		return false
	}
	ep.epoch++
	// A request of this event may have been sent under the former token.
	l.sequence++
	ep.tokenSeq = l.sequence
	return true
}

// maxFencingEpoch leaves half of the epochs of a token to incarnations that are known.
const maxFencingEpoch = shard.MaxEpoch / 2

// acceptToken records that an endpoint has answered a request.
func (l *Leader) acceptToken(ep *endpointState, request SequenceNumber) {
	ep.acceptedSeq = max(ep.acceptedSeq, request)
	if ep.contacted || request < ep.tokenSeq {
		return
	}
	ep.contacted = true
	if ep.adoptionEnd == 0 {
		ep.adoptionEnd = l.now + adoptionWindow
		ep.orphanLeaseEnd = min(ep.adoptionEnd+orphanLease, l.latestOrphanLease())
	}
	if ep.cappedLeaseEnd != 0 {
		ep.cappedLeaseEnd = l.now + l.config.Timeouts.cappedLeaseExpiry()
	}
}

// tokenAccepted reports whether the endpoint has answered under its present token, so that it
// rejects the requests of every earlier leader.
func (ep *endpointState) tokenAccepted() bool {
	return ep.contacted && ep.acceptedSeq >= ep.leadershipSeq
}
