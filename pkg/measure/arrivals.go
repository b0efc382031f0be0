package measure

import (
	"math"
	"math/rand/v2"

	"github.com/sequoiacart/sequoiacart/pkg/contract"
)

const (
	// Job sizes follow a bounded Pareto distribution: most jobs are small, and one in a hundred
	// has more than 60 tasks.
	largestJob = 370
	sizeShape  = 1.1
	// The fraction stragglerPart of the tasks runs stragglerFactor times longer than usual for
	// the kind.
	stragglerPart   = 0.0002
	stragglerFactor = 20
	// largestLongJob limits the size of jobs whose tasks take several seconds. One job of 370
	// such tasks would take several seconds of the whole capacity.
	largestLongJob = 16
	// loadError is the accepted relative error of the load of a phase.
	loadError = 0.01
)

// phase is a period with a constant load, given as a multiple of the capacity.
type phase struct {
	span micros
	load float64
}

// arrivals generates the jobs of a run. The same seed gives the same jobs for every policy.
type arrivals struct {
	workload Workload
	random   *rand.Rand
	vms      int
	capacity float64
	// The fraction longPart of the tasks runs longFactor times longer: all tasks of jobs of
	// separate kinds or, if longInKind is set, single tasks of any kind.
	longPart   float64
	longJobs   float64
	longFactor float64
	longInKind bool
	lastRef    contract.JobRef
	longKinds  []KindProfile
	// gaps holds the arrival times of a phase before they are scaled.
	gaps []float64
}

func newArrivals(s scenario, vms int, capacity float64) *arrivals {
	a := &arrivals{
		workload:   s.workload,
		random:     rand.New(rand.NewPCG(s.seed, 1)),
		vms:        vms,
		capacity:   capacity,
		longPart:   s.longPart,
		longFactor: s.longFactor,
		longInKind: s.longInKind,
	}
	for _, k := range s.workload.Kinds {
		long := k
		long.Kind += "long"
		long.MinRunTime *= longFactor
		long.MaxRunTime *= longFactor
		a.longKinds = append(a.longKinds, long)
	}
	// longPart is a fraction of tasks, and long jobs have fewer tasks.
	few, many := meanSize(largestLongJob), meanSize(largestJob)
	a.longJobs = a.longPart * many / ((1-a.longPart)*few + a.longPart*many)
	return a
}

// meanSize returns the mean number of tasks of jobs whose sizes are limited to most.
func meanSize(most int) float64 {
	sum := 0.0
	bound := 1 - math.Pow(largestJob, -sizeShape)
	for n := 2; n <= most; n++ {
		sum += (math.Pow(float64(n), -sizeShape) - 1 + bound) / bound
	}
	return 1 + sum
}

// draw returns the jobs of the phases in the order of arrival. For each phase it draws jobs
// until their total work matches the load, then scales their Poisson arrivals to the duration of
// the phase. Drawing for a fixed duration instead would let the load vary by a fifth, since job
// sizes are so uneven.
func (a *arrivals) draw(phases []phase) []*job {
	var jobs []*job
	begin := micros(0)
	for _, p := range phases {
		first, at, work := len(jobs), 0.0, 0.0
		target := p.load * a.capacity * float64(p.span)
		for work < (1-loadError)*target {
			j := a.job()
			if work+float64(j.work()) > (1+loadError)*target {
				continue
			}
			work += float64(j.work())
			at += a.random.ExpFloat64()
			jobs = append(jobs, j)
			a.gaps = append(a.gaps, at)
		}
		scale := float64(p.span) / (at + a.random.ExpFloat64())
		for i, j := range jobs[first:] {
			j.arrived = begin + micros(a.gaps[i]*scale)
		}
		a.gaps = a.gaps[:0]
		begin += p.span
	}
	return jobs
}

func (a *arrivals) job() *job {
	a.lastRef++
	long, k := a.kind()
	j := &job{
		ref:     a.lastRef,
		owner:   a.workload.Owners[a.random.IntN(len(a.workload.Owners))].ID,
		profile: k,
		vm:      a.random.IntN(a.vms),
		long:    long,
	}
	j.left = min(a.size(), k.largestJob())
	for range j.left {
		t := &task{job: j, base: a.base(k)}
		j.tasks = append(j.tasks, t)
		j.ideal = max(j.ideal, t.base)
	}
	return j
}

func (a *arrivals) kind() (long bool, k *KindProfile) {
	draw := a.random.Float64()
	chosen := len(a.workload.Kinds) - 1
	for i, k := range a.workload.Kinds {
		if draw < k.Weight {
			chosen = i
			break
		}
		draw -= k.Weight
	}
	if !a.longInKind && a.random.Float64() < a.longJobs {
		return true, &a.longKinds[chosen]
	}
	return false, &a.workload.Kinds[chosen]
}

func (a *arrivals) size() int {
	bound := 1 - math.Pow(largestJob, -sizeShape)
	return int(math.Pow(1-a.random.Float64()*bound, -1/sizeShape))
}

func (a *arrivals) base(k *KindProfile) micros {
	least, most := math.Log(float64(k.MinRunTime)), math.Log(float64(k.MaxRunTime))
	span := 1000 * math.Exp(least+a.random.Float64()*(most-least))
	if a.longInKind && a.random.Float64() < a.longPart {
		span *= a.longFactor
	}
	if a.random.Float64() < stragglerPart {
		span *= stragglerFactor
	}
	return micros(span)
}
