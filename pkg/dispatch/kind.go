package dispatch

import (
	"math"

	"github.com/sequoiacart/sequoiacart/pkg/clock"
	"github.com/sequoiacart/sequoiacart/pkg/contract"
	"github.com/sequoiacart/sequoiacart/pkg/owner"
)

// kindKey names a kind of task. Two owners may use the same name for different work.
type kindKey struct {
	owner owner.ID
	kind  contract.Kind
}

const (
	// unknownMean stands in for the run time of a kind of which no task has ended, until
	// tasks of other kinds have.
	defaultRunTime slotMillis = 200
	// The step of the moving averages falls as 1/n to this floor; at 0.05 the error of a
	// mean of run times spread over a factor of 20 is about 15 %.
	minLearningRate = 0.05
	// outlierFactor times the median is the most that one run time counts in the mean.
	outlierFactor = 4
	// quantileEvery is the number of run times between two computations of a quantile.
	quantileInterval = 16
	// failedOnLimit bounds the endpoints on which a kind has to fail to count as failing
	// everywhere.
	failedOnLimit = 8
)

// kind is what has been learnt of a kind of task.
type kind struct {
	name    contract.Kind
	times   histogram
	samples int
	mean    slotMillis
	// logMean is the mean logarithm of run times, corrected for the speed of endpoints.
	logMean float64
	upper   clock.Millis
	// sampleCap is what one run time counts at sampleCap.
	sampleCap clock.Millis
	long      bool
	jobs      int
	lastUsed  clock.Millis

	failureRate float64
	failures    int
	lastSuccess clock.Millis
	// probedAt is the last time that a job was admitted against the projection.
	probedAt   clock.Millis
	failedOn   []*endpoint
	unrunnable bool
}

func (k *kind) measured() bool {
	return k.samples > 0
}

// observe takes the run time of a successful task. It returns by how much the endpoint
// was slower than expected, as a logarithm to base 2.
func (k *kind) observe(runTime clock.Millis, ep *endpoint) float64 {
	k.times.add(runTime)
	k.samples++
	step := max(1/float64(k.samples), minLearningRate)
	log := math.Log2(float64(max(runTime, 1)))
	deviation := log - ep.logSlowness - k.logMean
	if k.samples == 1 {
		deviation = 0
		k.logMean = log - ep.logSlowness
	}
	k.logMean += step * deviation
	k.updateEstimate(runTime, step)
	return deviation
}

// updateEstimate updates the mean and the upper quantile. A run time counts with at most
// outlierFactor times the median: a straggler is no sign that its kind is long, and a
// mean that it has spoilt would refuse the whole kind. While there are few run times, the
// median still moves, so the mean is taken again over all of them.
func (k *kind) updateEstimate(runTime clock.Millis, step float64) {
	few := k.samples <= quantileInterval
	if few || k.samples%quantileInterval == 0 {
		k.sampleCap = outlierFactor * k.times.quantile(0.5)
		k.upper = min(k.times.quantile(0.9), k.sampleCap)
	}
	if few {
		k.mean = k.times.cappedMean(k.sampleCap)
		return
	}
	k.mean += slotMillis(step) * (slotMillis(min(runTime, k.sampleCap)) - k.mean)
}

// outran notes that a task of the kind has run for span and has not ended. It matters
// only while no task has ended: those that end first are the short ones.
func (k *kind) recordOverrun(runTime clock.Millis) {
	if k.samples > 0 && k.mean >= slotMillis(runTime) || k.times.total > 0 {
		return
	}
	k.mean, k.upper, k.samples = slotMillis(runTime), runTime, 1
	k.logMean = math.Log2(float64(max(runTime, 1)))
}

// classify sorts the kind into short or long work. The gap between the two limits keeps
// a kind in between from changing sides with every task.
func (k *kind) classify(longThreshold clock.Millis) {
	switch {
	case k.mean > slotMillis(longThreshold):
		k.long = true
	case k.mean < slotMillis(longThreshold)/2:
		k.long = false
	}
}

func (k *kind) lane() laneIndex {
	switch {
	case !k.measured():
		return newLane
	case k.long:
		return longLane
	default:
		return shortLane
	}
}
