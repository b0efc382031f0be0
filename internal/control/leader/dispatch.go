package leader

import (
	"cmp"
	"math"
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/world/endpoint"
	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// enqueue puts a job with waiting tasks in its turn: by when its tasks have to start, and by
// the priority of its queue.
func (l *Leader) enqueue(w *work) {
	if w.answered || slices.Contains(l.queue, w) {
		return
	}
	at, _ := slices.BinarySearchFunc(l.queue, w, byTurn)
	l.queue = slices.Insert(l.queue, at, w)
}

// byTurn orders jobs; names decide between equals, so that decisions can be repeated.
func byTurn(a, b *work) int {
	return cmp.Or(cmp.Compare(a.turn, b.turn), cmp.Compare(a.Key.Entry, b.Key.Entry), cmp.Compare(a.Key.Seq, b.Key.Seq))
}

func (l *Leader) unqueue(w *work) {
	if i := slices.Index(l.queue, w); i >= 0 {
		l.queue = slices.Delete(l.queue, i, i+1)
	}
}

// dispatch starts waiting tasks wherever there is room. It runs after each event, at the crest
// with dozens of jobs in the queue and hardly any room, so it looks at each endpoint once.
func (l *Leader) dispatch() {
	if len(l.queue) == 0 {
		return
	}
	r := l.newRound()
	for i := 0; i < len(l.queue); {
		w := l.queue[i]
		if w.Adopt && len(l.found) > 0 {
			l.adopt(w)
			l.completeAdopted(w)
		}
		if !l.dispatchJob(w, &r) {
			l.unqueue(w)
		}
		if i < len(l.queue) && l.queue[i] == w {
			i++
		}
	}
}

// dispatchJob starts the tasks of a job that have room and reports whether any are left.
func (l *Leader) dispatchJob(w *work, r *round) bool {
	left := false
	for _, t := range w.tasks {
		if t.state != waiting {
			continue
		}
		if !t.ready() || r.full(t) || !l.mayStart(t) || !l.place(t, r) {
			left = true
		}
	}
	return left
}

// round is one pass over the queue.
type round struct {
	// open are the endpoints with room for the smallest task.
	open []*place
	// tooLarge are demands that found no room in this round, whatever endpoint is allowed.
	tooLarge []tooLarge
}

type tooLarge struct {
	queue  queue.Name
	demand job.Resources
}

func (l *Leader) newRound() round {
	smallest := job.MilliCores(math.MaxInt64)
	for _, w := range l.queue {
		for i := range w.Job.Steps {
			smallest = min(smallest, w.Job.Steps[i].Demand.CPU)
		}
	}
	r := round{open: l.open[:0]}
	for _, p := range l.ordered {
		if p.free.CPU >= smallest && p.usable(l.now) {
			r.open = append(r.open, p)
		}
	}
	l.open = r.open
	return r
}

// full reports whether a task that asks for no more than this one has found no room.
func (r *round) full(t *task) bool {
	if len(r.open) == 0 {
		return true
	}
	demand := t.stepOf().Demand
	return slices.ContainsFunc(r.tooLarge, func(l tooLarge) bool {
		return l.queue == t.work.queue && demand.Fits(l.demand)
	})
}

// mayStart reports whether no other run of the task can exist.
func (l *Leader) mayStart(t *task) bool {
	if other := l.tasks[t.name]; other != nil && other != t {
		return false
	}
	if l.found.active(t.name) {
		return false
	}
	// An earlier home may have started it where this home has not looked yet. It stops what
	// its entry VM does not ask for any more.
	return !t.work.Adopt || l.now >= t.work.taken+l.config.Timeouts.AttemptsExpireAfter() || l.complete && l.allFenced()
}

func (l *Leader) allFenced() bool {
	for _, p := range l.ordered {
		if !p.fenced && !p.missing {
			return false
		}
	}
	return true
}

// place starts a task at the endpoint that suits it, if there is one.
func (l *Leader) place(t *task, r *round) bool {
	q := l.state.Queue(t.work.queue)
	if q == nil {
		return false
	}
	step := t.stepOf()
	left := t.work.objective - l.now - lateStart
	var best *place
	var bestTime clock.Millis
	allowed := true
	for _, p := range r.open {
		if p.Service != q.Service || !p.free.Fits(step.Demand) || !p.usable(l.now) {
			continue
		}
		if !p.HasLabel(step.Requires) || p == t.avoid && t.failures > 0 {
			allowed = false
			continue
		}
		if step.PerEndpoint > 0 && l.ofStep(t, p) >= step.PerEndpoint {
			allowed = false
			continue
		}
		takes := p.speed.takes(l.baseAt(t, p))
		if best == nil || better(takes, p, bestTime, best, left) {
			best, bestTime = p, takes
		}
	}
	if best == nil {
		if allowed {
			r.tooLarge = append(r.tooLarge, tooLarge{queue: t.work.queue, demand: step.Demand})
		}
		return false
	}
	l.start(t, best, l.baseAt(t, best))
	return true
}

// baseAt is how long a task is expected to take at an endpoint of speed 1 in p's rack.
func (l *Leader) baseAt(t *task, p *place) clock.Millis {
	step := t.stepOf()
	base := l.expect(t.work, step)
	if step.Rack != "" && p.Rack != step.Rack {
		base = clock.Millis(float64(base) * l.config.FarFactor)
	}
	return base
}

// lateStart is the time that a start and the report of its end take.
const lateStart = clock.Millis(8)

// better reports whether p suits a task better than the best so far: one that meets the
// objective comes before one that does not; among those that do not, the faster; among
// those that do, the one that leaves least room unused, so that wide tasks find room.
func better(takes clock.Millis, p *place, bestTime clock.Millis, best *place, left clock.Millis) bool {
	meets, bestMeets := takes <= left, bestTime <= left
	if meets != bestMeets {
		return meets
	}
	if !meets {
		return takes < bestTime
	}
	if takes != bestTime {
		return takes < bestTime
	}
	return p.free.CPU < best.free.CPU
}

// ofStep counts the tasks of t's step at an endpoint.
func (l *Leader) ofStep(t *task, p *place) int {
	n := 0
	for _, o := range p.tasks {
		if o.work == t.work && o.step == t.step {
			n++
		}
	}
	return n
}

// refuseLate refuses the queued jobs that cannot meet their objective any more and of which
// nothing has run.
func (l *Leader) refuseLate() {
	for _, w := range slices.Clone(l.queue) {
		if w.started || w.Part || l.now <= w.startBy+startSlack {
			continue
		}
		o := l.elsewhere(w, 0)
		if o == nil {
			o = job.Refused{Reason: job.NoCapacityInTime, RetryAfter: retryAfter}
		}
		l.noteAdmission(w, o)
		l.answer(w, o)
	}
}

// startSlack is how much later than planned a job may start before it is given up; the
// estimates of run times are not better than that.
const startSlack = clock.Millis(10)

// sorted returns the tasks at a place in a fixed order.
func (p *place) sorted() []*task {
	all := make([]*task, 0, len(p.tasks))
	for _, t := range p.tasks {
		all = append(all, t)
	}
	slices.SortFunc(all, func(a, b *task) int { return cmp.Compare(a.name, b.name) })
	return all
}

// endpointsListed brings the places in line with the platform's list.
func (l *Leader) endpointsListed(all []endpoint.Endpoint) {
	listed := make(map[datacentre.EndpointID]bool, len(all))
	for _, e := range all {
		listed[e.ID] = true
		p := l.places[e.ID]
		if p == nil {
			p = newPlace(e, l.now)
			if m, ok := l.remembered.Speeds[e.ID]; ok {
				p.speed = speed{log: m.Log, samples: min(m.Samples, speedWindow)}
			}
			l.places[e.ID] = p
			at, _ := slices.BinarySearchFunc(l.ordered, p, func(a, b *place) int { return cmp.Compare(a.ID, b.ID) })
			l.ordered = slices.Insert(l.ordered, at, p)
			l.hold(p, Watch)
			continue
		}
		if e.Born != p.Born && e.Born > p.Born && p.Born != 0 {
			l.restarted(p, e.Born)
		}
		used := p.Capacity.Minus(p.free)
		e.Born = max(e.Born, p.Born)
		p.Endpoint, p.free, p.missing = e, e.Capacity.Minus(used), false
	}
	for _, p := range slices.Clone(l.ordered) {
		if listed[p.ID] {
			continue
		}
		p.missing = true
		if len(p.tasks) == 0 {
			delete(l.places, p.ID)
			i := slices.Index(l.ordered, p)
			l.ordered = slices.Delete(l.ordered, i, i+1)
		}
	}
}
