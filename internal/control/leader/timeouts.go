package leader

import (
	"github.com/juju/errors"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// Timeouts bound how long a leader waits. DefaultTimeouts derives them from the bounds of the
// platform.
type Timeouts struct {
	// AttemptLease is how long the attempts at an endpoint go on without another request.
	AttemptLease clock.Millis
	// LongestLease is the longest lease that endpoints grant; they cap longer ones.
	LongestLease clock.Millis
	// JobLease is how long a leader runs a job without a renewal from its entry VM.
	JobLease clock.Millis
	// SubmissionTimeout is how long a submission may be in transit.
	SubmissionTimeout clock.Millis
	// StopDuration is how long an endpoint takes to end an attempt after it has received a stop.
	StopDuration clock.Millis
	// ResendAfter is how long after its connection broke the caller of a job sends it again.
	ResendAfter clock.Millis
	// DrainNotice is how long after the store has accepted that it is leaving an endpoint may be sent
	// tasks.
	DrainNotice clock.Millis
	// EvacuationNotice is how long after the store has accepted the operator's request to evacuate a data
	// centre tasks may start there. 0 means that the deployment has no evacuations.
	EvacuationNotice clock.Millis
}

const (
	// maxAttemptLease bounds the lease of attempts, so that the tasks of an endpoint that is cut off start
	// elsewhere soon.
	maxAttemptLease = clock.Millis(600)
	// minAttemptLease allows a renewal each 25 ms.
	minAttemptLease = clock.Millis(100)
	// jobLeaseShare and submissionShare are the parts of the resend time that JobLease and
	// SubmissionTimeout take; the rest is for the lease of the attempts (see
	// Timeouts.EarlierAttemptsExpireAfter).
	jobLeaseShare, submissionShare = 0.27, 0.193
	// maxSubmissionTimeout is how long a submission may be in transit at most. A round trip takes a few
	// milliseconds.
	maxSubmissionTimeout = clock.Millis(250)
	// minNewEndpointDelay bounds Timeouts.newEndpointDelay, and listReads is how long two reads of the list
	// of endpoints take.
	minNewEndpointDelay = clock.Millis(1500)
	listReads           = clock.Millis(1150)
	// renewalsPerLease allows three renewals to be lost before a lease expires.
	renewalsPerLease = 4
	// adoptionWindow is how long a new leader keeps the attempts that it finds, so that jobs that
	// entry VMs submit again can adopt them. Heartbeats, sent every 100 ms, announce a new leader to
	// the entry VMs within two intervals. With a longer window, attempts could outlast the time after
	// which callers resend a job.
	adoptionWindow = clock.Millis(250)
	// clockDrift is how much slower than ours the clock of an endpoint may be (2 %, as the platform
	// documents).
	clockDrift = 0.02
	// leaseMargin covers the rounding of clocks and the wake-up of the control goroutine.
	leaseMargin = clock.Millis(20)
	// idleWatchWait is how long an endpoint without attempts may wait before it answers. The crash
	// of an idle endpoint is noticed this late.
	idleWatchWait = clock.Millis(1000)
	// suspectAfterHolds unanswered holds in a row make an endpoint suspected; it gets no tasks
	// then.
	suspectAfterHolds = 1
	// stallTimeout is how long an attempt may make no progress before it counts as stalled.
	stallTimeout = clock.Millis(160)
	// overdueFactor is the multiple of the expected duration after which progress is monitored.
	overdueFactor = 1.6
	// endReportTimeout is how long an endpoint may send no report after an attempt should have
	// ended. Without it, a lost answer to a watch is noticed after 230 ms, when urgent jobs are
	// late.
	endReportTimeout = clock.Millis(50)
	// progressInterval is how often an endpoint with overdue attempts is asked for a report.
	progressInterval = clock.Millis(80)
	// minListAge allows a leader to read the list of endpoints each 100 ms.
	minListAge = clock.Millis(300)
	// minEvacuationAge allows a VM to read the evacuations each 100 ms.
	minEvacuationAge = clock.Millis(300)
)

// DefaultTimeouts derives the timeouts from the longest lease that endpoints grant, the time that a
// stop takes, the time for which an endpoint that is leaving takes tasks, and the time after which callers
// resend a job: by then, every attempt of the job before has to have ended.
func DefaultTimeouts(longestLease, stopDuration, resendAfter, drainNotice clock.Millis) Timeouts {
	t := Timeouts{
		LongestLease: longestLease, StopDuration: stopDuration, ResendAfter: resendAfter, DrainNotice: drainNotice,
		JobLease:          clock.Millis(float64(resendAfter) * jobLeaseShare),
		SubmissionTimeout: min(maxSubmissionTimeout, clock.Millis(float64(resendAfter)*submissionShare)),
	}
	left := resendAfter - t.SubmissionTimeout - t.JobLease - stopDuration - leaseMargin
	t.AttemptLease = min(maxAttemptLease, longestLease*6/10, clock.Millis(float64(left)/(1+clockDrift)))
	return t
}

// Validate returns an error if the bounds leave no time for the lease of an attempt.
func (t Timeouts) Validate() error {
	if t.AttemptLease < minAttemptLease {
		return errors.NotValidf("a longest lease of %d ms, a stop of %d ms and a resend after %d ms leave a lease of %d ms, less than %d ms: bounds", t.LongestLease, t.StopDuration, t.ResendAfter, t.AttemptLease, minAttemptLease)
	}
	if t.MaxListAge() < minListAge {
		return errors.NotValidf("a notice of %d ms before an endpoint leaves allows a list of endpoints that is %d ms old, less than %d ms: bounds", t.DrainNotice, t.MaxListAge(), minListAge)
	}
	if t.EvacuationNotice != 0 && t.MaxEvacuationAge() < minEvacuationAge {
		return errors.NotValidf("a notice of %d ms before an evacuation takes effect allows %d ms to learn of it, less than %d ms: bounds", t.EvacuationNotice, t.MaxEvacuationAge(), minEvacuationAge)
	}
	return nil
}

// MaxEvacuationAge is how long after its data centre was known to be clear a leader may start a task: the
// operator may have asked right then for it to be empty, and the start has to take effect in time.
func (t Timeouts) MaxEvacuationAge() clock.Millis {
	return t.EvacuationNotice - sendDelay - RequestLifetime
}

// MaxListAge is how long ago the list of endpoints may have been read that decides where a task starts. An
// endpoint that has reported since that it is leaving has to receive the start in time.
func (t Timeouts) MaxListAge() clock.Millis {
	return t.DrainNotice - sendDelay - RequestLifetime
}

// AttemptsExpireAfter is how long after the last renewal from an entry VM the last attempt of its
// jobs has ended, even if the leader froze at the same time: the job lease expires first, then the
// lease of the attempt.
func (t Timeouts) AttemptsExpireAfter() clock.Millis {
	return t.JobLease + t.attemptLeaseExpiry() + t.StopDuration
}

// EarlierAttemptsExpireAfter is how long after a leader has taken over, or has received a job again,
// the last attempt that an earlier leader can have started has ended. The last message of the job's
// entry VM to the earlier leader may have been in transit.
func (t Timeouts) EarlierAttemptsExpireAfter() clock.Millis {
	return t.SubmissionTimeout + t.AttemptsExpireAfter()
}

// newEndpointDelay is how long a leader waits before it uses an endpoint that was added to the list, so
// that the next leader has read of it too if it fails. It exceeds the time for which a leader runs a job
// without a renewal by two reads of the list.
func (t Timeouts) newEndpointDelay() clock.Millis {
	return max(minNewEndpointDelay, t.JobLease+listReads)
}

// attemptLeaseExpiry is how long after a request was sent the lease that it granted has certainly
// expired.
func (t Timeouts) attemptLeaseExpiry() clock.Millis {
	return expiry(t.AttemptLease)
}

// cappedLeaseExpiry is how long after a request was issued a lease has certainly expired that another
// incarnation of the endpoint granted. The end of the lease was computed from the clock of the
// earlier incarnation, so it may be far in the future by that of the new one.
func (t Timeouts) cappedLeaseExpiry() clock.Millis {
	return sendDelay + RequestLifetime + expiry(t.LongestLease)
}

// expiry is how long a lease lasts at most by the leader's clock.
func expiry(lease clock.Millis) clock.Millis {
	return lease + clock.Millis(float64(lease)*clockDrift) + leaseMargin
}

// sendDelay is how long after it was issued a request may be sent. Goroutines run within some
// milliseconds unless the VM is paused.
const sendDelay = clock.Millis(200)

// RequestLifetime is how long after it was sent a request may take effect at an endpoint that does
// not carry it out late: its connection is closed by then.
const RequestLifetime = clock.Millis(300)
