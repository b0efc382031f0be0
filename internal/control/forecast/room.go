package forecast

import (
	"cmp"
	"math"
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/datacentre"
)

// Endpoint is what the forecast knows of an endpoint that takes tasks.
type Endpoint struct {
	Free  job.Resources
	Speed float64
	// From is when it takes new tasks, or 0 for now. Until is when it leaves, or 0 if it stays.
	From, Until clock.Millis
	Rack        datacentre.RackID
	Labels      []string
}

// Room is the capacity of the endpoints of a service over time, less what has been placed in it.
type Room struct {
	now       clock.Millis
	endpoints []endpointRoom
	placed    []reservation
	holds     []Hold
	// slowest and fastest are the speeds of the endpoints. The latest starts at these speeds are
	// those of the tasks that are being placed; few starts are between them.
	slowest, fastest             float64
	latestAtSlowest, latestStart clock.Millis
}

// endpointRoom is the free capacity of an endpoint over time.
type endpointRoom struct {
	Endpoint
	number int
	// spans are in order of time, each until the next one.
	spans []span
	// next is when the task that is being placed could start here.
	next Instant
}

type span struct {
	from Instant
	free job.Resources
}

// Tasks are tasks of a job that are to be placed.
type Tasks struct {
	Count  int
	Demand job.Resources
	// Duration is that of a task at speed 1 in the rack of its data.
	Duration  clock.Millis
	Objective Objective
	// Rack is where the data is; FarFactor is how many times as long the tasks take in another one.
	Rack      datacentre.RackID
	FarFactor float64
	// Requires is a label that the endpoint must have.
	Requires string
	// Margin is that of the objective. Late means that the tasks are to be placed although they cannot
	// end in time any more.
	Margin Margin
	Late   bool
}

// Hold keeps capacity of an endpoint free for a task that is to start there once more has been released.
type Hold struct {
	// Endpoint is the number of the endpoint, in the order in which they were added.
	Endpoint int
	// From is when the task is to start. Until then, others may use the endpoint if they end before; later
	// only what Spare covers.
	From  clock.Millis
	Spare job.Resources
}

// Allows reports whether a task that takes until a point in time leaves the capacity that is held.
func (h *Hold) Allows(demand job.Resources, until clock.Millis) bool {
	return until <= h.From || h.Spare.Fits(demand)
}

// Placement says when the tasks of a job can start.
type Placement struct {
	// Now and InTime are how many of the tasks can start at once, and in time.
	Now, InTime int
	// Last is when the last task starts, if all can start in time.
	Last Instant
}

// Reset removes all endpoints.
func (r *Room) Reset(now clock.Millis) {
	r.now = now
	r.endpoints = r.endpoints[:0]
	r.holds = r.holds[:0]
	r.slowest, r.fastest = math.Inf(1), 0
}

// Add adds an endpoint with the attempts that run there.
func (r *Room) Add(e Endpoint, attempts []Attempt) {
	if len(r.endpoints) < cap(r.endpoints) {
		r.endpoints = r.endpoints[:len(r.endpoints)+1]
	} else {
		r.endpoints = append(r.endpoints, endpointRoom{})
	}
	ep := &r.endpoints[len(r.endpoints)-1]
	ep.Endpoint, ep.number = e, len(r.endpoints)-1
	r.slowest, r.fastest = min(r.slowest, e.Speed), max(r.fastest, e.Speed)
	ep.spans = append(ep.spans[:0], span{from: Instant{At: max(r.now, e.From)}, free: e.Free})
	for _, a := range attempts {
		ep.change(a.End(r.now), a.Demand)
	}
}

// Fastest is the speed of the fastest endpoint, or infinite if there is none.
func (r *Room) Fastest() float64 {
	if r.fastest == 0 {
		return math.Inf(1)
	}
	return r.fastest
}

func compareStart(s span, at clock.Millis) int { return cmp.Compare(s.from.At, at) }

// change adds resources from a point in time on.
func (e *endpointRoom) change(from Instant, by job.Resources) {
	from.At = max(from.At, e.spans[0].from.At)
	i, _ := slices.BinarySearchFunc(e.spans, from.At, compareStart)
	if i == len(e.spans) || e.spans[i].from.At != from.At {
		e.spans = slices.Insert(e.spans, i, span{from: from, free: e.spans[i-1].free})
	} else {
		e.spans[i].from.Spread = max(e.spans[i].from.Spread, from.Spread)
	}
	for k := i; k < len(e.spans); k++ {
		e.spans[k].free = e.spans[k].free.Plus(by)
	}
}

// never is later than any task starts.
const never = clock.Millis(math.MaxInt64)

// earliest is when the demand fits, and goes on to fit, or never if it does not by a point in time.
func (e *endpointRoom) earliest(demand job.Resources, by clock.Millis) Instant {
	first := Instant{At: never}
	if e.spans[0].from.At > by {
		return first
	}
	for i := len(e.spans) - 1; i >= 0 && e.spans[i].free.Fits(demand); i-- {
		first = e.spans[i].from
	}
	return first
}

