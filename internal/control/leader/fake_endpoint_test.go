package leader

import (
	"cmp"
	"maps"
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/shard"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

type fakeAttempt struct {
	name      job.TaskName
	number    job.Attempt
	startedAt clock.Millis
	endsAt    clock.Millis
	stopping  bool
	stalled   bool
	// stray means that the start was sent to an earlier incarnation, and carried out before a leader
	// had contacted the present one. No leader can prevent that.
	stray bool
}

type fakeEndpoint struct {
	endpoint.Endpoint
	speed float64
	// bornAt is when the clock started at clockStart; it is slower than ours by the factor drift.
	bornAt clock.Millis
	// contacted means that a request has arrived that was sent since then.
	contacted     bool
	clockStart    endpoint.Clock
	drift         float64
	token         shard.Token
	leaseEnd      endpoint.Clock
	attempts      map[job.TaskName]*fakeAttempt
	lastAttempts  map[job.TaskName]job.Attempt
	ended         []endpoint.EndedAttempt
	lastEndNumber endpoint.EndNumber
	down          bool
	// refusing makes the address refuse connections, as that of an endpoint that is down or behind a
	// link that resets connections. replaced means that another instance answers there.
	refusing, replaced bool
	// failing makes every attempt fail at once, stalling makes every attempt stop progressing.
	failing, stalling bool
}

func (c *cluster) statusReport(e *fakeEndpoint) *endpoint.StatusReport {
	report := &endpoint.StatusReport{Incarnation: e.Born, Clock: e.clock(c.now), Ended: slices.Clone(e.ended)}
	for _, attempt := range e.attempts {
		percent := 0
		if !attempt.stalled && attempt.endsAt > attempt.startedAt {
			percent = int(100 * (c.now - attempt.startedAt) / (attempt.endsAt - attempt.startedAt))
		}
		report.Active = append(report.Active, endpoint.ActiveAttempt{Task: attempt.name, Attempt: attempt.number, Percent: percent})
	}
	slices.SortFunc(report.Active, func(a, b endpoint.ActiveAttempt) int { return cmp.Compare(a.Task, b.Task) })
	return report
}

func (c *cluster) start(e *fakeEndpoint, a Start) (endpoint.StartResult, endpoint.Clock) {
	at := e.clock(c.now)
	if c.boundConnections && a.Endpoint.Born != e.Born {
		return endpoint.Rejected{Reason: endpoint.RejectedNotSent}, 0
	}
	if a.Token < e.token {
		return endpoint.Rejected{Reason: endpoint.RejectedFenced}, at
	}
	e.token = a.Token
	if a.LeaseUntil <= at {
		return endpoint.Rejected{Reason: endpoint.RejectedExpired}, at
	}
	e.leaseEnd = max(e.leaseEnd, min(a.LeaseUntil, at+longestLease))
	if attempt := e.attempts[a.Task]; attempt != nil && attempt.number == a.Attempt {
		return endpoint.Started{}, at
	}
	if e.lastAttempts[a.Task] >= a.Attempt {
		return endpoint.Rejected{Reason: endpoint.RejectedStale}, at
	}
	if job.MilliCores(len(e.attempts)+1)*taskCPU > e.Capacity.CPU {
		if !c.unguarded {
			return endpoint.Rejected{Reason: endpoint.RejectedNoCapacity}, at
		}
		c.overloads++
	}
	e.lastAttempts[a.Task] = a.Attempt
	attempt := &fakeAttempt{name: a.Task, number: a.Attempt, startedAt: c.now, stalled: e.stalling, stray: !e.contacted}
	attempt.endsAt = c.now + clock.Millis(float64(c.duration(a.Task))/e.speed)
	if e.failing {
		attempt.endsAt = c.now + 1
	}
	e.attempts[a.Task] = attempt
	if after, ok := c.deadly[a.Task]; ok {
		born := e.Born
		c.schedule(after, func() {
			if e.Born == born && !e.down && e.attempts[a.Task] == attempt {
				c.crashCounts[a.Task]++
				c.crashFor(e, c.downTime)
			}
		})
	}
	return endpoint.Started{}, at
}

func (c *cluster) stop(e *fakeEndpoint, a Stop) bool {
	if a.Token < e.token {
		return false
	}
	e.token = a.Token
	e.lastAttempts[a.Task] = max(e.lastAttempts[a.Task], a.Attempt)
	if attempt := e.attempts[a.Task]; attempt != nil && attempt.number <= a.Attempt && !attempt.stopping {
		attempt.stopping, attempt.stalled = true, false
		attempt.endsAt = min(attempt.endsAt, c.now+testStopDuration)
	}
	return true
}

// endDueAttempts ends the attempts that are finished, stopped or out of lease.
func (c *cluster) endDueAttempts() {
	for _, e := range c.sortedEndpoints {
		if len(e.attempts) == 0 {
			continue
		}
		for _, name := range slices.Sorted(maps.Keys(e.attempts)) {
			attempt := e.attempts[name]
			end := endpoint.EndDone
			switch {
			case e.down:
				delete(e.attempts, name)
				continue
			case e.clock(c.now) >= e.leaseEnd:
				end = endpoint.EndExpired
			case attempt.stalled || c.now < attempt.endsAt:
				continue
			case attempt.stopping:
				end = endpoint.EndStopped
			case e.failing:
				end = endpoint.EndFailed
			}
			delete(e.attempts, name)
			e.lastEndNumber++
			e.ended = append(e.ended, endpoint.EndedAttempt{Number: e.lastEndNumber, Task: name, Attempt: attempt.number, End: end})
		}
	}
}

func (c *cluster) countAttempts() {
	attempts := make(map[job.TaskName]int)
	for _, e := range c.sortedEndpoints {
		for name, attempt := range e.attempts {
			if attempt.stray {
				continue
			}
			attempts[name]++
			if attempts[name] > c.maxConcurrentAttempts {
				c.maxConcurrentAttempts = attempts[name]
			}
		}
	}
}

// clock returns the endpoint's clock.
func (e *fakeEndpoint) clock(now clock.Millis) endpoint.Clock {
	return e.clockStart + endpoint.Clock(float64(now-e.bornAt)*(1-e.drift))
}

// crashFor crashes an endpoint, which closes its connections and refuses others until it is back after
// a time.
func (c *cluster) crashFor(e *fakeEndpoint, d clock.Millis) {
	e.down, e.refusing = true, true
	for n, f := range c.leaders {
		if ep := f.leader.endpoints[e.ID]; ep != nil && ep.watching {
			closed := HoldEnded{Endpoint: e.ID, Kind: Watch, Sequence: f.leader.sequence, Rejection: HoldClosed}
			c.schedule(oneWayDelay, func() { c.deliver(n, closed) })
		}
	}
	c.schedule(d, func() {
		c.crash(e)
		e.down, e.refusing = false, false
	})
}

// crash restarts an endpoint at once with a new incarnation, and without any state.
func (c *cluster) crash(e *fakeEndpoint) {
	e.Born++
	e.contacted = false
	if c.keepClocks {
		e.clockStart = e.clock(c.now)
	} else {
		e.clockStart = 0
	}
	e.bornAt = c.now
	e.attempts, e.lastAttempts = make(map[job.TaskName]*fakeAttempt), make(map[job.TaskName]job.Attempt)
	e.ended, e.lastEndNumber, e.token, e.leaseEnd = nil, 0, 0, 0
}
