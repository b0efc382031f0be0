package admission

import (
	"cmp"
	"math"
	"slices"

	"github.com/sequoiacart/sequoiacart/internal/control/forecast"
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

// Config holds the weights of a Planner.
type Config struct {
	// PriorityRatio is how many times as much a refusal costs as that of a job with the same work and
	// the next lower priority.
	PriorityRatio float64
	// CallShare is the part of the cost of a refusal that does not depend on the work: the call has
	// failed and its caller has to act. The rest grows with the work that the caller does not get.
	CallShare float64
	// Floor is how often a group of jobs is served, compared with all of them, below which it comes
	// first.
	Floor float64
	// DensityOffset is how much earlier a job starts than another one with the same latest start whose
	// density is lower by a factor of e.
	DensityOffset clock.Millis
}

// DefaultConfig returns the weights that docs/design/admission.md explains.
func DefaultConfig() Config {
	return Config{PriorityRatio: 3, CallShare: 0.3, Floor: 0.7, DensityOffset: 100}
}

func (c Config) weight(priority int) float64 {
	return math.Pow(c.PriorityRatio, -float64(priority))
}

// Planner decides on the jobs of a shard.
type Planner struct {
	config Config
	means  map[queue.Name]*meanWork
	floors floors
	price  price
	order  []*Job
	holds  []Hold
	// fastest is the highest speed of an endpoint in the latest plan.
	fastest float64
}

// New returns a planner that has seen no job.
func New(c Config) *Planner {
	return &Planner{config: c, means: make(map[queue.Name]*meanWork), floors: newFloors(), fastest: math.Inf(1)}
}

// Register classifies a job that arrives, and ranks it.
func (p *Planner) Register(now clock.Millis, j *Job) {
	p.recordMean(j.Queue, j.Work)
	p.floors.classify(j)
	p.rank(now, j)
}

// Served records that all tasks of a job have started.
func (p *Planner) Served(now clock.Millis, j *Job) { p.floors.record(now, j, true) }

// Refused records that a job was refused.
func (p *Planner) Refused(now clock.Millis, j *Job) {
	p.floors.record(now, j, false)
	if j.accepted {
		p.price.recordDisplaced(now, j.arrivalRank)
	}
}

// rank sets the place of a job in the order.
func (p *Planner) rank(now clock.Millis, j *Job) {
	j.Tasks.Margin = forecast.Probable
	j.Tasks.Late = j.Started && j.Tasks.Objective.MinSpeed(now, j.Tasks.Margin) > p.fastest
	j.rank = p.density(j)
	if j.accepted {
		j.rank *= acceptedWeight
	}
	switch {
	case j.Started, !j.Started && p.floors.isGroupStarved(j, p.config.Floor):
		j.rank *= precedence
	case !j.Started && p.floors.isSizeStarved(j, p.config.Floor):
		j.rank *= sizePrecedence
	}
	j.startOrder = j.Tasks.Objective.LatestStart(1, j.Tasks.Margin) - clock.Millis(float64(p.config.DensityOffset)*math.Log(j.rank))
}

const (
	// precedence puts jobs before all others: those that have started, since what they hold is lost if the
	// rest does not start, and those of a queue or of callers below their floor.
	precedence = 100
	// sizePrecedence puts the large jobs of a queue that are below their floor before its small ones, but
	// not before the jobs of higher priorities.
	sizePrecedence = 2.5
	// acceptedWeight is how much more the refusal of a job costs that has waited: its caller has lost the
	// time in which it could have gone elsewhere.
	acceptedWeight = 1.5
)

// Arrive decides on a job that has arrived, beside those that wait. The room is that of the endpoints
// of its service, and is used up.
func (p *Planner) Arrive(now clock.Millis, j *Job, waiting []*Job, room *forecast.Room) Decision {
	late := p.place(now, append(append(p.order[:0], waiting...), j), room)
	if slices.Contains(late, j) {
		return p.refuse(j, j.place.InTime, waiting)
	}
	if j.place.Now == j.Tasks.Count && len(late) == 0 {
		return Start{}
	}
	if p.IsPricedOut(now, j) {
		return p.refuse(j, j.place.Now, waiting)
	}
	j.accepted, j.arrivalRank = true, j.rank
	return Wait{Now: j.place.Now, Displaced: late}
}

// IsPricedOut reports whether a job that arrives would be displaced if it had to wait.
func (p *Planner) IsPricedOut(now clock.Millis, j *Job) bool { return p.price.exceeds(now, j.rank) }

// RefusePricedOut refuses a job that is priced out and cannot start at once, without a plan.
func (p *Planner) RefusePricedOut(j *Job, waiting []*Job) Refuse {
	j.place = forecast.Placement{}
	return p.refuse(j, 0, waiting)
}

func (p *Planner) refuse(j *Job, inTime int, waiting []*Job) Refuse {
	r := Refuse{Now: j.place.Now, InTime: inTime}
	for _, o := range waiting {
		if o.rank >= j.rank {
			r.Backlog += o.Left
		}
	}
	return r
}

// Hold is capacity that is kept free for a job.
type Hold struct {
	forecast.Hold
	For *Job
}

// Allows reports whether a task of a job may start although capacity is held. Jobs that rank higher need
// not respect it.
func (h *Hold) Allows(j *Job, until clock.Millis) bool {
	return h.For == j || h.For.rank <= j.rank || h.Hold.Allows(j.Tasks.Demand, until)
}

// Holds returns the holds of the latest plan, those of the jobs that rank higher first. They are valid
// until the next one.
func (p *Planner) Holds() []Hold { return p.holds }

// Review returns the jobs that wait and cannot all start in time any more.
func (p *Planner) Review(now clock.Millis, waiting []*Job, room *forecast.Room) []*Job {
	return p.place(now, append(p.order[:0], waiting...), room)
}

// place places the jobs in the order of their rank, and returns those that do not fit in time and have
// not started. A job that is in time only if its estimate is right gets what would be idle.
func (p *Planner) place(now clock.Millis, jobs []*Job, room *forecast.Room) []*Job {
	p.order, p.fastest = jobs, room.Fastest()
	for _, j := range jobs {
		p.rank(now, j)
	}
	slices.SortStableFunc(jobs, func(a, b *Job) int { return cmp.Compare(b.rank, a.rank) })
	var late []*Job
	p.holds = p.holds[:0]
	for _, j := range jobs {
		j.place = room.Place(&j.Tasks)
		for _, h := range room.Holds() {
			p.holds = append(p.holds, Hold{Hold: h, For: j})
		}
		if j.place.InTime < j.Tasks.Count && !j.Started {
			late = append(late, j)
		}
	}
	return slices.DeleteFunc(late, func(j *Job) bool {
		j.Tasks.Margin = forecast.Possible
		j.place = room.Place(&j.Tasks)
		return j.place.InTime == j.Tasks.Count && (len(jobs) == 1 || j.place.Now == j.Tasks.Count)
	})
}
