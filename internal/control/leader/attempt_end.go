package leader

import (
	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// AttemptEnd is why an attempt counts as ended. It is one of the types of this file.
type AttemptEnd interface{ attemptEnd() }

// EndListed means that the endpoint has listed the attempt as ended.
type EndListed struct{ End endpoint.End }

// EndAbsentAfterStop means that a report requested after the acknowledgement of a stop does not
// list the attempt.
type EndAbsentAfterStop struct{}

// EndStopDuration means that StopDuration has passed since a stop was acknowledged.
type EndStopDuration struct{}

// EndLeaseExpired means that the lease has expired, counted from the latest request that could have
// extended it.
type EndLeaseExpired struct{}

// EndRestarted means that the endpoint has restarted under its ID.
type EndRestarted struct{}

// EndReplaced means that another instance answers at the address of the endpoint.
type EndReplaced struct{}

// EndRejected means that the endpoint has rejected the start.
type EndRejected struct{ Reason endpoint.Rejection }

// EndAbsent means that a report does not list an attempt of an earlier leader any more.
type EndAbsent struct{}

func (EndListed) attemptEnd()          {}
func (EndAbsentAfterStop) attemptEnd() {}
func (EndStopDuration) attemptEnd()    {}
func (EndLeaseExpired) attemptEnd()    {}
func (EndRestarted) attemptEnd()       {}
func (EndReplaced) attemptEnd()        {}
func (EndRejected) attemptEnd()        {}
func (EndAbsent) attemptEnd()          {}

// LeaseGrant is how the lease of a request was computed.
type LeaseGrant struct {
	// SentAt is when the request was sent, or 0 if there was none.
	SentAt clock.Millis
	// Until is the end of the lease and Reading what it was computed from, by the endpoint's clock.
	// The reading was Age old.
	Until, Reading endpoint.Clock
	Age            clock.Millis
	// ReadIn is the incarnation that reported the reading, or 0 if the answer did not name it.
	ReadIn endpoint.Incarnation
	// SentTo is the incarnation that the leader knew when it sent the request.
	SentTo endpoint.Incarnation
}

// EndedAttempt is an attempt that counts as ended.
type EndedAttempt struct {
	Attempt  job.Attempt
	Endpoint endpoint.Endpoint
	End      AttemptEnd
	// Start is the lease of the start; its SentAt is 0 for an attempt of an earlier leader.
	Start LeaseGrant
	// LastGrant is the latest request of this leader that extended leases at the endpoint.
	LastGrant LeaseGrant
	// SinceExtension is the time since a request could last have extended the lease.
	SinceExtension clock.Millis
	// Confirmed means that the endpoint has confirmed the start.
	Confirmed bool
}

// leaseGrant describes a lease that is granted now, until the given time.
func (ep *endpointState) leaseGrant(until endpoint.Clock, now clock.Millis) LeaseGrant {
	return LeaseGrant{SentAt: now, Until: until, Reading: ep.clockReading, Age: now - ep.clockReadAt, ReadIn: ep.clockReadIn, SentTo: ep.Born}
}

// endedAttempt describes the current attempt of a task, which counts as ended.
func (l *Leader) endedAttempt(t *task, end AttemptEnd) *EndedAttempt {
	ep := t.endpoint
	return &EndedAttempt{
		Attempt: t.attempt, Endpoint: ep.Endpoint, End: end, Start: t.startGrant, LastGrant: ep.lastGrant,
		SinceExtension: l.now - ep.leaseSentAt, Confirmed: t.confirmedAt != 0,
	}
}

// logEnd logs an attempt that counts as ended without being listed as ended. A rejected start has
// run nothing, so only the line of the next start names it.
func (l *Leader) logEnd(t *task, e *EndedAttempt) {
	switch e.End.(type) {
	case EndListed, EndRejected:
		return
	default:
		l.emit(LogDecision{Decision: AttemptEnded, Job: t.job.Job.ID, Task: t.name, Endpoint: e.Endpoint, Details: e})
	}
}

// logOrphanEnd logs an attempt of an earlier leader that counts as ended.
func (l *Leader) logOrphanEnd(name job.TaskName, o orphan, end AttemptEnd) {
	ep := o.endpoint
	l.emit(LogDecision{Decision: AttemptEnded, Task: name, Endpoint: ep.Endpoint, Details: &EndedAttempt{
		Attempt: o.attempt, Endpoint: ep.Endpoint, End: end, LastGrant: ep.lastGrant,
		SinceExtension: l.now - max(o.foundAt, ep.leaseSentAt), Confirmed: true,
	}})
}

// removeOrphans removes the orphans at an endpoint, whose attempts have ended.
func (l *Leader) removeOrphans(ep *endpointState, end AttemptEnd) {
	for name := range l.orphans {
		if o, ok := l.orphans.get(name, ep); ok {
			l.orphans.remove(name, ep)
			if !o.ended {
				l.logOrphanEnd(name, o, end)
			}
		}
	}
}

// ActiveAttempts are attempts that may be running when their job or their leader ends. More counts those that are
// not listed.
type ActiveAttempts struct {
	Attempts []ActiveAttempt
	More     int
}

// maxLoggedAttempts bounds the attempts in a line of the log.
const maxLoggedAttempts = 64

// ActiveAttempt is an attempt that may be running.
type ActiveAttempt struct {
	Task     job.TaskName
	Attempt  job.Attempt
	Endpoint endpoint.Endpoint
	// Start is the lease of the start, as in EndedAttempt.
	Start     LeaseGrant
	Confirmed bool
}

func (*ActiveAttempts) details() {}

// activeAttempts lists the current attempts of tasks.
func activeAttempts(tasks []*task) *ActiveAttempts {
	active := &ActiveAttempts{}
	for _, t := range tasks {
		switch {
		case !t.holdsResources():
		case len(active.Attempts) == maxLoggedAttempts:
			active.More++
		default:
			active.Attempts = append(active.Attempts, ActiveAttempt{Task: t.name, Attempt: t.attempt, Endpoint: t.endpoint.Endpoint, Start: t.startGrant, Confirmed: t.confirmedAt != 0})
		}
	}
	return active
}
