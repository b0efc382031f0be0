package admission

import (
	"math"

	"github.com/sequoiacart/sequoiacart/internal/world/queue"
	"github.com/sequoiacart/sequoiacart/pkg/clock"
)

const (
	// floorWindow is the time constant of the shares that are compared. Callers notice an outage of
	// their kind of job after a few seconds.
	floorWindow = 2 * clock.Second
	// largeShare and topShare are the parts of a queue's jobs that count as large, and as the largest.
	largeShare, topShare = 0.3, 0.1
	// quantileStep is how far one job moves the estimate of a quantile, as a logarithm.
	quantileStep = 0.05
)

// sizeBand is a class of jobs of a queue by their work, or by the CPU that each task needs.
type sizeBand int

const (
	usualSize sizeBand = iota
	largeSize
	topSize
)

// sizes estimates the quantiles of a size of the jobs of a queue, as logarithms.
type sizes struct {
	large, top float64
	samples    int
}

// band classifies a job by its size and updates the quantiles.
func (s *sizes) band(size float64) sizeBand {
	w := math.Log(math.Max(size, 1))
	if s.samples == 0 {
		s.large, s.top = w, w
	}
	s.samples++
	step := math.Max(quantileStep, 1/float64(s.samples))
	s.large += step * quantileMove(w > s.large, largeShare)
	s.top = math.Max(s.large, s.top+step*quantileMove(w > s.top, topShare))
	switch {
	case w > s.top:
		return topSize
	case w > s.large:
		return largeSize
	}
	return usualSize
}

// quantileMove moves an estimate so that the given share of the samples is above it.
func quantileMove(above bool, share float64) float64 {
	if above {
		return 1 - share
	}
	return -share
}

// group is a set of jobs that must not be starved.
type group struct {
	// kind keeps a queue and a data centre of the same name apart.
	kind groupKind
	name string
	size sizeBand
}

type groupKind int

const (
	queueGroup groupKind = iota
	callerGroup
	sizeGroup
	demandGroup
)

func (j *Job) groups() [4]group {
	return [4]group{
		{kind: queueGroup, name: string(j.Queue)},
		{kind: callerGroup, name: string(j.From)},
		{kind: sizeGroup, name: string(j.Queue), size: j.size},
		{kind: demandGroup, name: string(j.Queue), size: j.demand},
	}
}

// share is how many jobs were asked for and served, decaying over floorWindow.
type share struct {
	asked, served float64
	at            clock.Millis
}

func (s *share) decay(now clock.Millis) {
	if now > s.at {
		f := math.Exp(-float64(now-s.at) / float64(floorWindow))
		s.asked, s.served, s.at = s.asked*f, s.served*f, now
	}
}

func (s *share) ratio() float64 {
	if s.asked <= 0 {
		return 1
	}
	return s.served / s.asked
}

// floors knows how often the jobs of each group were served lately.
type floors struct {
	shares map[group]*share
	total  share
	// works and demands are the sizes of the jobs of a queue by their work, and by the CPU of a task. One
	// with large tasks fits few endpoints, however little work it is.
	works, demands map[queue.Name]*sizes
}

func newFloors() floors {
	return floors{shares: make(map[group]*share), works: make(map[queue.Name]*sizes), demands: make(map[queue.Name]*sizes)}
}

func (f *floors) classify(j *Job) {
	j.size = sizesOf(f.works, j.Queue).band(float64(j.Work))
	j.demand = sizesOf(f.demands, j.Queue).band(float64(j.Tasks.Demand.CPU))
}

func sizesOf(m map[queue.Name]*sizes, q queue.Name) *sizes {
	s := m[q]
	if s == nil {
		s = &sizes{}
		m[q] = s
	}
	return s
}

// record counts a job that was served or refused.
func (f *floors) record(now clock.Millis, j *Job, served bool) {
	for _, g := range j.groups() {
		s := f.shares[g]
		if s == nil {
			s = &share{at: now}
			f.shares[g] = s
		}
		s.add(now, served)
	}
	f.total.add(now, served)
}

func (s *share) add(now clock.Millis, served bool) {
	s.decay(now)
	s.asked++
	if served {
		s.served++
	}
}

// isGroupStarved reports whether the queue or the callers of a job were served less often than their
// floor, compared with all jobs.
func (f *floors) isGroupStarved(j *Job, floor float64) bool {
	groups := j.groups()
	return f.isBelow(groups[queueGroup], &f.total, floor) || f.isBelow(groups[callerGroup], &f.total, floor)
}

// isSizeStarved reports whether jobs of the size were served less often than their floor, compared with
// their queue.
func (f *floors) isSizeStarved(j *Job, floor float64) bool {
	groups := j.groups()
	whole := f.shares[groups[queueGroup]]
	return f.isBelow(groups[sizeGroup], whole, floor) || f.isBelow(groups[demandGroup], whole, floor)
}

func (f *floors) isBelow(g group, whole *share, floor float64) bool {
	s := f.shares[g]
	return s != nil && s.ratio() < floor*whole.ratio()
}
