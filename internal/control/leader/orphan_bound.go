package leader

import "github.com/sequoiacart/sequoiacart/pkg/clock"

// OrphansEndBy returns when the attempts in the shard have to have ended that no job adopts after this
// leader: the earliest time at which a caller that has lost its connection may send its job again. It
// is 0 if that is unknown. Each leader passes it on to the next, so that several of them that are lost
// in a row do not extend the leases of such attempts beyond it.
func (l *Leader) OrphansEndBy(now clock.Millis) clock.Millis {
	timeouts := l.config.Timeouts
	// Jobs may be submitted after this.
	end := now - timeouts.SubmissionTimeout + timeouts.ResendAfter
	for _, j := range l.jobs {
		end = min(end, j.waitedAt+timeouts.ResendAfter)
	}
	if l.mayHaveOrphans() {
		end = min(end, l.config.OrphansEndBy)
	}
	return end
}

// mayHaveOrphans reports whether attempts of earlier leaders may be running that no job has adopted.
func (l *Leader) mayHaveOrphans() bool {
	if !l.listed || !l.allTokensAccepted() {
		return true
	}
	for _, ep := range l.sortedEndpoints {
		if ep.activeOrphans > 0 {
			return true
		}
	}
	return false
}

// latestOrphanLease returns the latest end of a lease, counted from now, that has certainly expired at
// OrphansEndBy.
func (l *Leader) latestOrphanLease() clock.Millis {
	return l.now + clock.Millis(float64(l.config.OrphansEndBy-l.now-leaseMargin)/(1+clockDrift))
}
