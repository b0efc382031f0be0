package leader

import (
	"strconv"

	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
)

// holdEnded compares what an endpoint tells with what the home believes.
func (l *Leader) holdEnded(e HoldEnded) {
	p := l.places[e.Endpoint]
	if p == nil {
		return
	}
	if e.Kind == Watch {
		p.watching = false
	} else {
		p.renewing = false
	}
	if e.Report == nil {
		l.holdFailed(p, e)
		return
	}
	if e.Report.Incarnation < p.Born {
		// An answer of an earlier life, which this VM has read late.
		return
	}
	if p.Born != 0 && e.Report.Incarnation != p.Born {
		l.restarted(p, e.Report.Incarnation)
	}
	p.Born = e.Report.Incarnation
	if !p.fenced {
		p.fenced, p.claimUntil = true, l.now+claimWindow
	}
	p.heardAt = l.now
	p.unanswered = 0
	p.readClock(e.Report.Clock, l.now)
	for _, end := range e.Report.Ended {
		l.runEnded(p, end)
	}
	l.compare(p, e)
	l.hold(p, Watch)
	l.lookIfWanted(p)
}

// look asks an endpoint for its runs, with a request that is sent from now on.
func (l *Leader) look(p *place) {
	p.lookAgain = p.renewing
	l.hold(p, Renewal)
}

func (l *Leader) lookIfWanted(p *place) {
	if p.lookAgain && !p.renewing {
		p.lookAgain = false
		l.hold(p, Renewal)
	}
}

func (l *Leader) holdFailed(p *place, e HoldEnded) {
	defer l.lookIfWanted(p)
	switch e.Rejection {
	case HoldFenced:
		l.do(Fenced{})
	case HoldOtherIncarnation:
		l.gone(p)
	case HoldUnanswered:
		p.unanswered++
		if p.unanswered == unansweredHolds {
			l.do(LogDecision{Decision: EndpointSuspected, Endpoint: p.Endpoint, Detail: "hold without answer"})
		}
		for _, t := range p.sorted() {
			if t.state == starting && t.doubtedIn != 0 && e.Sequence >= t.doubtedIn {
				l.stop(t)
			}
		}
	}
}

// compare brings the tasks at a place in line with what the endpoint lists.
func (l *Leader) compare(p *place, e HoldEnded) {
	listed := make(map[job.TaskName]endpoint.ActiveAttempt, len(e.Report.Active))
	for _, a := range e.Report.Active {
		listed[a.Task] = a
		t := l.current(p, a.Task, a.Attempt)
		if t == nil {
			l.foundActive(p, a)
			continue
		}
		if t.state == starting {
			l.confirm(t)
		}
		if a.Percent != t.percent {
			t.percent, t.percentAt = a.Percent, l.now
		}
	}
	l.forgetFound(p, listed)
	for _, t := range p.sorted() {
		_, present := listed[t.name]
		switch {
		case present:
		case t.state == starting && t.doubtedIn != 0 && e.Sequence >= t.doubtedIn:
			// It may still be carried out later, so a stop has to come first.
			l.stop(t)
		case t.state == running && e.Sequence >= t.confirmedIn:
			// It should be there; a stop makes sure before the task starts again.
			l.note(AttemptLost, t, p, "not listed")
			l.stop(t)
		case t.state == stopping && t.stopAcknowledged != 0 && e.Sequence >= t.stopAcknowledgedIn:
			// A stop was answered before this look, so the run can never appear again.
			l.release(t)
		}
	}
}

// foundActive deals with a run that no task of this home has. Within the first moments an
// entry VM may still claim it; later it is stopped.
func (l *Leader) foundActive(p *place, a endpoint.ActiveAttempt) {
	f, known := l.found.at(a.Task, p)
	if !known || f.run != a.Attempt {
		f = foundRun{place: p, run: a.Attempt, at: l.now}
	}
	f.percent = a.Percent
	l.found.put(a.Task, f)
	if l.now >= p.claimUntil {
		l.stopUnclaimedRun(a.Task, f)
	}
}

// stopUnclaimedRun stops a run of an earlier home, again while there is no sign of it.
func (l *Leader) stopUnclaimedRun(name job.TaskName, f foundRun) {
	if f.ended || f.stoppedAt != 0 && l.now < f.stoppedAt+stopAgainAfter {
		return
	}
	if f.stoppedAt == 0 {
		l.do(LogDecision{Decision: AttemptUnclaimed, Task: name, Endpoint: f.place.Endpoint, Detail: "run " + strconv.FormatInt(int64(f.run), 10)})
	}
	f.stoppedAt = l.now
	l.found.put(name, f)
	l.do(Stop{Endpoint: f.place.Endpoint, Task: name, Attempt: f.run, Token: l.config.Token})
}

// forgetFound drops what was found at an endpoint and is not listed there any more.
func (l *Leader) forgetFound(p *place, listed map[job.TaskName]endpoint.ActiveAttempt) {
	for name := range l.found {
		f, known := l.found.at(name, p)
		if _, present := listed[name]; known && !f.ended && !present {
			l.found.forget(name, p)
		}
	}
}

// hold sends a hold unless one of its kind is under way.
func (l *Leader) hold(p *place, k HoldKind) {
	a := Hold{Endpoint: p.Endpoint, Kind: k, Acked: p.acked, Token: l.config.Token, Sequence: l.moment}
	busy := len(p.tasks) > 0
	// Leases at an endpoint that does not answer are left to lapse, so that its tasks can
	// run elsewhere.
	if (busy || l.now < p.claimUntil) && p.clockRead != 0 && p.unanswered == 0 {
		a.LeaseUntil = p.clockNow(l.now) + endpoint.Clock(l.config.Timeouts.AttemptLease)
		p.leasedAt = l.now
	}
	switch k {
	case Watch:
		if p.watching {
			return
		}
		p.watching = true
		a.Wait = watchIdle
		if busy {
			a.Wait = l.config.Timeouts.AttemptLease / renewEvery
		}
		if p.unanswered > 0 || !p.fenced {
			a.Wait = 0
		}
	case Renewal:
		if p.renewing {
			return
		}
		p.renewing, p.renewedAt = true, l.now
	}
	l.do(a)
}
