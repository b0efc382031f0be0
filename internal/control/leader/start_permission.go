package leader

import (
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/vm"
)

// StartPermission is what allows a start of a task that may have had an earlier attempt. It is one
// of the types of this file.
type StartPermission interface{ startPermission() }

// TokensAccepted means that every endpoint of a complete list has accepted the leader's token, so
// that the attempts of earlier leaders are known.
type TokensAccepted struct {
	List EndpointListState
	// Accepted counts the listed endpoints that have accepted the token, Unlisted those that are no
	// longer listed and were passed over.
	Accepted, Unlisted int
}

// ExpiryAwaited means that every attempt of an earlier leader has expired since the leader received
// the job.
type ExpiryAwaited struct{ Waited clock.Millis }

// EarlierAttemptEnded means that the earlier attempt at this leader counts as ended.
type EarlierAttemptEnded struct{ Attempt *EndedAttempt }

// EarlierSubmissionEnded means that none of the attempts of an earlier submission to this leader
// is left. Last is the highest number of those.
type EarlierSubmissionEnded struct{ Last job.Attempt }

func (TokensAccepted) startPermission()         {}
func (ExpiryAwaited) startPermission()          {}
func (EarlierAttemptEnded) startPermission()    {}
func (EarlierSubmissionEnded) startPermission() {}

// StartedAttempt is an attempt of a task that may have had an earlier one.
type StartedAttempt struct {
	Attempt job.Attempt
	Token   shard.Token
	Lease   LeaseGrant
	// Permissions are what allowed the start; each of them was required.
	Permissions []StartPermission
}

// EndpointList says which list of the endpoints of the shard a leader has.
type EndpointList struct {
	// Version is that of the store. The list has every endpoint that earlier leaders knew at ReadAt.
	Version int64
	ReadAt  clock.Millis
	// LastMissingAt is when an endpoint last disappeared from the list, or when the VM started.
	LastMissingAt clock.Millis
	// HandedOverBy is the leader that has handed over the shard with its own list, or empty.
	HandedOverBy vm.Incarnation
}

// EndpointListState is a list of endpoints and the times since its points in time.
type EndpointListState struct {
	EndpointList
	Age, SinceMissing clock.Millis
}

// At returns the state of the list at a time.
func (e EndpointList) At(now clock.Millis) EndpointListState {
	return EndpointListState{EndpointList: e, Age: now - e.ReadAt, SinceMissing: now - e.LastMissingAt}
}

// startPermissions returns what allows the task to start now, or nothing for an ordinary first
// start. lastAttempt is the highest attempt number of the task at this leader so far.
func (l *Leader) startPermissions(t *task, lastAttempt job.Attempt) []StartPermission {
	var all []StartPermission
	if t.job.Adopt {
		if l.adoptionWaitEnded(t.job) {
			all = append(all, ExpiryAwaited{Waited: l.now - t.job.receivedAt})
		} else {
			all = append(all, l.tokensAccepted())
		}
	}
	if e := t.lastEnd; e != nil {
		if _, listed := e.End.(EndListed); !listed {
			all = append(all, EarlierAttemptEnded{Attempt: e})
		}
	} else if lastAttempt > 0 {
		all = append(all, EarlierSubmissionEnded{Last: lastAttempt})
	}
	return all
}

func (l *Leader) tokensAccepted() TokensAccepted {
	p := TokensAccepted{List: l.list.At(l.now)}
	for _, ep := range l.sortedEndpoints {
		if ep.unlisted {
			p.Unlisted++
		} else {
			p.Accepted++
		}
	}
	return p
}

// logStart logs the start of the current attempt of a task, unless it is an ordinary first one.
func (l *Leader) logStart(t *task, lastAttempt job.Attempt) {
	if p := l.startPermissions(t, lastAttempt); len(p) > 0 {
		l.emit(LogDecision{Decision: AttemptStarted, Job: t.job.Job.ID, Task: t.name, Endpoint: t.endpoint.Endpoint, Details: &StartedAttempt{
			Attempt: t.attempt, Token: l.tokenFor(t.endpoint), Lease: t.startGrant, Permissions: p,
		}})
	}
}
