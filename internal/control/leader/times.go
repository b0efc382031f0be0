package leader

import "github.com/sequoiacart/sequoiacart/pkg/clock"

// Timeouts bound how long a home waits. Default derives them from the bounds of the platform.
type Timeouts struct {
	// AttemptLease is how long the runs of an endpoint live without another order.
	AttemptLease clock.Millis
	// JobLease is how long a home runs a job without hearing from its entry VM.
	JobLease clock.Millis
	// StopDuration is how long an endpoint takes to end a run that it was told to stop.
	StopDuration clock.Millis
}

const (
	// leaseLongest keeps Interest, Lease and the margins below the 1,300 ms after which
	// callers of both deployments send a job again: 350 + 1.02 * 600 + 60 < 1,100.
	leaseLongest = clock.Millis(600)
	// interestShare of the time before a job is sent again is left to the entry VM's
	// silence; the rest is for the lease (see Times.RunsGoneAfter).
	interestShare = 0.27
	// renewEvery of a lease: three renewals may be lost before it lapses.
	renewEvery = 4
	// claimWindow is how long a new home keeps runs that it finds for entry VMs to claim.
	// They learn of it within two beats of 100 ms. A longer window would let runs outlive
	// the time after which callers send a job again.
	claimWindow = clock.Millis(250)
	// clockDrift is how much slower than ours the clock of an endpoint may be (2 %, from
	// the platform's pages).
	clockDrift = 0.02
	// leaseMargin covers the rounding of clocks and the wake-up of the control goroutine.
	leaseMargin = clock.Millis(20)
	// watchIdle is how long an endpoint without runs may wait before it answers; it is
	// also how late a crash of an idle endpoint is noticed.
	watchIdle = clock.Millis(1000)
	// unansweredHolds in a row make an endpoint suspect, so that no task is placed there.
	unansweredHolds = 1
	// stallAfter is how long a run may show no progress before it counts as stalled.
	stallAfter = clock.Millis(160)
	// overdue is the multiple of the expected run time after which progress is watched.
	overdue = 1.6
	// endUnheardFor is how long an endpoint may be silent while a run should have ended there.
	// A lost answer to a watch would otherwise be noticed after 230 ms, when urgent jobs are
	// late.
	endUnheardFor = clock.Millis(50)
	// lookEvery is how often an endpoint with overdue runs is asked for progress.
	lookEvery = clock.Millis(80)
)

// DefaultTimeouts derives the times from the longest lease that endpoints give, the time
// that a stop takes and the time after which callers send a job again.
func DefaultTimeouts(longestLease, stopTakes, resend clock.Millis) Timeouts {
	return Timeouts{
		AttemptLease: min(leaseLongest, longestLease*6/10),
		JobLease:     clock.Millis(float64(resend) * interestShare),
		StopDuration: stopTakes,
	}
}

// AttemptsExpireAfter is how long after an entry VM fell silent the last run for it is gone,
// even if its home froze at the same moment: the interest lapses, and then the lease.
func (t Timeouts) AttemptsExpireAfter() clock.Millis {
	return t.JobLease + t.leaseLapse() + t.StopDuration
}

// leaseLapse is how long after an order was sent the lease it gave is surely over.
func (t Timeouts) leaseLapse() clock.Millis {
	return t.AttemptLease + clock.Millis(float64(t.AttemptLease)*clockDrift) + leaseMargin
}
