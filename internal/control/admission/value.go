package admission

import (
	"math"

	"github.com/sequoiacart/sequoiacart/internal/world/job"
	"github.com/sequoiacart/sequoiacart/internal/world/queue"
)

// meanWindow is how many jobs the mean work of a queue covers.
const meanWindow = 256

// meanWork is the mean work of the jobs of a queue.
type meanWork struct {
	work    float64
	samples int
}

func (m *meanWork) record(w job.CoreMillis) {
	m.samples = min(m.samples+1, meanWindow)
	m.work += (float64(w) - m.work) / float64(m.samples)
}

// cost is what a refusal of the job costs callers, in core-milliseconds of its queue.
func (p *Planner) cost(j *Job) float64 {
	mean := float64(j.Work)
	if m := p.means[j.Queue]; m != nil {
		mean = m.work
	}
	share := p.config.CallShare
	return p.config.weight(j.Priority) * (share*mean + (1-share)*float64(j.Work))
}

// density is the cost of not serving a job for the capacity that it still needs. What has been spent
// on the job already counts for it: the rest of a job that has nearly ended is served for little.
func (p *Planner) density(j *Job) float64 {
	return p.cost(j) / math.Max(float64(j.Left), 1)
}

func (p *Planner) recordMean(q queue.Name, w job.CoreMillis) {
	m := p.means[q]
	if m == nil {
		m = &meanWork{}
		p.means[q] = m
	}
	m.record(w)
}
