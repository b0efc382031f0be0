package measure

import (
	"math"
	"math/rand/v2"

	"github.com/sequoiacart/sequoiacart/pkg/contract"
)

const (
	// Job sizes follow a bounded Pareto distribution: most jobs are small, and one in a hundred
	// has more than 60 tasks.
	maxJobTasks = 370
	paretoShape = 1.1
	// The fraction stragglerFraction of the tasks runs stragglerFactor times longer than usual for
	// the kind.
	stragglerFraction = 0.0002
	stragglerFactor   = 20
	// maxLongJobTasks limits the size of jobs whose tasks take several seconds. One job of 370
	// such tasks would take several seconds of the whole capacity.
	maxLongJobTasks = 16
	// loadTolerance is the accepted relative error of the load of a phase.
	loadTolerance = 0.01
)

// phase is a period with a constant load, given as a multiple of the capacity.
type phase struct {
	duration micros
	load     float64
}

// jobGenerator generates the jobs of a run. The same seed gives the same jobs for every policy.
type jobGenerator struct {
	workload Workload
	random   *rand.Rand
	vms      int
	capacity float64
	// The fraction longFraction of the tasks are long. They belong to jobs of longKindProfiles or,
	// if longInAllKinds is set, are single tasks of any kind that run longFactor times longer.
	longFraction float64
	// longJobFraction is the fraction of jobs of long kinds that gives longFraction of the tasks.
	longJobFraction  float64
	longFactor       float64
	longInAllKinds   bool
	lastRef          contract.JobRef
	longKindProfiles []KindProfile
	// arrivalTimes holds the arrival times of a phase before they are scaled.
	arrivalTimes []float64
}

func newJobGenerator(s scenario, vms int, capacity float64) *jobGenerator {
	g := &jobGenerator{
		workload:       s.workload,
		random:         rand.New(rand.NewPCG(s.seed, 1)),
		vms:            vms,
		capacity:       capacity,
		longFraction:   s.longFraction,
		longFactor:     s.longFactor,
		longInAllKinds: s.longInAllKinds,
	}
	for _, k := range s.workload.Kinds {
		long := k
		long.Kind += "long"
		long.MinRunTime *= longTaskFactor
		long.MaxRunTime *= longTaskFactor
		g.longKindProfiles = append(g.longKindProfiles, long)
	}
	// longFraction is a fraction of tasks, and long jobs have fewer tasks.
	longMean, mean := meanSize(maxLongJobTasks), meanSize(maxJobTasks)
	g.longJobFraction = g.longFraction * mean / ((1-g.longFraction)*longMean + g.longFraction*mean)
	return g
}

// meanSize returns the mean number of tasks of jobs whose sizes are capped at limit.
func meanSize(limit int) float64 {
	sum := 0.0
	bound := 1 - math.Pow(maxJobTasks, -paretoShape)
	for n := 2; n <= limit; n++ {
		sum += (math.Pow(float64(n), -paretoShape) - 1 + bound) / bound
	}
	return 1 + sum
}

// generate returns the jobs of the phases in the order of arrival. For each phase it draws jobs
// until their total work matches the load within loadTolerance, then scales their Poisson arrivals
// to the duration of the phase. With a Poisson-distributed number of jobs, the load would vary by a
// fifth, since job sizes are so uneven.
func (g *jobGenerator) generate(phases []phase) []*job {
	var jobs []*job
	phaseStart := micros(0)
	for _, p := range phases {
		firstJob, arrival, work := len(jobs), 0.0, 0.0
		target := p.load * g.capacity * float64(p.duration)
		for work < (1-loadTolerance)*target {
			j := g.newJob()
			if work+float64(j.work()) > (1+loadTolerance)*target {
				continue
			}
			work += float64(j.work())
			arrival += g.random.ExpFloat64()
			jobs = append(jobs, j)
			g.arrivalTimes = append(g.arrivalTimes, arrival)
		}
		scale := float64(p.duration) / (arrival + g.random.ExpFloat64())
		for i, j := range jobs[firstJob:] {
			j.arrivedAt = phaseStart + micros(g.arrivalTimes[i]*scale)
		}
		g.arrivalTimes = g.arrivalTimes[:0]
		phaseStart += p.duration
	}
	return jobs
}

func (g *jobGenerator) newJob() *job {
	g.lastRef++
	long, profile := g.drawKind()
	j := &job{
		ref:     g.lastRef,
		owner:   g.workload.Owners[g.random.IntN(len(g.workload.Owners))].ID,
		profile: profile,
		vm:      g.random.IntN(g.vms),
		long:    long,
	}
	j.unfinished = min(g.drawSize(), profile.maxTasks())
	for range j.unfinished {
		t := &task{job: j, runTime: g.drawRunTime(profile)}
		j.tasks = append(j.tasks, t)
		j.idealResponse = max(j.idealResponse, t.runTime)
	}
	return j
}

func (g *jobGenerator) drawKind() (long bool, k *KindProfile) {
	remaining := g.random.Float64()
	chosen := len(g.workload.Kinds) - 1
	for i, k := range g.workload.Kinds {
		if remaining < k.Weight {
			chosen = i
			break
		}
		remaining -= k.Weight
	}
	if !g.longInAllKinds && g.random.Float64() < g.longJobFraction {
		return true, &g.longKindProfiles[chosen]
	}
	return false, &g.workload.Kinds[chosen]
}

func (g *jobGenerator) drawSize() int {
	bound := 1 - math.Pow(maxJobTasks, -paretoShape)
	return int(math.Pow(1-g.random.Float64()*bound, -1/paretoShape))
}

func (g *jobGenerator) drawRunTime(k *KindProfile) micros {
	logMin, logMax := math.Log(float64(k.MinRunTime)), math.Log(float64(k.MaxRunTime))
	runTime := 1000 * math.Exp(logMin+g.random.Float64()*(logMax-logMin))
	if g.longInAllKinds && g.random.Float64() < g.longFraction {
		runTime *= g.longFactor
	}
	if g.random.Float64() < stragglerFraction {
		runTime *= stragglerFactor
	}
	return micros(runTime)
}
