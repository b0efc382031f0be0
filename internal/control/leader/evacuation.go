package leader

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/world/evacuation"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// evacuation returns what the VM knows of the evacuation of the data centre.
func (l *Leader) evacuation() evacuation.Status {
	if l.config.Evacuation == nil {
		return evacuation.Status{}
	}
	return l.config.Evacuation()
}

// isEvacuated reports whether the operator has asked for the data centre to be empty.
func (l *Leader) isEvacuated() bool { return l.evacuation().Evacuated }

// isClosed reports whether no task may start any more because the data centre is evacuated. It does not
// depend on the store, since what is known does not become untrue while nothing newer arrives.
func (l *Leader) isClosed() bool {
	s := l.evacuation()
	return s.Evacuated && !l.isInNotice(s)
}

// isEvacuationUnknown reports whether the operator may have asked for the data centre to be empty so long ago
// that a start would be late.
func (l *Leader) isEvacuationUnknown() bool {
	s := l.evacuation()
	return !s.Evacuated && !l.isInNotice(s)
}

// isInNotice reports whether a start takes effect within the notice, even if the request was accepted right
// after the data centre was known to be clear.
func (l *Leader) isInNotice(s evacuation.Status) bool {
	return l.config.Evacuation == nil || s.ClearAt != 0 && l.now <= s.ClearAt+l.config.Timeouts.MaxEvacuationAge()
}

func (l *Leader) evacuationsAge() clock.Millis {
	s := l.evacuation()
	if s.Evacuated || l.config.Evacuation == nil {
		return 0
	}
	return l.now - s.ClearAt
}

// admitEvacuated returns the outcome of a new job in an evacuated data centre, or nil for a part of a divided job
// that can still start here.
func (l *Leader) admitEvacuated(j *jobState) job.Outcome {
	if j.Part {
		if l.isClosed() {
			return l.lastResort(j)
		}
		return nil
	}
	if o := l.forward(j, 0); o != nil {
		return o
	}
	if o := l.divideByForecast(j, 0); o != nil {
		return o
	}
	return l.lastResort(j)
}

// departure is what becomes of a job that waits in an evacuated data centre. It is one of the types below.
type departure interface{ departure() }

// staysQueued means that the job goes on here: its tasks may still start, or attempts of it may be running.
type staysQueued struct{}

// leaves means that nothing of the job has run, and that it is answered.
type leaves struct{ outcome job.Outcome }

// endsUnfinished means that some tasks have run and the others can never start here.
type endsUnfinished struct{}

func (staysQueued) departure()    {}
func (leaves) departure()         {}
func (endsUnfinished) departure() {}

// evacuate lets the jobs that wait leave an evacuated data centre. While tasks may still start, they leave only to
// where there is capacity.
func (l *Leader) evacuate() {
	if !l.isEvacuated() {
		l.evacuatedSince, l.emptied = 0, false
		return
	}
	if l.evacuatedSince == 0 {
		l.evacuatedSince = l.now
	}
	closed := l.isClosed()
	for _, j := range slices.Clone(l.queue) {
		if closed && j.Adopt {
			l.adoptOrphans(j)
			l.completeAdopted(j)
		}
		if j.answered {
			continue
		}
		switch d := l.departure(j, closed).(type) {
		case leaves:
			l.logAdmission(j, d.outcome, RefusedEvacuated)
			l.answer(j, d.outcome)
		case endsUnfinished:
			l.abandon(j, job.Evacuated)
		case staysQueued:
		}
	}
	l.reportEmptied()
}

func (l *Leader) departure(j *jobState, closed bool) departure {
	untouched := !j.started && !j.Adopt && !l.hasAttempts(j)
	switch {
	case !j.waits():
		return staysQueued{}
	case closed && untouched:
		return leaves{l.lastResort(j)}
	case untouched && !j.Part:
		if o := l.forward(j, 0); o != nil {
			return leaves{o}
		}
		return staysQueued{}
	case !closed, !j.started && l.hasAttempts(j), j.Adopt && !l.adoptionWaitEnded(j) && !l.earlierAttemptsReported(j):
		return staysQueued{}
	}
	return endsUnfinished{}
}

// lastResort sends a job that nobody has capacity for to the shard with the shortest queue, whose leader knows
// whether it can start in time. A job that cannot start in time anywhere is refused.
func (l *Leader) lastResort(j *jobState) job.Outcome {
	loads := l.freshLoads()
	if len(loads) == 0 || !j.Part && l.now > j.latestStart+startSlack {
		return job.Refused{Reason: job.Evacuated, RetryAfter: retryAfter}
	}
	least := slices.MaxFunc(loads, func(a, b shardLoad) int {
		return cmp.Or(cmp.Compare(a.spareCPU()+a.SoonCPU, b.spareCPU()+b.SoonCPU), cmp.Compare(b.Cell, a.Cell))
	})
	least.FreeCPU -= int64(j.demand())
	return job.Redirected{To: least.Cell}
}

// reportEmptied logs once that no task is left in an evacuated data centre.
func (l *Leader) reportEmptied() {
	if l.emptied || len(l.queue) > 0 || len(l.activeTasks) > 0 || slices.ContainsFunc(l.sortedEndpoints, func(ep *endpointState) bool { return ep.activeOrphans > 0 }) {
		return
	}
	l.emptied = true
	l.emit(LogDecision{Decision: ShardEmptied, Detail: fmt.Sprintf("%d ms after the leader knew of the evacuation", l.now-l.evacuatedSince)})
}