// SpeedAt is the speed of an endpoint for the tasks.
func (t *Tasks) SpeedAt(speed float64, rack datacentre.RackID) float64 {
	if t.Rack != "" && t.Rack != rack && t.FarFactor > 0 {
		return speed / t.FarFactor
	}
	return speed
}

// Place reserves capacity for the tasks if all of them can start in time, each as early as it can. A
// job of which some tasks cannot would occupy capacity and be late all the same, so it gets none.
func (r *Room) Place(t *Tasks) Placement {
	p := Placement{}
	r.placed = r.placed[:0]
	if len(r.endpoints) == 0 {
		return p
	}
	r.latestStart, r.latestAtSlowest = never-1, never-1
	if !t.Late {
		slowest := r.slowest
		if t.Rack != "" && t.FarFactor > 0 {
			slowest /= t.FarFactor
		}
		r.latestStart, r.latestAtSlowest = t.Objective.LatestStart(r.fastest, t.Margin), t.Objective.LatestStart(slowest, t.Margin)
	}
	for i := range r.endpoints {
		ep := &r.endpoints[i]
		ep.next = Instant{At: never}
		if t.Requires == "" || slices.Contains(ep.Labels, t.Requires) {
			ep.next = r.startAt(ep, t)
		}
	}
	for p.InTime < t.Count {
		ep := r.first()
		if ep == nil {
			break
		}
		end := ep.next
		end.At += clock.Millis(float64(t.Duration) / t.SpeedAt(ep.Speed, ep.Rack))
		// Tasks that start at the same time are placed together, since a job may have thousands.
		count := min(ep.least(ep.next.At, end.At).Count(t.Demand), t.Count-p.InTime)
		if ep.next.At <= r.now {
			p.Now += count
		}
		p.InTime += count
		if ep.next.At >= p.Last.At {
			p.Last = ep.next
		}
		demand := t.Demand.Times(count)
		r.placed = append(r.placed, reservation{endpoint: ep, from: ep.next, until: end, demand: demand})
		ep.change(ep.next, negative(demand))
		ep.change(end, demand)
		ep.next = r.startAt(ep, t)
	}
	if p.InTime < t.Count {
		for _, s := range r.placed {
			s.endpoint.change(s.from, s.demand)
			s.endpoint.change(s.until, negative(s.demand))
		}
		r.placed = r.placed[:0]
	}
	return p
}

// Holds returns what has to be kept free for the tasks that were placed last, where a part of the
// capacity that they wait for is free already. It is valid until the next call.
func (r *Room) Holds() []Hold {
	r.holds = r.holds[:0]
	for _, s := range r.placed {
		if s.from.At > r.now && s.endpoint.Free.CPU > 0 {
			r.holds = append(r.holds, Hold{Endpoint: s.endpoint.number, From: s.from.At, Spare: s.endpoint.least(s.from.At, s.until.At)})
		}
	}
	return r.holds
}

// reservation is capacity for tasks that start at the same time.
type reservation struct {
	endpoint    *endpointRoom
	from, until Instant
	demand      job.Resources
}

// least is the least free capacity between two points in time.
func (e *endpointRoom) least(from, until clock.Millis) job.Resources {
	least := job.Resources{CPU: math.MaxInt64, Memory: math.MaxInt64, Accelerators: math.MaxInt32, Slots: math.MaxInt32}
	first, _ := slices.BinarySearchFunc(e.spans, from, compareStart)
	for _, s := range e.spans[first:] {
		if s.from.At >= until {
			break
		}
		least = job.Resources{CPU: min(least.CPU, s.free.CPU), Memory: min(least.Memory, s.free.Memory), Accelerators: min(least.Accelerators, s.free.Accelerators), Slots: min(least.Slots, s.free.Slots)}
	}
	return least
}

func negative(r job.Resources) job.Resources { return job.Resources{}.Minus(r) }

// startAt is when a task can start at an endpoint, or never if that is too late.
func (r *Room) startAt(ep *endpointRoom, t *Tasks) Instant {
	at := ep.earliest(t.Demand, r.latestStart)
	if at.At > r.latestStart {
		return Instant{At: never}
	}
	speed := t.SpeedAt(ep.Speed, ep.Rack)
	tooLate := at.At > r.latestAtSlowest && at.At > t.Objective.LatestStart(speed, t.Margin)
	leaves := ep.Until != 0 && at.At+clock.Millis(float64(t.Duration)/speed) > ep.Until
	if tooLate || leaves {
		return Instant{At: never}
	}
	return at
}

// first returns the endpoint at which a task can start first, the slowest of several, since its capacity
// serves fewer jobs. It returns nil if there is none.
func (r *Room) first() *endpointRoom {
	var best *endpointRoom
	for i := range r.endpoints {
		ep := &r.endpoints[i]
		if ep.next.At == never {
			continue
		}
		if best == nil || ep.next.At < best.next.At || ep.next.At == best.next.At && ep.Speed < best.Speed {
			best = ep
		}
	}
	return best
}
