package leader

import (
	"strconv"

	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
)

// holdEnded compares what an endpoint tells with what the home believes.
func (h *Leader) holdEnded(e HoldEnded) {
	p := h.places[e.Endpoint]
	if p == nil {
		return
	}
	if e.Kind == Watch {
		p.watching = false
	} else {
		p.renewing = false
	}
	if e.Look == nil {
		h.holdFailed(p, e)
		return
	}
	if e.Look.Incarnation < p.Born {
		// An answer of an earlier life, which this VM has read late.
		return
	}
	if p.Born != 0 && e.Look.Incarnation != p.Born {
		h.restarted(p, e.Look.Incarnation)
	}
	p.Born = e.Look.Incarnation
	if !p.fenced {
		p.fenced, p.claimUntil = true, h.now+claimWindow
	}
	p.heardAt = h.now
	p.unanswered = 0
	p.readClock(e.Look.Clock, h.now)
	for _, end := range e.Look.Ended {
		h.runEnded(p, end)
	}
	h.compare(p, e)
	h.hold(p, Watch)
	h.lookIfWanted(p)
}

// look asks an endpoint for its runs, with a request that is sent from now on.
func (h *Leader) look(p *place) {
	p.lookAgain = p.renewing
	h.hold(p, Renewal)
}

func (h *Leader) lookIfWanted(p *place) {
	if p.lookAgain && !p.renewing {
		p.lookAgain = false
		h.hold(p, Renewal)
	}
}

func (h *Leader) holdFailed(p *place, e HoldEnded) {
	defer h.lookIfWanted(p)
	switch e.Rejection {
	case HoldFenced:
		h.do(Fenced{})
	case HoldOtherLife:
		h.gone(p)
	case HoldUnanswered:
		p.unanswered++
		if p.unanswered == unansweredHolds {
			h.do(Note{What: EndpointSuspected, Endpoint: p.Endpoint, Detail: "hold without answer"})
		}
		for _, t := range p.sorted() {
			if t.state == starting && t.doubtedIn != 0 && e.Asked >= t.doubtedIn {
				h.stop(t)
			}
		}
	}
}

// compare brings the tasks at a place in line with what the endpoint lists.
func (h *Leader) compare(p *place, e HoldEnded) {
	listed := make(map[job.TaskName]endpoint.ActiveAttempt, len(e.Look.Active))
	for _, a := range e.Look.Active {
		listed[a.Task] = a
		t := h.current(p, a.Task, a.Attempt)
		if t == nil {
			h.foundActive(p, a)
			continue
		}
		if t.state == starting {
			h.confirm(t)
		}
		if a.Percent != t.percent {
			t.percent, t.percentAt = a.Percent, h.now
		}
	}
	h.forgetFound(p, listed)
	for _, t := range p.sorted() {
		_, present := listed[t.name]
		switch {
		case present:
		case t.state == starting && t.doubtedIn != 0 && e.Asked >= t.doubtedIn:
			// It may still be carried out later, so a stop has to come first.
			h.stop(t)
		case t.state == running && e.Asked >= t.confirmedIn:
			// It should be there; a stop makes sure before the task starts again.
			h.note(RunLost, t, p, "not listed")
			h.stop(t)
		case t.state == stopping && t.stopAcknowledged != 0 && e.Asked >= t.stopAcknowledgedIn:
			// A stop was answered before this look, so the run can never appear again.
			h.release(t)
		}
	}
}

// foundActive deals with a run that no task of this home has. Within the first moments an
// entry VM may still claim it; later it is stopped.
func (h *Leader) foundActive(p *place, a endpoint.ActiveAttempt) {
	f, known := h.found.at(a.Task, p)
	if !known || f.run != a.Attempt {
		f = foundRun{place: p, run: a.Attempt, at: h.now}
	}
	f.percent = a.Percent
	h.found.put(a.Task, f)
	if h.now >= p.claimUntil {
		h.stopUnclaimedRun(a.Task, f)
	}
}

// stopUnclaimedRun stops a run of an earlier home, again while there is no sign of it.
func (h *Leader) stopUnclaimedRun(name job.TaskName, f foundRun) {
	if f.ended || f.stoppedAt != 0 && h.now < f.stoppedAt+stopAgainAfter {
		return
	}
	if f.stoppedAt == 0 {
		h.do(Note{What: RunUnclaimed, Task: name, Endpoint: f.place.Endpoint, Detail: "run " + strconv.FormatInt(int64(f.run), 10)})
	}
	f.stoppedAt = h.now
	h.found.put(name, f)
	h.do(Stop{Endpoint: f.place.Endpoint, Task: name, Run: f.run, Token: h.config.Token})
}

// forgetFound drops what was found at an endpoint and is not listed there any more.
func (h *Leader) forgetFound(p *place, listed map[job.TaskName]endpoint.ActiveAttempt) {
	for name := range h.found {
		f, known := h.found.at(name, p)
		if _, present := listed[name]; known && !f.ended && !present {
			h.found.forget(name, p)
		}
	}
}

// hold sends a hold unless one of its kind is under way.
func (h *Leader) hold(p *place, k HoldKind) {
	a := Hold{Endpoint: p.Endpoint, Kind: k, Acked: p.acked, Token: h.config.Token, Asked: h.moment}
	busy := len(p.tasks) > 0
	// Leases at an endpoint that does not answer are left to lapse, so that its tasks can
	// run elsewhere.
	if (busy || h.now < p.claimUntil) && p.clockRead != 0 && p.unanswered == 0 {
		a.Until = p.clockNow(h.now) + endpoint.Clock(h.config.Times.Lease)
		p.leasedAt = h.now
	}
	switch k {
	case Watch:
		if p.watching {
			return
		}
		p.watching = true
		a.Wait = watchIdle
		if busy {
			a.Wait = h.config.Times.Lease / renewEvery
		}
		if p.unanswered > 0 || !p.fenced {
			a.Wait = 0
		}
	case Renewal:
		if p.renewing {
			return
		}
		p.renewing, p.renewedAt = true, h.now
	}
	h.do(a)
}
